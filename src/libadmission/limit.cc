#include "cassiakeel/admission/limit.h"

#include <algorithm>
#include <cmath>

namespace cassiakeel::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr double kColdShare = 0.25;
constexpr nanoseconds kWindow = milliseconds(100);
// From here on the samples that one kind needs are enough.
constexpr nanoseconds kPatientWindow = milliseconds(300);
constexpr nanoseconds kMaxWindow = std::chrono::seconds(1);
// The mean of 32 exponential service times lies within 1.5x of the true mean
// in 99.6% of all windows.
constexpr int kWindowSamples = 32;
// A kind takes part in the comparison only with this many samples.
constexpr int kTrackSamples = 16;
// Windows up to this many times the base are no slowdown.
constexpr double kTolerance = 2.0;
constexpr double kGrowFreely = 1.3;
// A base follows faster work quickly and slower work slowly. Latency under
// load hardly counts, or a lasting overload would become the norm.
constexpr double kBaseDown = 0.05;
constexpr double kBaseUp = 0.02;
constexpr double kBaseUpUnderLoad = 0.001;
// Times this much shorter end a slowdown at once.
constexpr double kSlowdownEnds = 0.5;
constexpr double kServerRefusedFactor = 0.9;
// When a quarter of the limit does not halve the latency, the load is not the
// cause of the slowdown, and a lower limit would only waste capacity.
constexpr double kDescentShare = 0.25;
constexpr double kNoReliefRatio = 0.5;
// Below this share of the limit, the load of this endpoint does not explain its
// latency, and a lower limit would change nothing but the next surge.
constexpr double kUsedShare = 0.5;
constexpr std::size_t kMaxTracks = 256;

int CeilingOf(const Config& config) {
  int ceiling = std::max(1, config.slots.Value());
  if (config.max_in_flight > 0) {
    ceiling = std::min(ceiling, config.max_in_flight);
  }
  return ceiling;
}

// Latency of the window relative to the bases, weighted by samples; 0 where
// too little is known.
double LatencyRatio(const LimitState& state) {
  double weighted = 0;
  double weight = 0;
  for (const auto& [id, track] : state.tracks) {
    if (track.count < kTrackSamples || track.base_ns <= 0) {
      continue;
    }
    weighted += track.sum_ns / track.base_ns;
    weight += track.count;
  }
  return weight > 0 ? weighted / weight : 0;
}

void MoveBase(LatencyTrack& track) {
  const double mean = track.sum_ns / track.count;
  track.recent_ns = mean;
  if (track.base_ns <= 0) {
    track.base_ns = mean;
  } else if (track.normal_ns > 0 && mean < track.base_ns * kSlowdownEnds) {
    track.base_ns = std::max(mean, track.normal_ns);
    track.normal_ns = 0;
  } else if (mean < track.base_ns) {
    track.base_ns += (mean - track.base_ns) * kBaseDown;
  } else {
    const bool loaded = mean > track.base_ns * kGrowFreely;
    track.base_ns +=
        (mean - track.base_ns) * (loaded ? kBaseUpUnderLoad : kBaseUp);
  }
  track.sum_ns = 0;
  track.count = 0;
}

// Takes the present latency for normal and restores the limit, because less
// load did not help.
void Rebase(LimitState& state) {
  for (auto& [id, track] : state.tracks) {
    if (track.count >= kTrackSamples) {
      if (track.normal_ns <= 0) {
        track.normal_ns = track.base_ns;
      }
      track.base_ns = track.sum_ns / track.count;
    }
  }
  state.limit = state.descent_limit;
  state.descent_limit = 0;
}

void Decrease(LimitState& state, double ratio, SteadyTime now) {
  if (state.descent_limit <= 0) {
    state.descent_limit = state.limit;
    state.descent_ratio = 0;
  }
  state.descent_ratio = std::max(state.descent_ratio, ratio);
  const double gradient = std::clamp(kTolerance / ratio, 0.5, 1.0);
  state.limit = state.limit * gradient + std::sqrt(state.limit) * 0.5;
  state.decreased_at = now;
}

