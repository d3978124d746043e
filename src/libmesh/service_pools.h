#pragma once

#include <unordered_map>

#include "cassiakeel/mesh/backend.h"
#include "cassiakeel/routing/selection.h"

namespace cassiakeel::mesh::pvt {

/// Endpoints of each service with the statistics that this node has collected.
class ServicePools {
 public:
  ServicePools(NodeId self, ZoneName zone);

  /// Replaces the directory; the statistics of remaining nodes are kept.
  void Update(const Directory& directory);
  /// The pool of a service; empty if the service is not in the directory.
  routing::Pool& PoolFor(const ServiceName& service);

 private:
  NodeId self;
  ZoneName zone;
  std::unordered_map<ServiceName, routing::Pool> pools;
};

}  // namespace cassiakeel::mesh::pvt
