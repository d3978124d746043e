#include "retry_quota.h"

#include <algorithm>

namespace cassiakeel::mesh::pvt {
namespace {

constexpr std::chrono::milliseconds kBucket{500};
// A repeated run repeats its own calls, and those may be repeated again: with
// the share r at each of n hops the last sees (1 + r)^n - 1. A quarter of the
// bound keeps a chain of four below it.
constexpr double kChainShare = 0.25;
// Part of the slack that is given out; the rest covers uneven windows.
constexpr double kSlackShare = 0.4;

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
    list.push_back({now, 0, 0});
  }
  return list;
}

void RetryQuota::NoteFirst(const ServiceName& service, SteadyTime now) {
  ++this->Roll(service, now).back().firsts;
}

bool RetryQuota::Take(const ServiceName& service, SteadyTime now) {
  auto& list = this->Roll(service, now);
  double firsts = 0;
  double repeats = 0;
  for (const auto& bucket : list) {
    firsts += bucket.firsts;
    repeats += bucket.repeats;
  }
  const double allowed =
      firsts * this->bounds.ratio * kChainShare +
      this->bounds.slack * kSlackShare / static_cast<double>(this->nodes);
  if (repeats + 1 > allowed) {
    return false;
  }
  ++list.back().repeats;
  return true;
}

}  // namespace cassiakeel::mesh::pvt
