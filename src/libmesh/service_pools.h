#pragma once

#include <unordered_map>

#include "cassiakeel/mesh/backend.h"
#include "cassiakeel/mesh/settings.h"
#include "cassiakeel/routing/zone_overflow.h"

namespace cassiakeel::mesh::pvt {

/// Endpoints of each service with the statistics that this node has collected.
class ServicePools {
 public:
  explicit ServicePools(const MeshSettings& settings);

  /// Replaces the directory; the statistics of remaining nodes are kept.
  void Update(const Directory& directory);
  /// The pool of a service; empty if the service is not in the directory.
  routing::Pool& PoolFor(const ServiceName& service);
  /// The backend server on this machine takes calls of `service`.
  void OnOwnServerReady(const ServiceName& service);
  /// Selects the endpoint of a call; `PoolFor(service)` has it.
  routing::Selection Select(const ServiceName& service,
                            const routing::SelectionRequest& request,
                            SteadyTime now,
                            Rng& rng);

 private:
  const MeshSettings& settings;
  std::unordered_map<ServiceName, routing::Pool> pools;
  /// Only with a crossing cost.
  std::unordered_map<ServiceName, routing::ZoneOverflow> overflows;
  std::size_t nodes = 1;
};

}  // namespace cassiakeel::mesh::pvt
