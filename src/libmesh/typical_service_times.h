#pragma once

#include <chrono>
#include <cstdint>
#include <unordered_map>

namespace cassiakeel::mesh::pvt {

/// Geometric mean of the service times of each kind of work at one backend
/// server, which a few very long calls hardly change. The gate sees all calls
/// for its server, so that the means are reliable after a few calls; they are
/// sent to the callers' nodes, each of which sees only a few.
class TypicalServiceTimes {
 public:
  /// Adds the service time of one call and returns the mean of its kind. A
  /// failure that took less than the mean is not counted, because it says
  /// nothing about the speed of the server.
  std::chrono::nanoseconds Add(std::uint64_t kind,
                               std::chrono::nanoseconds service_time,
                               bool failed);

 private:
  struct Mean {
    /// Natural logarithm of nanoseconds.
    double log_ns = 0;
    int samples = 0;
  };
  std::unordered_map<std::uint64_t, Mean> means;
};

}  // namespace cassiakeel::mesh::pvt
