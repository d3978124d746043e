#pragma once

#include <chrono>
#include <cstddef>

#include "cassiakeel/allotment/limit.h"

/// Constants and formulas on which the bound of the sum over all nodes depends.
/// All nodes must use the same ones.
namespace cassiakeel::allotment {

/// Part of the quota that a node without a grant enforces, times the number of
/// nodes. A coordinator allocates the same part for each node that it counts,
/// so that no agreement on the coordinator is needed.
inline constexpr double kFallbackFraction = 1;
/// The same in the first window of a process, evenly over time: an earlier
/// process of the node may just have used its share.
inline constexpr double kFreshFraction = 0.4;
/// Part that nodes with a grant enforce for tenants whose demand they do not
/// report, times the number of nodes. It admits the first requests of a client
/// until the next exchange.
inline constexpr double kIdleFraction = 0.05;
/// Part of the bound that is shared out; with a burst of a second, 1.12 times
/// the rate. The remainder covers changes of the coordinator, in which nodes
/// that are not counted yet may have used more than their part, and the random
/// rounding of shares below one request.
inline constexpr double kUsablePart = 0.85;

/// Time between two exchanges of a node. Grows with the number of nodes so that
/// a coordinator receives at most 600 reports per second.
std::chrono::milliseconds ExchangeInterval(std::size_t nodes);

/// How long a coordinator counts a report, and how long a node uses a grant
/// from the time at which its report was sent.
std::chrono::milliseconds GrantValidity(std::size_t nodes);

/// Part of the quota of each of `nodes` nodes that share `fraction` equally.
double EqualPart(double fraction, std::size_t nodes);

/// Part of the quotas that a coordinator allocates which counts `counted` of
/// `nodes` nodes. Coordinators that count disjoint sets of nodes, together with
/// the fallback of nodes that none counts, allocate at most 1.
double PoolFraction(std::size_t counted, std::size_t nodes);

/// Requests of one window that all nodes together may admit.
double QuotaOf(const Limit& limit, const Bounds& bounds);

}  // namespace cassiakeel::allotment
