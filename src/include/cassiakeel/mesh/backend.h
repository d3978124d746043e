#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "cassiakeel/base/strong.h"

namespace cassiakeel::mesh {

/// Id of a backend server, mostly new at each of its starts.
using InstanceId = Strong<std::string, struct InstanceIdTag>;

/// One report of a backend server about itself.
struct BackendReport {
  InstanceId instance;
  ServiceName service;
  /// Where the server takes requests, reachable from its own machine only.
  PeerAddress address;
  Slots slots{1};
  bool leaving = false;
  /// How long the server stays slow after its start.
  std::chrono::milliseconds warm_up_left{0};
  /// Time of the server's start, ms since the Unix epoch. Tells a restart under
  /// the same id, and a late report of a predecessor.
  std::int64_t started_at_ms = 0;
  /// Grows with each report of one start.
  std::uint64_t sequence = 0;
};

/// The backend server beside this node, as its reports tell.
struct LocalBackend {
  bool present = false;
  BackendReport report;
};

/// What all nodes know of one backend server and the node beside it. Kept in
/// the shared table under the node's id.
struct DirectoryEntry {
  NodeId node;
  /// Where the node takes calls for the server.
  PeerAddress address;
  ZoneName zone;
  ServiceName service;
  InstanceId instance;
  Slots slots{1};
  /// Time of the server's start, as in its reports.
  std::int64_t started_at_ms = 0;
  bool leaving = false;
  friend bool operator==(const DirectoryEntry&,
                         const DirectoryEntry&) = default;
};

using Directory = std::map<NodeId, DirectoryEntry>;

}  // namespace cassiakeel::mesh
