#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "cassiakeel/base/clock.h"
#include "cassiakeel/base/strong.h"
#include "cassiakeel/mesh/settings.h"

namespace cassiakeel::mesh::pvt {

/// This node's share of the repeats allowed for each service. Shares add up
/// without coordination: the ratio holds for what this node itself sent first,
/// and the slack is divided by the number of nodes.
class RetryQuota {
 public:
  void SetBounds(const RetryBounds& next, std::size_t nodes);
  /// Notes a first arrival at a backend server of `service`.
  void NoteFirst(const ServiceName& service, SteadyTime now);
  /// Takes one repeat, or returns false when the share is used up.
  bool Take(const ServiceName& service, SteadyTime now);

 private:
  struct Bucket {
    SteadyTime start;
    int firsts = 0;
    int repeats = 0;
  };
  std::deque<Bucket>& Roll(const ServiceName& service, SteadyTime now);

  RetryBounds bounds;
  std::size_t nodes = 1;
  std::unordered_map<ServiceName, std::deque<Bucket>> buckets;
};

}  // namespace cassiakeel::mesh::pvt
