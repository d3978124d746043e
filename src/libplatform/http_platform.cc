#include "cassiakeel/platform/http_platform.h"

#include <arpa/inet.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "http_exchange.h"
#include "transaction_rules.h"

namespace cassiakeel::platform {

namespace {

using nlohmann::json;
using pvt::HttpExchange;
using pvt::HttpRequest;
using pvt::HttpResponse;

constexpr long kOk = 200;
constexpr long kNoContent = 204;
constexpr long kNotFound = 404;
constexpr long kConflict = 409;

bool IsIpAddress(std::string text) {
  unsigned char bytes[sizeof(in6_addr)];
  if (text.size() > 2 && text.front() == '[' && text.back() == ']') {
    text = text.substr(1, text.size() - 2);
    return inet_pton(AF_INET6, text.c_str(), bytes) == 1;
  }
  return inet_pton(AF_INET, text.c_str(), bytes) == 1;
}

bool IsPort(std::string_view text) {
  constexpr int kMaxPort = 65535;
  int port = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), port);
  return error == std::errc() && end == text.data() + text.size() && port > 0 &&
         port <= kMaxPort;
}

bool IsPeerAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  return colon != std::string::npos && IsIpAddress(text.substr(0, colon)) &&
         IsPort(std::string_view(text).substr(colon + 1));
}

/// An answer that the protocol does not allow. A 4xx says that nothing was
/// applied; anything else leaves a write undecided.
[[noreturn]] void ThrowUnexpected(const HttpExchange& exchange,
                                  const HttpRequest& request,
                                  const HttpResponse& response) {
  const bool refused = response.status >= 400 && response.status < 500;
  exchange.Throw(request.step,
                 "unexpected status " + std::to_string(response.status),
                 request.is_write && !refused);
}

std::uint64_t ParseVersion(const HttpExchange& exchange,
                           const HttpRequest& request,
                           std::string_view etag) {
  if (etag.size() > 2 && etag.front() == '"' && etag.back() == '"') {
    etag = etag.substr(1, etag.size() - 2);
  }
  std::uint64_t version = 0;
  const auto [end, error] =
      std::from_chars(etag.data(), etag.data() + etag.size(), version);
  if (error != std::errc() || end != etag.data() + etag.size()) {
    exchange.Throw(request.step, "malformed ETag", false);
  }
  return version;
}

json WriteToJson(const Write& write) {
  json entry{{"key", write.key}};
  if (write.value) {
    entry["value"] = *write.value;
  } else {
    entry["delete"] = true;
  }
  if (write.expected_version) {
    entry["expected_version"] = *write.expected_version;
  }
  return entry;
}

class HttpTable final : public Table {
 public:
  explicit HttpTable(HttpExchange& exchange) : exchange(exchange) {}

  std::optional<Row> Get(const std::string& key) override {
    const HttpRequest request{.step = "read row",
                              .target = "/table/" + pvt::UrlEncode(key)};
    HttpResponse response = this->exchange.Perform(request);
    if (response.status == kNotFound) {
      return std::nullopt;
    }
    if (response.status != kOk) {
      ThrowUnexpected(this->exchange, request, response);
    }
    return Row{key, std::move(response.body),
               ParseVersion(this->exchange, request, response.etag)};
  }

  Commit Transact(const std::vector<Write>& writes) override {
    pvt::CheckTransaction(writes);
    const HttpRequest request{.step = "transact",
                              .method = "POST",
                              .target = "/transact",
                              .body = this->FormatTransaction(writes),
                              .is_write = true};
    const HttpResponse response = this->exchange.Perform(request);
    if (response.status != kOk && response.status != kConflict) {
      ThrowUnexpected(this->exchange, request, response);
    }
    return this->ParseCommit(request, response, writes.size());
  }

