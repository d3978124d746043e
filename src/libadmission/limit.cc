#include "cassiakeel/admission/limit.h"

#include <algorithm>
#include <cmath>

namespace cassiakeel::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// Share of the ceiling at which slow start begins.
constexpr double kInitialLimitShare = 0.25;
constexpr nanoseconds kMinWindow = milliseconds(100);
// A window of this length is complete with `kMinSamplesPerKey` samples instead
// of `kMinWindowSamples`, so that the limit adapts at low call rates too.
constexpr nanoseconds kLowRateWindow = milliseconds(300);
constexpr nanoseconds kMaxWindow = std::chrono::seconds(1);
// The mean of 32 exponentially distributed service times is within a factor of
// 1.5 of the true mean in 99.6% of all windows.
constexpr int kMinWindowSamples = 32;
// Keys with fewer samples in a window are left out of the latency ratio.
constexpr int kMinSamplesPerKey = 16;
// Ratio of latency to baseline above which a window counts as a slowdown.
constexpr double kSlowdownRatio = 2.0;
// Ratio up to which the latency counts as unloaded, so that the limit grows at
// the full rate.
constexpr double kUnloadedRatio = 1.3;
// Weight of a window in the baseline. Lower latency counts more than higher
// latency. Latency under load has the least weight; otherwise the baseline
// would adapt to a lasting overload and hide it.
constexpr double kBaselineWeightDown = 0.05;
constexpr double kBaselineWeightUp = 0.02;
constexpr double kBaselineWeightUpUnderLoad = 0.001;
// A window below this share of a raised baseline ends the slowdown at once.
constexpr double kRecoveryRatio = 0.5;
// When the backend server refused a call, the limit becomes this factor times
// the smaller of the limit and the peak number in flight.
constexpr double kServerRefusalFactor = 0.9;
// When reducing the limit to a quarter does not halve the latency ratio, load
// is not the cause of the slowdown, and a lower limit would only waste
// capacity.
constexpr double kMinDecreasedShare = 0.25;
constexpr double kNoReliefRatio = 0.5;
// When less than this share of the limit is in use, the load of this endpoint
// does not explain its latency. Lowering the limit would not help now and would
// only reduce capacity in the next surge.
constexpr double kMinUsedShare = 0.5;
// Samples of further keys are ignored, to bound memory use.
constexpr std::size_t kMaxWorkKeys = 256;

int LimitCeiling(const Config& config) {
  int ceiling = std::max(1, config.slots.Value());
  if (config.max_in_flight > 0) {
    ceiling = std::min(ceiling, config.max_in_flight);
  }
  return ceiling;
}

// Latency of the window relative to the baselines, weighted by samples; 0 if no
// key has enough samples and a baseline.
double LatencyRatio(const LimitState& state) {
  double ratio_sum = 0;
  double sample_count = 0;
  for (const auto& [key, stats] : state.service_times) {
    if (stats.window_count < kMinSamplesPerKey || stats.baseline_ns <= 0) {
      continue;
    }
    ratio_sum += stats.window_sum_ns / stats.baseline_ns;
    sample_count += stats.window_count;
  }
  return sample_count > 0 ? ratio_sum / sample_count : 0;
}

void UpdateBaseline(ServiceTimeStats& stats) {
  const double mean = stats.window_sum_ns / stats.window_count;
  stats.last_mean_ns = mean;
  if (stats.baseline_ns <= 0) {
    stats.baseline_ns = mean;
  } else if (stats.original_baseline_ns > 0 &&
             mean < stats.baseline_ns * kRecoveryRatio) {
    stats.baseline_ns = std::max(mean, stats.original_baseline_ns);
    stats.original_baseline_ns = 0;
  } else if (mean < stats.baseline_ns) {
    stats.baseline_ns += (mean - stats.baseline_ns) * kBaselineWeightDown;
  } else {
    const bool under_load = mean > stats.baseline_ns * kUnloadedRatio;
    stats.baseline_ns +=
        (mean - stats.baseline_ns) *
        (under_load ? kBaselineWeightUpUnderLoad : kBaselineWeightUp);
  }
  stats.window_sum_ns = 0;
  stats.window_count = 0;
}

// Adopts the current latency as the baseline and restores the limit, because
// reducing the load did not reduce the latency.
void ResetBaselines(LimitState& state) {
  for (auto& [key, stats] : state.service_times) {
    if (stats.window_count >= kMinSamplesPerKey) {
      if (stats.original_baseline_ns <= 0) {
        stats.original_baseline_ns = stats.baseline_ns;
      }
      stats.baseline_ns = stats.window_sum_ns / stats.window_count;
    }
  }
  state.limit = state.limit_before_decrease;
  state.limit_before_decrease = 0;
}

void DecreaseLimit(LimitState& state, double ratio, SteadyTime now) {
  if (state.limit_before_decrease <= 0) {
    state.limit_before_decrease = state.limit;
    state.peak_latency_ratio = 0;
  }
  state.peak_latency_ratio = std::max(state.peak_latency_ratio, ratio);
  const double gradient = std::clamp(kSlowdownRatio / ratio, 0.5, 1.0);
  state.limit = state.limit * gradient + std::sqrt(state.limit) * 0.5;
  state.decreased_at = now;
}

