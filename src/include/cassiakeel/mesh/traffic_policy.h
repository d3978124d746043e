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

namespace cassiakeel::mesh {

using RouteName = Strong<std::string, struct RouteNameTag>;

struct WeightedService {
  ServiceName service;
  /// Relative share; at least one weight of a route is positive.
  double weight = 1;
};

/// How requests of one host and path prefix are treated.
struct Route {
  RouteName name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  /// Work that may run more than once for one request.
  bool idempotent = false;
  /// Longest time that a caller is kept waiting; 0 for no bound of its own.
  std::chrono::milliseconds timeout{0};
  /// Time within which an answer is worth most.
  std::chrono::milliseconds target_latency{1000};
  /// Rank among requests, 0 for the most important.
  int priority = 0;
  /// Backend servers that one request may be sent to.
  int max_attempts = 1;
  std::vector<WeightedService> services;
};

/// What a peer may send to a node.
struct InputLimits {
  std::size_t header_bytes = 16U << 10U;
  std::size_t body_bytes = 64U << 20U;
  std::chrono::milliseconds header_timeout{5000};
  std::chrono::milliseconds idle_timeout{60000};
};

/// One approved version of the policy for traffic, immutable once built.
class TrafficPolicy {
 public:
  TrafficPolicy(PolicyVersion version,
                std::vector<Route> routes,
                InputLimits limits);

  PolicyVersion version() const { return this->number; }
  const std::vector<Route>& routes() const { return this->all; }
  const InputLimits& limits() const { return this->input_limits; }

  /// The route of `host` (a port is ignored) with the longest prefix of
  /// `target`, or null.
  const Route* Find(std::string_view host, std::string_view target) const;

 private:
  PolicyVersion number;
  std::vector<Route> all;
  InputLimits input_limits;
  /// Routes of a host, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> by_host;
};

/// Draws a service of `route` in proportion to the weights.
const ServiceName& DrawService(const Route& route, Rng& rng);

}  // namespace cassiakeel::mesh
