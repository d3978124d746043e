#include "cassiakeel/mesh/traffic_policy.h"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace cassiakeel::mesh {
namespace {

std::string HostKey(std::string_view host) {
  const auto colon = host.find(':');
  std::string key(host.substr(0, colon));
  std::transform(key.begin(), key.end(), key.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return key;
}

}  // namespace

TrafficPolicy::TrafficPolicy(PolicyVersion version,
                             std::vector<Route> routes,
                             InputLimits limits,
                             tenancy::TenantTable tenants)
    : policy_version(version),
      route_list(std::move(routes)),
      input_limits(limits),
      tenant_table(std::move(tenants)) {
  for (std::size_t i = 0; i < this->route_list.size(); ++i) {
    this->by_host[HostKey(this->route_list[i].host)].push_back(i);
  }
  for (auto& [host, indexes] : this->by_host) {
    std::stable_sort(indexes.begin(), indexes.end(),
                     [this](std::size_t a, std::size_t b) {
                       return this->route_list[a].path_prefix.size() >
                              this->route_list[b].path_prefix.size();
                     });
  }
}

const Route* TrafficPolicy::Find(std::string_view host,
                                 std::string_view target) const {
  const auto found = this->by_host.find(HostKey(host));
  if (found == this->by_host.end()) {
    return nullptr;
  }
  const auto path = target.substr(0, target.find('?'));
  for (const auto index : found->second) {
    if (path.starts_with(this->route_list[index].path_prefix)) {
      return &this->route_list[index];
    }
  }
  return nullptr;
}

const ServiceName& DrawService(const Route& route, Rng& rng) {
  if (route.services.size() == 1) {
    return route.services.front().service;
  }
  const double total = std::accumulate(
      route.services.begin(), route.services.end(), 0.0,
      [](double sum, const auto& entry) { return sum + entry.weight; });
  double draw = UniformUnit(rng) * total;
  for (const auto& entry : route.services) {
    draw -= entry.weight;
    if (draw < 0) {
      return entry.service;
    }
  }
  return route.services.back().service;
}

}  // namespace cassiakeel::mesh
