#pragma once

#include "cassiakeel/routing/selection.h"

namespace cassiakeel::routing::pvt {

/// Service time of a unit of work at the median endpoint, in nanoseconds.
inline constexpr double kUnitWorkNs = 1e7;

void AddLatency(LatencyHistogram& histogram, double ns);

/// Maximum number of endpoints out of `total` that may be excluded at the same
/// time by suspicion or ejection: 30%, but one of two or three, and never the
/// only one.
std::size_t MaxExcluded(std::size_t total);

bool IsEjected(const EndpointStats& stats, SteadyTime now);
bool IsLeaving(const Pool& pool, std::size_t index, SteadyTime now);

/// Expected latency in nanoseconds: the moving average, which approaches the
/// median of the service as long as there are no responses of the endpoint.
double ExpectedLatency(const Pool& pool,
                       const EndpointStats& stats,
                       WorkLength length,
                       SteadyTime now);

/// Median over the endpoints of the service time of the kind, in nanoseconds; 0
/// before the first response.
double MedianServiceTime(const Pool& pool, std::uint64_t kind);

/// Expected service time of the kind at the endpoint, in nanoseconds: the last
/// one it reported, or the median times its relative service time for other
/// kinds. A time above the median approaches the median as long as there are no
/// responses, so that a server that was slow is tried again.
double ExpectedServiceTime(const Pool& pool,
                           const EndpointStats& stats,
                           std::uint64_t kind,
                           SteadyTime now);

/// Expected probability that a call sent now fails.
double FailureShare(const EndpointStats& stats, SteadyTime now);

}  // namespace cassiakeel::routing::pvt
