#include "retry_quota.h"

#include <algorithm>
#include <numeric>

#include "cassiakeel/base/request_class.h"

namespace cassiakeel::mesh::pvt {
namespace {

constexpr std::chrono::milliseconds kBucketLength{500};
// Share of the retry ratio that one hop uses. A retried request makes its
// downstream calls again, and these count as retries at the next hop. With half
// of the ratio, the next hop stays below its bound even if half of the first
// attempts failed before they made downstream calls.
constexpr double kHopShare = 0.5;
// Share of the slack that is used. The rest is a margin for windows with an
// uneven distribution of requests.
constexpr double kSlackShare = 0.4;
// The retry demand in this window predicts the demand of more important work in
// the next kReserveWindow.
constexpr std::chrono::duration<double> kDemandWindow{2};
// Time for which the remaining quota has to last; half of the usual window.
constexpr std::chrono::duration<double> kReserveWindow{5};

}  // namespace

void RetryQuota::SetBounds(const RetryBounds& next, std::size_t node_count) {
  this->bounds = next;
  this->nodes = std::max<std::size_t>(1, node_count);
}

std::deque<RetryQuota::Bucket>& RetryQuota::CurrentBuckets(
    const ServiceName& service,
    SteadyTime now) {
  auto& list = this->buckets[service];
  while (!list.empty() && now - list.front().start > this->bounds.window) {
    list.pop_front();
  }
  if (list.empty() || now - list.back().start >= kBucketLength) {
    list.push_back({now, 0, 0, {}});
  }
  return list;
}

void RetryQuota::RecordFirstAttempt(const ServiceName& service,
                                    SteadyTime now) {
  ++this->CurrentBuckets(service, now).back().first_attempts;
}

void RetryQuota::RecordInheritedRetry(const ServiceName& service,
                                      SteadyTime now) {
  ++this->CurrentBuckets(service, now).back().retries;
}

bool RetryQuota::TakeRetry(const ServiceName& service,
                           double position,
                           SteadyTime now) {
  auto& list = this->CurrentBuckets(service, now);
  const auto bin =
      std::min(kBins - 1, static_cast<std::size_t>(std::max(0.0, position) *
                                                   kBins / kRequestClassCount));
  double first_attempts = 0;
  double retries = 0;
  double demand_above = 0;
  for (const auto& bucket : list) {
    first_attempts += bucket.first_attempts;
    retries += bucket.retries;
    if (now - bucket.start < kDemandWindow) {
      demand_above += std::accumulate(bucket.demand.begin() + bin + 1,
                                      bucket.demand.end(), 0);
    }
  }
  auto& current = list.back();
  ++current.demand[bin];
  const double left =
      first_attempts * this->bounds.ratio * kHopShare +
      this->bounds.slack * kSlackShare / static_cast<double>(this->nodes) -
      retries;
  const double reserved = demand_above * (kReserveWindow / kDemandWindow);
  if (left < 1 || reserved > left) {
    return false;
  }
  ++current.retries;
  return true;
}

}  // namespace cassiakeel::mesh::pvt