  std::vector<Row> Scan(const std::string& prefix,
                        const std::string& after,
                        int limit) override {
    const HttpRequest request{
        .step = "scan rows",
        .target = "/table?prefix=" + pvt::UrlEncode(prefix) + "&after=" +
                  pvt::UrlEncode(after) + "&limit=" + std::to_string(limit)};
    const HttpResponse response = this->exchange.Perform(request);
    if (response.status != kOk) {
      ThrowUnexpected(this->exchange, request, response);
    }
    std::vector<Row> rows;
    try {
      const json body = json::parse(response.body);
      for (const json& row : body.at("rows")) {
        rows.push_back(Row{row.at("key").get<std::string>(),
                           row.at("value").get<std::string>(),
                           row.at("version").get<std::uint64_t>()});
      }
    } catch (const json::exception& error) {
      this->exchange.Throw(request.step, error.what(), false);
    }
    return rows;
  }

 private:
  std::string FormatTransaction(const std::vector<Write>& writes) {
    json entries = json::array();
    for (const Write& write : writes) {
      entries.push_back(WriteToJson(write));
    }
    try {
      return json{{"writes", std::move(entries)}}.dump();
    } catch (const json::exception& error) {
      // Keys and values of the table are UTF-8 text.
      this->exchange.Throw("transact", error.what(), false);
    }
  }

  /// An answer that does not match the request leaves the write undecided.
  Commit ParseCommit(const HttpRequest& request,
                     const HttpResponse& response,
                     std::size_t write_count) {
    Commit commit;
    try {
      const json body = json::parse(response.body);
      commit.applied = body.at("applied").get<bool>();
      if (commit.applied) {
        commit.versions = body.at("versions").get<std::vector<std::uint64_t>>();
      } else {
        commit.conflict_key = body.at("conflict_key").get<std::string>();
      }
    } catch (const json::exception& error) {
      this->exchange.Throw(request.step, error.what(), true);
    }
    if (commit.applied != (response.status == kOk) ||
        (commit.applied && commit.versions.size() != write_count)) {
      this->exchange.Throw(request.step, "contradictory answer", true);
    }
    return commit;
  }

  HttpExchange& exchange;
};

class HttpObjects final : public ObjectStore {
 public:
  explicit HttpObjects(HttpExchange& exchange) : exchange(exchange) {}

  std::optional<std::string> Get(const std::string& key) override {
    const HttpRequest request{.step = "read object",
                              .target = "/objects/" + pvt::UrlEncode(key)};
    HttpResponse response = this->exchange.Perform(request);
    if (response.status == kNotFound) {
      return std::nullopt;
    }
    if (response.status != kOk) {
      ThrowUnexpected(this->exchange, request, response);
    }
    return std::move(response.body);
  }

  void Put(const std::string& key, const std::string& bytes) override {
    const HttpRequest request{.step = "write object",
                              .method = "PUT",
                              .target = "/objects/" + pvt::UrlEncode(key),
                              .body = bytes,
                              .is_write = true};
    const HttpResponse response = this->exchange.Perform(request);
    if (response.status != kOk && response.status != kNoContent) {
      ThrowUnexpected(this->exchange, request, response);
    }
  }

 private:
  HttpExchange& exchange;
};

}  // namespace

struct HttpPlatform::State {
  explicit State(const HttpPlatformOptions& options)
      : exchange(options.address, options.timeout) {}
  HttpExchange exchange;
  HttpTable table{exchange};
  HttpObjects objects{exchange};
};

Result<std::unique_ptr<HttpPlatform>> HttpPlatform::Create(
    const HttpPlatformOptions& options) {
  if (!IsPeerAddress(options.address.Value())) {
    return Fail("connect to platform", "the address must be IP:port, got \"" +
                                           options.address.Value() + "\"");
  }
  if (options.timeout <= std::chrono::milliseconds(0)) {
    return Fail("connect to platform", "the timeout must be above 0 ms",
                options.address);
  }
  return std::unique_ptr<HttpPlatform>(
      new HttpPlatform(std::make_unique<State>(options)));
}

HttpPlatform::HttpPlatform(std::unique_ptr<State> state)
    : state(std::move(state)) {}
HttpPlatform::~HttpPlatform() = default;

Table& HttpPlatform::table() {
  return this->state->table;
}

ObjectStore& HttpPlatform::objects() {
  return this->state->objects;
}

}  // namespace cassiakeel::platform
