#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "cassiakeel/allotment/limit.h"
#include "cassiakeel/base/strong.h"
#include "cassiakeel/mesh/call.h"

namespace cassiakeel::mesh {

/// Upper bound on retries, that is, requests that reach a backend server more
/// than once, per service and over all nodes.
struct RetryBounds {
  /// Retries per first attempt within any window.
  double ratio = 0.2;
  std::chrono::seconds window{10};
  /// Retries allowed in any window in addition to `ratio`, over all nodes.
  double slack = 0;
};

/// Start-up settings of a mesh node.
struct MeshSettings {
  NodeId node;
  ZoneName zone;
  /// Service of the backend server on this machine; used as the caller service
  /// of all requests that originate here.
  ServiceName service;
  /// Address on which that server accepts requests.
  PeerAddress backend_address;
  /// Listen address for requests of clients and of the backend server of this
  /// machine.
  PeerAddress outbound_address;
  /// Listen address for calls of other nodes to the backend server.
  PeerAddress inbound_address;
  /// Address published in the directory if it differs from `inbound_address`;
  /// empty otherwise.
  PeerAddress advertised_address;
  /// Listen address for readiness probes.
  PeerAddress ready_address;
  std::string ready_path = "/ready";
  FieldNames fields;
  RetryBounds retry;
  /// Precision with which tenants are kept within their allotments.
  allotment::Bounds allotment;
  /// Cost of sending a call to another availability zone, as the latency that
  /// it must save to be worth it. 0: placement by expected time alone.
  std::chrono::milliseconds zone_crossing_cost{0};
  /// Time between a request to stop and the kill of the process by the
  /// deployment.
  std::chrono::milliseconds shutdown_grace{6000};
  /// File descriptors that the process may open; bounds the connections per
  /// listen address.
  std::size_t max_descriptors = 10000;
};

}  // namespace cassiakeel::mesh