void MoveLimit(LimitState& state, double ratio, SteadyTime now) {
  if (state.server_refused) {
    state.limit =
        std::min(state.limit, static_cast<double>(state.peak_in_flight)) *
        kServerRefusedFactor;
    return;
  }
  if (ratio > kTolerance) {
    if (state.peak_in_flight < CurrentLimit(state, now) * kUsedShare) {
      return;
    }
    const bool descended =
        state.descent_limit > 0 &&
        state.limit <= std::max(4.0, state.descent_limit * kDescentShare);
    if (descended && ratio > state.descent_ratio * kNoReliefRatio) {
      Rebase(state);
    } else {
      Decrease(state, ratio, now);
    }
    return;
  }
  if (ratio > 0 && ratio <= kGrowFreely) {
    state.descent_limit = 0;
    state.limit += std::max(1.0, state.ceiling * 0.1);
  } else if (ratio > 0) {
    state.limit += std::max(1.0, std::sqrt(state.limit) * 0.5);
  }
}

// The window must be long enough for calls that started under the present
// limit to end, or only the fastest of them would be seen.
nanoseconds WindowLength(const LimitState& state) {
  double shortest_ns = 0;
  for (const auto& [id, track] : state.tracks) {
    if (track.recent_ns > 0 &&
        (shortest_ns <= 0 || track.recent_ns < shortest_ns)) {
      shortest_ns = track.recent_ns;
    }
  }
  return std::clamp(nanoseconds(static_cast<std::int64_t>(shortest_ns * 2)),
                    kWindow, kMaxWindow);
}

}  // namespace

LimitState MakeLimit(const Config& config, SteadyTime now) {
  LimitState state;
  state.ceiling = CeilingOf(config);
  state.limit = state.ceiling;
  state.cold_since = now;
  state.ramp_time = config.ramp_time;
  state.adaptive = config.adaptive;
  state.window_start = now;
  state.decreased_at = now;
  return state;
}

void ReconfigureLimit(LimitState& state, const Config& config) {
  state.ceiling = CeilingOf(config);
  state.adaptive = config.adaptive;
  state.limit = state.adaptive
                    ? std::min(state.limit, static_cast<double>(state.ceiling))
                    : state.ceiling;
}

int CurrentLimit(const LimitState& state, SteadyTime now) {
  double bound = std::min(state.limit, static_cast<double>(state.ceiling));
  const auto warm_for = now - state.cold_since;
  if (warm_for < state.ramp_time) {
    const double progress = std::max(
        0.0, std::chrono::duration<double>(warm_for) / state.ramp_time);
    bound = std::min(
        bound, state.ceiling * (kColdShare + (1 - kColdShare) * progress));
  }
  return std::max(1, static_cast<int>(bound));
}

void AddSample(LimitState& state,
               std::uint64_t track,
               std::chrono::nanoseconds service_time,
               SteadyTime now) {
  if (service_time.count() <= 0) {
    return;
  }
  // Calls that were dispatched under a higher limit still show its latency.
  if (now - service_time < state.decreased_at) {
    return;
  }
  if (state.tracks.size() >= kMaxTracks && !state.tracks.contains(track)) {
    return;
  }
  LatencyTrack& entry = state.tracks[track];
  entry.sum_ns += static_cast<double>(service_time.count());
  ++entry.count;
  ++state.window_samples;
}

void RollLimit(LimitState& state, int in_flight, SteadyTime now) {
  const auto elapsed = now - state.window_start;
  if (elapsed < kWindow) {
    return;
  }
  const bool enough =
      (state.window_samples >= kWindowSamples ||
       (state.window_samples >= kTrackSamples && elapsed >= kPatientWindow)) &&
      elapsed >= WindowLength(state);
  if (!enough && !state.server_refused && elapsed < kMaxWindow) {
    return;
  }
  if (state.adaptive) {
    MoveLimit(state, LatencyRatio(state), now);
    state.limit =
        std::clamp(state.limit, 1.0, static_cast<double>(state.ceiling));
  }
  for (auto& [id, track] : state.tracks) {
    if (track.count >= kTrackSamples) {
      MoveBase(track);
    }
  }
  state.window_start = now;
  state.window_samples = 0;
  state.server_refused = false;
  state.peak_in_flight = in_flight;
}

void NoteInFlight(LimitState& state, int in_flight) {
  state.peak_in_flight = std::max(state.peak_in_flight, in_flight);
}

std::chrono::nanoseconds ExpectedServiceTime(const LimitState& state,
                                             std::uint64_t track) {
  const auto found = state.tracks.find(track);
  if (found == state.tracks.end() || found->second.base_ns <= 0) {
    return nanoseconds(0);
  }
  const double least = std::min(found->second.base_ns, found->second.recent_ns);
  return nanoseconds(static_cast<std::int64_t>(least));
}

}  // namespace cassiakeel::admission
