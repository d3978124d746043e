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

double PoolFraction(std::size_t counted,
                    std::size_t settled,
                    std::size_t nodes) {
  const auto all = static_cast<double>(std::max<std::size_t>(1, nodes));
  const double part = std::min(1.0, static_cast<double>(counted) / all);
  return 2 * settled > nodes ? 1 - kFallbackFraction * (1 - part)
                             : kFallbackFraction * part;
}

double QuotaOf(const Limit& limit, const Bounds& bounds) {
  const double window_s = std::chrono::duration<double>(bounds.window).count();
  const double quantity = limit.rate_per_s * window_s + limit.burst;
  return kUsablePart * (quantity * (1 + bounds.excess) + bounds.slack);
}

}  // namespace cassiakeel::allotment
