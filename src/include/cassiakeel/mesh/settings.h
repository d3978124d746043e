#pragma once

#include <chrono>
#include <string>

#include "cassiakeel/base/strong.h"
#include "cassiakeel/mesh/call.h"

namespace cassiakeel::mesh {

/// Bound on work that reaches backend servers more than once, over all nodes.
struct RetryBounds {
  /// Repeats per request in any window.
  double ratio = 0.2;
  std::chrono::seconds window{10};
  /// Repeats that are free in any window, over all nodes.
  double slack = 0;
};

/// What a node of the mesh has to know at its start.
struct MeshSettings {
  NodeId node;
  ZoneName zone;
  /// Service of the backend server beside this node; the caller service of all
  /// requests that begin here.
  ServiceName service;
  /// Where that server takes requests.
  PeerAddress backend;
  /// Where clients and the backend server of this machine send requests.
  PeerAddress outbound;
  /// Where other nodes send calls for the backend server.
  PeerAddress inbound;
  /// What the directory tells others of it, where that differs; empty for
  /// `inbound`.
  PeerAddress advertised;
  /// Readiness for the deployment.
  PeerAddress ready;
  std::string ready_path = "/ready";
  FieldNames fields;
  RetryBounds retry;
  /// After a request to stop, the time until the process is killed.
  std::chrono::milliseconds grace{6000};
};

}  // namespace cassiakeel::mesh
