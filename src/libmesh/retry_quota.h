#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "cassiakeel/base/clock.h"
#include "cassiakeel/base/strong.h"
#include "cassiakeel/mesh/settings.h"

namespace cassiakeel::mesh::pvt {

/// This node's share of the retries allowed for each service. The shares of all
/// nodes add up to the bound without coordination: the ratio applies to the
/// first attempts of this node, and the slack is divided by the number of
/// nodes. If more retries are requested than the share allows, the most
/// important work gets them, so that whole call trees finish instead of parts
/// of many trees.
class RetryQuota {
 public:
  void SetBounds(const RetryBounds& next, std::size_t nodes);
  /// Records the first attempt of a request that reached a backend server of
  /// `service`.
  void RecordFirstAttempt(const ServiceName& service, SteadyTime now);
  /// Records the first attempt of a request made by a retried call. It counts
  /// as a retry, but cannot be denied here.
  void RecordInheritedRetry(const ServiceName& service, SteadyTime now);
  /// Takes one retry for work at `position` in the shedding order (see
  /// admission::ShedPosition). Returns false if the share is used up or
  /// reserved for work above that position.
  bool TakeRetry(const ServiceName& service, double position, SteadyTime now);

 private:
  /// Number of ranges of the shedding order for which the demand for retries is
  /// counted separately; 16 per request class.
  static constexpr std::size_t kBins = 64;
  struct Bucket {
    SteadyTime start;
    int first_attempts = 0;
    int retries = 0;
    std::array<std::uint16_t, kBins> demand{};
  };
  /// Buckets of the current window; the last one is open at `now`.
  std::deque<Bucket>& CurrentBuckets(const ServiceName& service,
                                     SteadyTime now);

  RetryBounds bounds;
  std::size_t nodes = 1;
  std::unordered_map<ServiceName, std::deque<Bucket>> buckets;
};

}  // namespace cassiakeel::mesh::pvt
