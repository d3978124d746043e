#include "retry_quota.h"

#include <algorithm>
#include <numeric>

#include "cassiakeel/base/request_class.h"

namespace cassiakeel::mesh::pvt {
namespace {

constexpr std::chrono::milliseconds kBucket{500};
// A repeated run repeats its own calls, which count at the next hop. With half
// of the bound, they stay below it even where half of the first runs failed
// before they made calls of their own.
constexpr double kChainShare = 0.5;
// Part of the slack that is given out; the rest covers uneven windows.
constexpr double kSlackShare = 0.4;
// The wish for repeats of this time tells what more important work will want
// in the time planned for.
constexpr std::chrono::duration<double> kWishWindow{2};
// What is left is spread over this time, half of the usual window.
constexpr std::chrono::duration<double> kPlanWindow{5};

}  // namespace

void RetryQuota::SetBounds(const RetryBounds& next, std::size_t node_count) {
  this->bounds = next;
  this->nodes = std::max<std::size_t>(1, node_count);
}

std::deque<RetryQuota::Bucket>& RetryQuota::Roll(const ServiceName& service,
                                                 SteadyTime now) {
  auto& list = this->buckets[service];
  while (!list.empty() && now - list.front().start > this->bounds.window) {
    list.pop_front();
  }
  if (list.empty() || now - list.back().start >= kBucket) {
    list.push_back({now, 0, 0, {}});
  }
  return list;
}

void RetryQuota::NoteFirst(const ServiceName& service, SteadyTime now) {
  ++this->Roll(service, now).back().firsts;
}

void RetryQuota::NoteInherited(const ServiceName& service, SteadyTime now) {
  ++this->Roll(service, now).back().repeats;
}

bool RetryQuota::Take(const ServiceName& service,
                      double position,
                      SteadyTime now) {
  auto& list = this->Roll(service, now);
  const auto bin =
      std::min(kBins - 1, static_cast<std::size_t>(std::max(0.0, position) *
                                                   kBins / kRequestClassCount));
  double firsts = 0;
  double repeats = 0;
  double wanted_above = 0;
  for (const auto& bucket : list) {
    firsts += bucket.firsts;
    repeats += bucket.repeats;
    if (now - bucket.start < kWishWindow) {
      wanted_above += std::accumulate(bucket.wanted.begin() + bin + 1,
                                      bucket.wanted.end(), 0);
    }
  }
  auto& current = list.back();
  ++current.wanted[bin];
  const double left =
      firsts * this->bounds.ratio * kChainShare +
      this->bounds.slack * kSlackShare / static_cast<double>(this->nodes) -
      repeats;
  const double reserved = wanted_above * (kPlanWindow / kWishWindow);
  if (left < 1 || reserved > left) {
    return false;
  }
  ++current.repeats;
  return true;
}

}  // namespace cassiakeel::mesh::pvt
