#include "nodes.h"

#include <asio/io_context.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cassiakeel/http/client.h"

namespace cassiakeel::cli {
namespace {

constexpr std::size_t kMaxConcurrentRequests = 64;
constexpr int kHttpStatusOk = 200;

EndpointStatus DecodeEndpoint(const nlohmann::json& object) {
  EndpointStatus endpoint;
  endpoint.service = object.at("service").get<std::string>();
  endpoint.slots = object.at("slots").get<std::int64_t>();
  endpoint.in_flight = object.at("in_flight").get<std::int64_t>();
  endpoint.limit = object.at("limit").get<std::int64_t>();
  endpoint.queued = object.at("queued").get<std::int64_t>();
  endpoint.leaving = object.at("leaving").get<bool>();
  return endpoint;
}

NodeResponse ToResponse(const PeerAddress& address,
                        http::ExchangeResult result) {
  NodeResponse response;
  response.address = address;
  if (result.end != http::ExchangeEnd::kComplete) {
    response.error = result.error.empty() ? "no response" : result.error;
  } else if (result.status != kHttpStatusOk) {
    response.error = fmt::format("HTTP status {}", result.status);
  } else {
    response.body = std::move(result.body);
  }
  return response;
}

NodeStatus ToStatus(const NodeResponse& response) {
  NodeStatus status;
  if (!response.error.empty()) {
    status.error = response.error;
  } else if (auto decoded = DecodeNodeStatus(response.body)) {
    status = std::move(*decoded);
  } else {
    status.error = decoded.error().message;
  }
  status.address = response.address;
  return status;
}

// Sends a GET request to each address with at most `kMaxConcurrentRequests` in
// flight. `addresses` must outlive the object.
class ParallelFetch {
 public:
  ParallelFetch(const std::vector<PeerAddress>& addresses,
                std::string target,
                std::chrono::milliseconds timeout)
      : addresses(addresses), target(std::move(target)), timeout(timeout) {
    for (const auto& address : addresses) {
      this->responses.push_back(
          {address, "no response within the time limit", ""});
    }
  }

  void Start(http::Client& http_client) {
    this->client = &http_client;
    for (std::size_t i = 0; i < kMaxConcurrentRequests; ++i) {
      this->StartNext();
    }
  }

  /// Must be called before the client is destroyed: that cancels the remaining
  /// requests, whose results are then ignored.
  void Stop() { this->client = nullptr; }

  std::vector<NodeResponse> TakeResponses() {
    return std::move(this->responses);
  }

 private:
  void StartNext() {
    if (this->next_index == this->addresses.size()) {
      return;
    }
    const std::size_t index = this->next_index++;
    http::ClientRequest request;
    request.method = "GET";
    request.peer = this->addresses[index];
    request.target = this->target;
    request.timeout = this->timeout;
    request.connect_timeout = this->timeout;
    http::ExchangeHandler handler;
    handler.on_end = [this, index](http::ExchangeResult result) {
      if (this->client != nullptr) {
        this->responses[index] =
            ToResponse(this->addresses[index], std::move(result));
        this->StartNext();
      }
    };
    this->client->Start(std::move(request), std::move(handler));
  }

  const std::vector<PeerAddress>& addresses;
  const std::string target;
  const std::chrono::milliseconds timeout;
  http::Client* client = nullptr;
  std::size_t next_index = 0;
  std::vector<NodeResponse> responses;
};

}  // namespace

Result<NodeStatus> DecodeNodeStatus(std::string_view json) {
  try {
    const auto object = nlohmann::json::parse(json);
    NodeStatus status;
    status.node = object.at("node").get<std::string>();
    status.zone = object.at("zone").get<std::string>();
    status.region = object.at("region").get<std::string>();
    status.incarnation = object.at("incarnation").get<std::uint64_t>();
    status.policy_version = object.at("policy_version").get<std::uint64_t>();
    status.policy_digest = object.at("policy_digest").get<std::string>();
    const auto& members = object.at("members");
    status.members = members.is_array()
                         ? static_cast<std::int64_t>(members.size())
                         : members.get<std::int64_t>();
    for (const auto& endpoint : object.at("endpoints")) {
      status.endpoints.push_back(DecodeEndpoint(endpoint));
    }
    return status;
  } catch (const nlohmann::json::exception& error) {
    return Fail("read node status",
                fmt::format("malformed node status: {}", error.what()));
  }
}

std::vector<NodeResponse> FetchFromNodes(
    const std::vector<PeerAddress>& addresses,
    const std::string& target,
    std::chrono::milliseconds timeout) {
  ParallelFetch fetch(addresses, target, timeout);
  asio::io_context io_context(1);
  auto client = http::Client::Create(io_context);
  if (!client) {
    throw Exception(client.error());
  }
  fetch.Start(**client);
  // run_for returns once all requests have ended. Its time limit also ends the
  // wait if the client keeps a timer pending.
  const auto max_batches =
      static_cast<int>(addresses.size() / kMaxConcurrentRequests) + 2;
  io_context.run_for(timeout * max_batches);
  fetch.Stop();
  client->reset();
  return fetch.TakeResponses();
}

std::vector<NodeStatus> FetchNodeStatuses(
    const std::vector<PeerAddress>& addresses,
    std::chrono::milliseconds timeout) {
  std::vector<NodeStatus> statuses;
  for (const auto& response :
       FetchFromNodes(addresses, "/cassiakeel/v1/status", timeout)) {
    statuses.push_back(ToStatus(response));
  }
  return statuses;
}

std::map<std::pair<std::uint64_t, std::string>, int> CountVersions(
    const std::vector<NodeStatus>& nodes) {
  std::map<std::pair<std::uint64_t, std::string>, int> counts;
  for (const auto& node : nodes) {
    if (node.has_status()) {
      ++counts[{node.policy_version, node.policy_digest}];
    }
  }
  return counts;
}

}  // namespace cassiakeel::cli
