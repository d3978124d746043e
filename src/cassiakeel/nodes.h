#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cassiakeel/base/error.h"

namespace cassiakeel::cli {

/// Load of one endpoint as reported by its node.
struct EndpointStatus {
  std::string service;
  std::int64_t slots = 0;
  std::int64_t in_flight = 0;
  std::int64_t limit = 0;
  std::int64_t queued = 0;
  bool leaving = false;
};

/// Response of one node to GET /cassiakeel/v1/status. If the node did not
/// respond or sent a malformed status, `error` is set and only `address` is
/// valid.
struct NodeStatus {
  PeerAddress address;
  std::string error;
  std::string node;
  std::string zone;
  std::string region;
  std::uint64_t incarnation = 0;
  std::uint64_t policy_version = 0;
  std::string policy_digest;
  std::int64_t members = 0;
  std::vector<EndpointStatus> endpoints;

  bool has_status() const { return this->error.empty(); }
};

/// Parses the JSON of a status response. `address` is left empty.
Result<NodeStatus> DecodeNodeStatus(std::string_view json);

/// Response of one node to a GET request. If `error` is set, there is no body.
struct NodeResponse {
  PeerAddress address;
  std::string error;
  std::string body;
};

/// Sends GET `target` to all nodes, to at most 64 at a time, and returns one
/// response per address in the same order. Blocks for at most `timeout` per 64
/// nodes.
std::vector<NodeResponse> FetchFromNodes(
    const std::vector<PeerAddress>& addresses,
    const std::string& target,
    std::chrono::milliseconds timeout);

/// Fetches the status of all nodes, with the order and time limit of
/// `FetchFromNodes`.
std::vector<NodeStatus> FetchNodeStatuses(
    const std::vector<PeerAddress>& addresses,
    std::chrono::milliseconds timeout);

/// Counts the nodes with a status by policy version and digest.
std::map<std::pair<std::uint64_t, std::string>, int> CountVersions(
    const std::vector<NodeStatus>& nodes);

}  // namespace cassiakeel::cli
