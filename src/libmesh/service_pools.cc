#include "service_pools.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cassiakeel::mesh::pvt {
namespace {

using std::chrono::milliseconds;

// Distances to nodes in the same availability zone as this node and in other
// availability zones, which the selection weighs against waiting time. The
// distance to other availability zones includes the cost of traffic between
// zones, besides the round trip.
constexpr milliseconds kOwnZoneDistance{1};
constexpr milliseconds kOtherZoneDistance{80};
// Short, because nodes restart within one to two seconds.
constexpr milliseconds kLeavingAvoidTime{800};
constexpr milliseconds kMaxEjection{3000};

}  // namespace

ServicePools::ServicePools(const MeshSettings& settings) : settings(settings) {}

void ServicePools::Update(const Directory& directory) {
  this->nodes = std::max<std::size_t>(1, directory.size());
  std::unordered_map<ServiceName, std::vector<routing::Endpoint>> by_service;
  for (const auto& [node, entry] : directory) {
    by_service[entry.service].push_back(
        {entry.node, entry.address, entry.zone, false, entry.leaving});
  }
  for (auto& [service, pool] : this->pools) {
    if (!by_service.contains(service)) {
      routing::UpdateEndpoints(pool, {});
    }
  }
  for (auto& [service, endpoints] : by_service) {
    routing::UpdateEndpoints(this->PoolFor(service), std::move(endpoints));
  }
}

routing::Pool& ServicePools::PoolFor(const ServiceName& service) {
  const auto found = this->pools.find(service);
  if (found != this->pools.end()) {
    return found->second;
  }
  auto& pool = this->pools[service];
  pool.self = this->settings.node;
  pool.distance[this->settings.zone] = kOwnZoneDistance;
  pool.default_distance = kOtherZoneDistance;
  pool.leaving_exclusion_time = kLeavingAvoidTime;
  pool.max_ejection_time = kMaxEjection;
  return pool;
}

void ServicePools::OnOwnServerReady(const ServiceName& service) {
  routing::OnReady(this->PoolFor(service), this->settings.node);
}

routing::Selection ServicePools::Select(
    const ServiceName& service,
    const routing::SelectionRequest& request,
    SteadyTime now,
    Rng& rng) {
  auto& pool = this->PoolFor(service);
  if (this->settings.zone_crossing_cost.count() == 0) {
    return routing::SelectEndpoint(pool, request, now, rng);
  }
  auto& overflow = this->overflows[service];
  overflow.home = this->settings.zone;
  overflow.crossing_cost = this->settings.zone_crossing_cost;
  overflow.callers = this->nodes;
  return routing::SelectWithZones(overflow, pool, request, now, rng);
}

}  // namespace cassiakeel::mesh::pvt
