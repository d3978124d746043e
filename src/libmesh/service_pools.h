#pragma once

#include <unordered_map>

#include "cassiakeel/mesh/backend.h"
#include "cassiakeel/routing/selection.h"

namespace cassiakeel::mesh::pvt {

/// The endpoints of each service with what this node observed of them.
class ServicePools {
 public:
  ServicePools(NodeId self, ZoneName zone);

  /// Takes over a directory; statistics of nodes that stay are kept.
  void Update(const Directory& directory);
  /// The pool of a service, empty for one that the directory does not name.
  routing::Pool& Of(const ServiceName& service);

 private:
  NodeId self;
  ZoneName zone;
  std::unordered_map<ServiceName, routing::Pool> pools;
};

}  // namespace cassiakeel::mesh::pvt
