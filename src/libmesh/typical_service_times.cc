#include "typical_service_times.h"

#include <algorithm>
#include <cmath>

namespace cassiakeel::mesh::pvt {
namespace {

// Averages over about the last 20 calls of a kind. A server that turns slow is
// recognized within as many calls.
constexpr int kAveragedCalls = 20;
// Kinds whose mean is kept. A policy names some dozens; the bound protects
// against one that renames its routes with each change.
constexpr std::size_t kMaxKinds = 1024;

}  // namespace

std::chrono::nanoseconds TypicalServiceTimes::Add(
    std::uint64_t kind,
    std::chrono::nanoseconds service_time,
    bool failed) {
  if (this->means.size() >= kMaxKinds && !this->means.contains(kind)) {
    this->means.clear();
  }
  auto& mean = this->means[kind];
  const double log_ns =
      std::log(std::max(1.0, static_cast<double>(service_time.count())));
  if (!failed || log_ns > mean.log_ns) {
    mean.samples = std::min(mean.samples + 1, kAveragedCalls);
    mean.log_ns += (log_ns - mean.log_ns) / mean.samples;
  }
  return std::chrono::nanoseconds(std::llround(std::exp(mean.log_ns)));
}

}  // namespace cassiakeel::mesh::pvt
