#include "platform_service.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>

namespace cassiakeel::testsuite {

namespace {

using nlohmann::json;
using std::chrono::steady_clock;

constexpr std::string_view kTablePrefix = "/table/";
constexpr std::string_view kObjectsPrefix = "/objects/";
constexpr int kDefaultScanLimit = 1000;

ServerResponse Json(int status, const json& body) {
  return ServerResponse{
      status, body.dump(), {{"Content-Type", "application/json"}}};
}

platform::Write ParseWrite(const json& entry) {
  platform::Write write;
  write.key = entry.at("key").get<std::string>();
  if (!entry.value("delete", false)) {
    write.value = entry.at("value").get<std::string>();
  }
  if (entry.contains("expected_version")) {
    write.expected_version = entry["expected_version"].get<std::uint64_t>();
  }
  return write;
}

ServerResponse Transact(platform::Table& table, const std::string& body) {
  const json request = json::parse(body);
  std::vector<platform::Write> writes;
  for (const json& entry : request.at("writes")) {
    writes.push_back(ParseWrite(entry));
  }
  const platform::Commit commit = table.Transact(writes);
  if (!commit.applied) {
    return Json(409,
                {{"applied", false}, {"conflict_key", commit.conflict_key}});
  }
  return Json(200, {{"applied", true}, {"versions", commit.versions}});
}

ServerResponse Scan(platform::Table& table, const std::string& query) {
  const std::string limit_text = QueryValue(query, "limit");
  int limit = kDefaultScanLimit;
  std::from_chars(limit_text.data(), limit_text.data() + limit_text.size(),
                  limit);
  json rows = json::array();
  for (const platform::Row& row : table.Scan(
           QueryValue(query, "prefix"), QueryValue(query, "after"), limit)) {
    rows.push_back(
        {{"key", row.key}, {"value", row.value}, {"version", row.version}});
  }
  return Json(200, {{"rows", std::move(rows)}});
}

ServerResponse GetRow(platform::Table& table, const std::string& key) {
  const auto row = table.Get(key);
  if (!row) {
    return ServerResponse{404};
  }
  return ServerResponse{
      200, row->value, {{"ETag", fmt::format("\"{}\"", row->version)}}};
}

ServerResponse GetObject(platform::ObjectStore& objects,
                         const std::string& key) {
  auto bytes = objects.Get(key);
  return bytes ? ServerResponse{200, std::move(*bytes)} : ServerResponse{404};
}

bool IsWrite(const ServerRequest& request) {
  return request.method == "POST" || request.method == "PUT";
}

/// Executes a request of the platform's HTTP protocol on `platform`.
ServerResponse Serve(platform::MemoryPlatform& platform,
                     const ServerRequest& request) {
  const std::string_view path = request.path;
  const bool get = request.method == "GET";
  if (request.method == "POST" && path == "/transact") {
    return Transact(platform.table(), request.body);
  }
  if (get && path == "/table") {
    return Scan(platform.table(), request.query);
  }
  if (get && path.starts_with(kTablePrefix)) {
    return GetRow(platform.table(),
                  UrlDecode(path.substr(kTablePrefix.size())));
  }
  if (path.starts_with(kObjectsPrefix)) {
    const std::string key = UrlDecode(path.substr(kObjectsPrefix.size()));
    if (get) {
      return GetObject(platform.objects(), key);
    }
    if (request.method == "PUT") {
      platform.objects().Put(key, request.body);
      return ServerResponse{200};
    }
  }
  return ServerResponse{404, "no such resource"};
}

}  // namespace

TokenBucket::TokenBucket(double per_second)
    : per_second(per_second),
      tokens(std::max(1.0, per_second / 10)),
      last_refill(steady_clock::now()) {}

bool TokenBucket::TryTake(steady_clock::time_point now) {
  const double seconds =
      std::chrono::duration<double>(now - this->last_refill).count();
  this->last_refill = now;
  this->tokens = std::min(std::max(1.0, this->per_second / 10),
                          this->tokens + seconds * this->per_second);
  if (this->tokens < 1) {
    return false;
  }
  this->tokens -= 1;
  return true;
}

PlatformService::PlatformService(asio::io_context& context,
                                 const PlatformServiceOptions& options)
    : context(context),
      write_limit(options.writes_per_second),
      read_limit(options.reads_per_second),
      started(steady_clock::now()),
      paused_until(started) {}

Result<std::unique_ptr<PlatformService>> PlatformService::Create(
    asio::io_context& context,
    const PlatformServiceOptions& options) {
  std::unique_ptr<PlatformService> service(
      new PlatformService(context, options));
  auto server =
      HttpServer::Create(context, options.listen,
                         [self = service.get()](const ServerRequest& request,
                                                const Responder& respond) {
                           self->Handle(request, respond);
                         });
  if (!server) {
    return tl::make_unexpected(server.error());
  }
  service->server = std::move(*server);
  return service;
}

void PlatformService::Handle(const ServerRequest& request,
                             const Responder& respond) {
  try {
    if (request.path == "/control/stats") {
      respond(this->Stats());
    } else if (request.path == "/control") {
      respond(this->ApplyControl(request.body));
    } else {
      this->HandleData(request, respond);
    }
  } catch (const json::exception& error) {
    respond(ServerResponse{400, error.what()});
  } catch (const platform::PlatformException& error) {
    respond(ServerResponse{400, error.what()});
  }
}

void PlatformService::HandleData(const ServerRequest& request,
                                 const Responder& respond) {
  if (this->unavailable) {
    ++this->refused;
    this->RespondLater(respond, ServerResponse{503, "down"});
    return;
  }
  const bool write = IsWrite(request);
  TokenBucket& limit = write ? this->write_limit : this->read_limit;
  if (!limit.TryTake(steady_clock::now())) {
    ++this->refused;
    this->RespondLater(respond, ServerResponse{429, "rate limit"});
    return;
  }
  ++(write ? this->writes : this->reads);
  ServerResponse response = Serve(this->platform, request);
  if (write && this->write_answers_to_lose > 0) {
    --this->write_answers_to_lose;
    this->lost_responders.push_back(respond);
    return;
  }
  this->RespondLater(respond, std::move(response));
}

ServerResponse PlatformService::ApplyControl(const std::string& body) {
  const json request = json::parse(body);
  this->unavailable = request.value("down", this->unavailable);
  this->response_delay = std::chrono::milliseconds(
      request.value("slow_ms", this->response_delay.count()));
  this->write_answers_to_lose =
      request.value("lose_write_answers", this->write_answers_to_lose);
  if (request.contains("pause_ms")) {
    this->paused_until =
        steady_clock::now() +
        std::chrono::milliseconds(request["pause_ms"].get<std::int64_t>());
  }
  return this->Stats();
}

ServerResponse PlatformService::Stats() const {
  const double seconds =
      std::chrono::duration<double>(steady_clock::now() - this->started)
          .count();
  return Json(200, {{"reads", this->reads},
                    {"writes", this->writes},
                    {"refused", this->refused},
                    {"seconds", seconds},
                    {"down", this->unavailable},
                    {"slow_ms", this->response_delay.count()},
                    {"lose_write_answers", this->write_answers_to_lose}});
}

void PlatformService::RespondLater(const Responder& respond,
                                   ServerResponse response) {
  const auto now = steady_clock::now();
  const auto due = std::max(now + this->response_delay, this->paused_until);
  if (due <= now) {
    respond(response);
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(this->context, due);
  timer->async_wait([timer, respond, response = std::move(response)](
                        const asio::error_code& error) {
    if (!error) {
      respond(response);
    }
  });
}

}  // namespace cassiakeel::testsuite
