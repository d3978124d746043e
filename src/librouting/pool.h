#pragma once

#include "cassiakeel/routing/selection.h"

namespace cassiakeel::routing::pvt {

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

/// Expected probability that a call sent now fails.
double FailureShare(const EndpointStats& stats, SteadyTime now);

}  // namespace cassiakeel::routing::pvt
