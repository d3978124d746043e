#include "service_pools.h"

#include <utility>
#include <vector>

namespace cassiakeel::mesh::pvt {
namespace {

using std::chrono::milliseconds;

// Round trips to nodes of the own and of other zones, weighed against waiting:
// the latter includes what bytes between zones cost.
constexpr milliseconds kOwnZoneDistance{1};
constexpr milliseconds kOtherZoneDistance{80};
// Nodes restart within a second or two.
constexpr milliseconds kLeftTime{800};
constexpr milliseconds kLongestEjection{3000};

}  // namespace

ServicePools::ServicePools(NodeId self, ZoneName zone)
    : self(std::move(self)), zone(std::move(zone)) {}

void ServicePools::Update(const Directory& directory) {
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
    routing::UpdateEndpoints(this->Of(service), std::move(endpoints));
  }
}

routing::Pool& ServicePools::Of(const ServiceName& service) {
  const auto found = this->pools.find(service);
  if (found != this->pools.end()) {
    return found->second;
  }
  auto& pool = this->pools[service];
  pool.self = this->self;
  pool.distance[this->zone] = kOwnZoneDistance;
  pool.unknown_distance = kOtherZoneDistance;
  pool.left_time = kLeftTime;
  pool.longest_ejection = kLongestEjection;
  return pool;
}

}  // namespace cassiakeel::mesh::pvt
