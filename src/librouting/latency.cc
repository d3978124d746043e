#include <algorithm>
#include <cmath>

#include "cassiakeel/routing/selection.h"
#include "pool.h"

namespace cassiakeel::routing {
namespace {

using std::chrono::nanoseconds;

// Lower edge of the first bucket.
constexpr double kMinLatencyNs = 1000;
constexpr double kBucketsPerDoubling = 8;
constexpr float kMinResponses = 20;
// At this total all counts are halved, so that the quantiles adapt within a few
// thousand responses.
constexpr float kMaxHistogramTotal = 2000;
constexpr double kHedgeQuantile = 0.95;

}  // namespace

namespace pvt {

void AddLatency(LatencyHistogram& histogram, double ns) {
  const double position =
      std::log2(std::max(ns, kMinLatencyNs) / kMinLatencyNs) *
      kBucketsPerDoubling;
  const auto bucket =
      std::min(static_cast<std::size_t>(position), histogram.counts.size() - 1);
  histogram.counts[bucket] += 1;
  histogram.total += 1;
  if (histogram.total >= kMaxHistogramTotal) {
    histogram.total = 0;
    for (auto& count : histogram.counts) {
      count /= 2;
      histogram.total += count;
    }
  }
}

}  // namespace pvt

std::optional<nanoseconds> LatencyQuantile(const Pool& pool, double quantile) {
  const auto& histogram = pool.short_latency;
  if (histogram.total < kMinResponses) {
    return std::nullopt;
  }
  const double above = histogram.total * (1 - std::clamp(quantile, 0.0, 1.0));
  double sum = 0;
  std::size_t bucket = histogram.counts.size();
  while (bucket > 0 && sum <= above) {
    --bucket;
    sum += histogram.counts[bucket];
  }
  // Upper edge of the bucket.
  return nanoseconds(static_cast<std::int64_t>(
      kMinLatencyNs *
      std::exp2(static_cast<double>(bucket + 1) / kBucketsPerDoubling)));
}

std::optional<nanoseconds> HedgeDelay(const Pool& pool,
                                      WorkLength length,
                                      bool idempotent,
                                      nanoseconds time_left,
                                      const RetryBudget& budget) {
  if (length != WorkLength::kShort || !idempotent || budget.closed ||
      budget.remaining <= 0) {
    return std::nullopt;
  }
  const auto wait = LatencyQuantile(pool, kHedgeQuantile);
  // A hedge is wasted work if less than the median latency is left when it is
  // sent.
  const auto median = LatencyQuantile(pool, 0.5);
  if (!wait || *wait + *median > time_left) {
    return std::nullopt;
  }
  return wait;
}

}  // namespace cassiakeel::routing
