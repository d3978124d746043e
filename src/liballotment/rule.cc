#include "cassiakeel/allotment/rule.h"

#include <algorithm>

namespace cassiakeel::allotment {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinInterval{500};
constexpr double kMaxReportsPerS = 600;
constexpr milliseconds kMinValidity{4000};
// A grant outlasts a few lost exchanges.
constexpr int kIntervalsOfValidity = 4;

}  // namespace

milliseconds ExchangeInterval(std::size_t nodes) {
  const auto least = std::min(nodes, kMaxNodes) / kMaxReportsPerS * 1000;
  return std::max(kMinInterval, milliseconds(static_cast<int>(least)));
}

milliseconds GrantValidity(std::size_t nodes) {
  return std::max(kMinValidity, kIntervalsOfValidity * ExchangeInterval(nodes));
}

double EqualPart(double fraction, std::size_t nodes) {
  return fraction / static_cast<double>(std::max<std::size_t>(1, nodes));
}

double PoolFraction(std::size_t counted, std::size_t nodes) {
  return std::min(kFallbackFraction, static_cast<double>(counted) *
                                         EqualPart(kFallbackFraction, nodes));
}

double QuotaOf(const Limit& limit, const Bounds& bounds) {
  const double window_s = std::chrono::duration<double>(bounds.window).count();
  const double quantity = limit.rate_per_s * window_s + limit.burst;
  return kUsablePart * (quantity * (1 + bounds.excess) + bounds.slack);
}

}  // namespace cassiakeel::allotment
