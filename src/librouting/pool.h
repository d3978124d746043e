#pragma once

#include "cassiakeel/routing/selection.h"

namespace cassiakeel::routing::pvt {

void AddLatency(LatencyHistogram& histogram, double ns);

/// Highest number of endpoints of `total` that may be left out at a time on
/// suspicion or by ejection: 30%, never the last one.
std::size_t ExclusionCap(std::size_t total);

bool IsEjected(const EndpointStats& stats, SteadyTime now);
bool IsLeaving(const Pool& pool, std::size_t index, SteadyTime now);

/// Latency to expect: the moving average, which approaches the median of the
/// service while the endpoint is not observed.
double ExpectedLatency(const Pool& pool,
                       const EndpointStats& stats,
                       WorkLength length,
                       SteadyTime now);

/// Share of failures to expect of a call now.
double FailureShare(const EndpointStats& stats, SteadyTime now);

}  // namespace cassiakeel::routing::pvt
