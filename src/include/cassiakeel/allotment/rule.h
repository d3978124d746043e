#pragma once

#include <chrono>
#include <cstddef>

#include "cassiakeel/allotment/limit.h"

/// Constants and formulas on which the bound of the sum over all nodes depends.
/// All nodes must use the same ones.
namespace cassiakeel::allotment {

/// Part of the allotment that a node without a grant enforces, times the number
/// of nodes.
inline constexpr double kFallbackFraction = 0.5;
/// Part that nodes with a grant enforce for tenants whose demand they do not
/// report, times the number of nodes. It admits the first requests of a client
/// until the next exchange.
inline constexpr double kIdleFraction = 0.1;
/// Part of the tokens beyond rate x window that the bound permits and that the
/// buckets hold. The remainder covers the times at which two coordinators count
/// a node, and the random levels of buckets that hold less than one token.
inline constexpr double kDepthFraction = 0.75;

/// Time between two exchanges of a node. Grows with the number of nodes so that
/// a coordinator receives at most 600 reports per second.
std::chrono::milliseconds ExchangeInterval(std::size_t nodes);

/// How long a coordinator counts a report, and how long a node uses a grant
/// from the time at which its report was sent.
std::chrono::milliseconds GrantValidity(std::size_t nodes);

/// Time after its last report to another coordinator from which a node is
/// counted by a new one. Shorter than the validity by the time that a node
/// needs to find a new coordinator, so that its old grant has not expired when
/// it receives a new one.
std::chrono::milliseconds SettleTime(std::size_t nodes);

/// Part of the allotments that a coordinator allocates which counts `counted`
/// of `nodes` nodes. Coordinators that count disjoint sets of nodes, together
/// with the fallback of nodes that none counts, allocate at most 1.
double PoolFraction(std::size_t counted, std::size_t nodes);

/// Tokens that the buckets of all nodes hold together.
double TotalDepth(const Limit& limit, const Bounds& bounds);

}  // namespace cassiakeel::allotment
