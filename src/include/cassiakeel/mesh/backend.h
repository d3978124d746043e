#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "cassiakeel/base/strong.h"

namespace cassiakeel::mesh {

/// Whether `text` can be the name of a service, route or server: 1 to 200 bytes
/// without control characters, which would break header fields, and without the
/// separator '|' of messages between nodes.
bool IsName(std::string_view text);

/// Id of a backend server process. Usually changes with each restart, but a
/// restarted server may also reuse its id.
using InstanceId = Strong<std::string, struct InstanceIdTag>;

/// Heartbeat of a backend server, received by the node on the same machine.
struct BackendReport {
  InstanceId instance;
  ServiceName service;
  /// Address on which the server accepts requests; reachable only from its own
  /// machine.
  PeerAddress address;
  Slots slots{1};
  bool leaving = false;
  /// Time until the server has warmed up and reaches its normal speed.
  std::chrono::milliseconds warm_up_remaining{0};
  /// Start time of the server, ms since the Unix epoch. Distinguishes a restart
  /// under the same id and a delayed report of the previous process.
  std::int64_t started_at_ms = 0;
  /// Increases with each report of one server process.
  std::uint64_t sequence = 0;
};

/// State of the backend server on this node's machine, according to its
/// reports.
struct LocalBackend {
  bool present = false;
  BackendReport report;
};

/// A backend server and the node on its machine, as published to all nodes in
/// the directory table. The row's key is the node's id.
struct DirectoryEntry {
  NodeId node;
  /// Address on which the node accepts calls for the server.
  PeerAddress address;
  ZoneName zone;
  ServiceName service;
  InstanceId instance;
  Slots slots{1};
  /// Start time of the server, ms since the Unix epoch, as in its reports.
  std::int64_t started_at_ms = 0;
  /// The server gets no calls: it has departed, or its reports have stopped.
  bool leaving = false;
  /// The server has announced its departure, which is final for this server
  /// process. A restarted node takes it from here.
  bool departed = false;
  friend bool operator==(const DirectoryEntry&,
                         const DirectoryEntry&) = default;
};

using Directory = std::map<NodeId, DirectoryEntry>;

}  // namespace cassiakeel::mesh
