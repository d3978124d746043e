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

/// This node's share of the repeats allowed for each service. Shares add up
/// without coordination: the ratio holds for what this node itself sent first,
/// and the slack is divided by the number of nodes. While more repeats are
/// wanted than the share allows, the most important work gets them, so that
/// whole request trees finish instead of parts of many.
class RetryQuota {
 public:
  void SetBounds(const RetryBounds& next, std::size_t nodes);
  /// Notes a first arrival at a backend server of `service`.
  void NoteFirst(const ServiceName& service, SteadyTime now);
  /// Notes a first arrival caused by a run that was itself a repeat. It counts
  /// as a repeat, though nobody could refuse it here.
  void NoteInherited(const ServiceName& service, SteadyTime now);
  /// Takes one repeat for work at `position` of the shedding order (see
  /// ShedPosition), or returns false when the share is used up or needed for
  /// work above that position.
  bool Take(const ServiceName& service, double position, SteadyTime now);

 private:
  /// Shares of the shedding order whose demand for repeats is counted apart, 16
  /// for each class.
  static constexpr std::size_t kBins = 64;
  struct Bucket {
    SteadyTime start;
    int firsts = 0;
    int repeats = 0;
    std::array<std::uint16_t, kBins> wanted{};
  };
  std::deque<Bucket>& Roll(const ServiceName& service, SteadyTime now);

  RetryBounds bounds;
  std::size_t nodes = 1;
  std::unordered_map<ServiceName, std::deque<Bucket>> buckets;
};

}  // namespace cassiakeel::mesh::pvt
