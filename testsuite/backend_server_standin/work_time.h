#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "cassiakeel/base/random.h"

namespace cassiakeel::testsuite {

/// Distribution of the time that one request occupies a slot.
struct WorkProfile {
  /// Mean of short work, without tail, cold start and slowdown.
  double mean_ms = 20;
  /// Standard deviation of the logarithm of the work time.
  double sigma = 0.4;
  /// Fraction of short requests that take `tail_factor` times longer.
  double tail_share = 0.02;
  double tail_factor = 5;
  /// Mean of long work.
  double long_ms = 1000;
  /// During this time after the start work is slower, by a factor that falls
  /// linearly from `cold_factor` to 1.
  double cold_start_ms = 0;
  double cold_factor = 4;
  /// Paths with one of these prefixes are long work.
  std::vector<std::string> long_path_prefixes;
};

bool IsLongPath(const WorkProfile& profile, std::string_view path);

/// Samples the work time of one request that starts `since_start` after the
/// process start.
std::chrono::nanoseconds SampleWorkTime(const WorkProfile& profile,
                                        bool is_long,
                                        std::chrono::nanoseconds since_start,
                                        double slow_factor,
                                        Rng& rng);

}  // namespace cassiakeel::testsuite