void AdjustLimit(LimitState& state, double ratio, SteadyTime now) {
  if (state.server_refused) {
    state.limit =
        std::min(state.limit, static_cast<double>(state.peak_in_flight)) *
        kServerRefusalFactor;
    return;
  }
  if (ratio > kSlowdownRatio) {
    if (state.peak_in_flight < CurrentLimit(state, now) * kMinUsedShare) {
      return;
    }
    const bool fully_decreased =
        state.limit_before_decrease > 0 &&
        state.limit <=
            std::max(4.0, state.limit_before_decrease * kMinDecreasedShare);
    if (fully_decreased && ratio > state.peak_latency_ratio * kNoReliefRatio) {
      ResetBaselines(state);
    } else {
      DecreaseLimit(state, ratio, now);
    }
    return;
  }
  if (ratio > 0 && ratio <= kUnloadedRatio) {
    state.limit_before_decrease = 0;
    state.limit += std::max(1.0, state.ceiling * 0.1);
  } else if (ratio > 0) {
    state.limit += std::max(1.0, std::sqrt(state.limit) * 0.5);
  }
}

// Twice the shortest mean service time. In a shorter window only the fastest of
// the calls that started under the current limit would have finished.
nanoseconds MinWindowLength(const LimitState& state) {
  double shortest_ns = 0;
  for (const auto& [key, stats] : state.service_times) {
    if (stats.last_mean_ns > 0 &&
        (shortest_ns <= 0 || stats.last_mean_ns < shortest_ns)) {
      shortest_ns = stats.last_mean_ns;
    }
  }
  return std::clamp(nanoseconds(static_cast<std::int64_t>(shortest_ns * 2)),
                    kMinWindow, kMaxWindow);
}

}  // namespace

LimitState MakeLimit(const Config& config, SteadyTime now) {
  LimitState state;
  state.ceiling = LimitCeiling(config);
  state.limit = state.ceiling;
  state.ramp_start = now;
  state.ramp_time = config.ramp_time;
  state.adaptive = config.adaptive;
  state.window_start = now;
  state.decreased_at = now;
  return state;
}

void ReconfigureLimit(LimitState& state, const Config& config) {
  state.ceiling = LimitCeiling(config);
  state.adaptive = config.adaptive;
  state.limit = state.adaptive
                    ? std::min(state.limit, static_cast<double>(state.ceiling))
                    : state.ceiling;
}

int CurrentLimit(const LimitState& state, SteadyTime now) {
  double bound = std::min(state.limit, static_cast<double>(state.ceiling));
  const auto ramp_elapsed = now - state.ramp_start;
  if (ramp_elapsed < state.ramp_time) {
    const double progress = std::max(
        0.0, std::chrono::duration<double>(ramp_elapsed) / state.ramp_time);
    bound =
        std::min(bound, state.ceiling * (kInitialLimitShare +
                                         (1 - kInitialLimitShare) * progress));
  }
  return std::max(1, static_cast<int>(bound));
}

void AddSample(LimitState& state,
               std::uint64_t work_key,
               std::chrono::nanoseconds service_time,
               SteadyTime now) {
  if (service_time.count() <= 0) {
    return;
  }
  // Calls dispatched before the last decrease show the latency of the higher
  // limit.
  if (now - service_time < state.decreased_at) {
    return;
  }
  if (state.service_times.size() >= kMaxWorkKeys &&
      !state.service_times.contains(work_key)) {
    return;
  }
  ServiceTimeStats& stats = state.service_times[work_key];
  stats.window_sum_ns += static_cast<double>(service_time.count());
  ++stats.window_count;
  ++state.window_samples;
}

void UpdateLimit(LimitState& state, int in_flight, SteadyTime now) {
  const auto elapsed = now - state.window_start;
  if (elapsed < kMinWindow) {
    return;
  }
  const bool enough_samples = (state.window_samples >= kMinWindowSamples ||
                               (state.window_samples >= kMinSamplesPerKey &&
                                elapsed >= kLowRateWindow)) &&
                              elapsed >= MinWindowLength(state);
  if (!enough_samples && !state.server_refused && elapsed < kMaxWindow) {
    return;
  }
  if (state.adaptive) {
    AdjustLimit(state, LatencyRatio(state), now);
    state.limit =
        std::clamp(state.limit, 1.0, static_cast<double>(state.ceiling));
  }
  for (auto& [key, stats] : state.service_times) {
    if (stats.window_count >= kMinSamplesPerKey) {
      UpdateBaseline(stats);
    }
  }
  state.window_start = now;
  state.window_samples = 0;
  state.server_refused = false;
  state.peak_in_flight = in_flight;
}

void RecordInFlight(LimitState& state, int in_flight) {
  state.peak_in_flight = std::max(state.peak_in_flight, in_flight);
}

std::chrono::nanoseconds ExpectedServiceTime(const LimitState& state,
                                             std::uint64_t work_key) {
  const auto found = state.service_times.find(work_key);
  if (found == state.service_times.end() || found->second.baseline_ns <= 0) {
    return nanoseconds(0);
  }
  const double expected_ns =
      std::min(found->second.baseline_ns, found->second.last_mean_ns);
  return nanoseconds(static_cast<std::int64_t>(expected_ns));
}

}  // namespace cassiakeel::admission
