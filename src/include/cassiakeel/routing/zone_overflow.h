#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>

#include "cassiakeel/base/clock.h"
#include "cassiakeel/base/random.h"
#include "cassiakeel/base/strong.h"
#include "cassiakeel/routing/selection.h"

/// Decides which calls leave their availability zone, see
/// docs/design/leaving-the-zone.md. The node keeps one `ZoneOverflow` per
/// service beside the service's `Pool`.
namespace cassiakeel::routing {

/// Servers of one service in one zone, as far as this node knows.
struct ZoneLoad {
  /// Endpoints that get calls.
  int usable = 0;
  /// Limits of the usable endpoints.
  double limit = 0;
  /// Calls in flight and queued, and limits, of those with a recent report.
  double reported_calls = 0;
  double reported_limit = 0;
  /// Mean service time of the usable endpoints relative to the median of the
  /// kind.
  double relative_time = 0;
  /// Mean age of these reports in seconds.
  double age_s = 0;
  /// Largest share of this node's calls that may be sent to the zone, if it is
  /// not the home zone.
  double allowance = 0;
};

/// Calls of one service that leave the zone.
struct ZoneOverflow {
  ZoneName home;
  /// Latency that a crossing must save to be worth it. 0 switches the module
  /// off.
  std::chrono::nanoseconds crossing_cost{0};
  /// Upper bound on the number of nodes that call the service.
  std::size_t callers = 1;
  /// Logarithm of the share of calls that are to stay; 0 if all are.
  double log_stay = 0;
  /// Moving averages: share of the calls that were refused or failed before,
  /// this node's calls in flight, and expected time of a call in seconds.
  double repeated_share = 0;
  double calls_in_flight = 0;
  double service_time_s = 0;
  std::map<ZoneName, ZoneLoad> zones;
  std::optional<SteadyTime> updated;
  /// Since the last update: sum over the calls of the logarithm of their
  /// expected time in the home zone relative to their target, where it is
  /// above the target and a crossing is shorter; and the number of calls.
  double time_excess_sum = 0;
  int calls = 0;
};

/// Share of the calls that are to leave the zone, in [0, 1]. Calls for which
/// the other zones have no room stay even so.
double LeavingShare(const ZoneOverflow& overflow);

/// Selects an endpoint like `SelectEndpoint`, but decides first whether the
/// call leaves the home zone and for which zone; the endpoint in that zone is
/// selected by the power of two choices. With a crossing cost of 0 it is
/// `SelectEndpoint`, with the same choices for the same random numbers.
Selection SelectWithZones(ZoneOverflow& overflow,
                          const Pool& pool,
                          const SelectionRequest& request,
                          SteadyTime now,
                          Rng& rng);

}  // namespace cassiakeel::routing
