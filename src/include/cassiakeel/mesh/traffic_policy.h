#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cassiakeel/base/random.h"
#include "cassiakeel/base/strong.h"
#include "cassiakeel/tenancy/tenant_table.h"

namespace cassiakeel::mesh {

using RouteName = Strong<std::string, struct RouteNameTag>;

struct WeightedService {
  ServiceName service;
  /// Relative share; at least one weight of a route is positive.
  double weight = 1;
};

/// Handling of the requests for one host and path prefix.
struct Route {
  RouteName name;
  std::string host;
  /// Starts and ends with a slash.
  std::string path_prefix;
  /// The work may run more than once for one request.
  bool idempotent = false;
  /// Maximum time until the caller gets a response; 0 for no limit by the
  /// route.
  std::chrono::milliseconds timeout{0};
  /// Latency objective of the route.
  std::chrono::milliseconds target_latency{1000};
  /// Priority of the requests, 0 for the most important.
  int priority = 0;
  /// Maximum number of backend servers to which one request is sent.
  int max_attempts = 1;
  std::vector<WeightedService> services;
  /// Requests need no key, also if the policy names tenants.
  bool is_public = false;
};

/// Limits on the HTTP input that a node accepts from clients.
struct InputLimits {
  std::size_t header_bytes = 16U << 10U;
  std::size_t body_bytes = 64U << 20U;
  std::chrono::milliseconds header_timeout{5000};
  std::chrono::milliseconds idle_timeout{60000};
};

/// One approved version of the traffic policy. Immutable.
class TrafficPolicy {
 public:
  TrafficPolicy(PolicyVersion version,
                std::vector<Route> routes,
                InputLimits limits,
                tenancy::TenantTable tenants = {});

  PolicyVersion version() const { return this->policy_version; }
  const std::vector<Route>& routes() const { return this->route_list; }
  const InputLimits& limits() const { return this->input_limits; }
  const tenancy::TenantTable& tenants() const { return this->tenant_table; }

  /// The route of `host` (ignoring a port) whose path prefix is the longest
  /// match for `target`, or null.
  const Route* Find(std::string_view host, std::string_view target) const;

 private:
  PolicyVersion policy_version;
  std::vector<Route> route_list;
  InputLimits input_limits;
  tenancy::TenantTable tenant_table;
  /// Indexes into `route_list` by lower-case host name, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> by_host;
};

/// Picks a service of `route` at random, in proportion to the weights.
const ServiceName& DrawService(const Route& route, Rng& rng);

}  // namespace cassiakeel::mesh
