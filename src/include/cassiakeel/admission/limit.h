#pragma once

#include <cstdint>
#include <unordered_map>

#include "cassiakeel/admission/admission.h"

namespace cassiakeel::admission {

/// Service times of one kind of work.
struct LatencyTrack {
  /// Slowly moving minimum of the window means, in nanoseconds; 0 before the
  /// first window.
  double base_ns = 0;
  /// Base before it was raised to the latency of a slowed server; 0 for none.
  double normal_ns = 0;
  /// Mean of the last complete window, in nanoseconds.
  double recent_ns = 0;
  /// Sum and count of the window being filled.
  double sum_ns = 0;
  int count = 0;
};

/// Adaptive concurrency limit of one endpoint: a gradient limit, which
/// compares the observed service time with its slowly moving minimum, plus a
/// linear slow start. All functions are called by state.cc.
struct LimitState {
  double limit = 1;
  /// min(slots, max_in_flight of the policy).
  int ceiling = 1;
  SteadyTime cold_since;
  std::chrono::nanoseconds ramp_time{0};
  bool adaptive = true;
  SteadyTime window_start;
  int window_samples = 0;
  /// Highest number in flight in this window.
  int peak_in_flight = 0;
  bool server_refused = false;
  /// Samples of calls dispatched before this time tell of the old limit.
  SteadyTime decreased_at;
  /// Limit before the current run of decreases, 0 for none, and the highest
  /// latency ratio in it.
  double descent_limit = 0;
  double descent_ratio = 0;
  std::unordered_map<std::uint64_t, LatencyTrack> tracks;
};

/// A cold limit: a quarter of the ceiling, growing linearly.
LimitState MakeLimit(const Config& config, SteadyTime now);

/// Takes over slots and policy bound. More slots than before are ramped up
/// like a cold start by the growth of the limit.
void ReconfigureLimit(LimitState& state, const Config& config);

/// Number of calls that may be in flight, at least 1.
int CurrentLimit(const LimitState& state, SteadyTime now);

/// Adds one service time. `track` is the kind, or the length where the kind
/// is unknown.
void AddSample(LimitState& state,
               std::uint64_t track,
               std::chrono::nanoseconds service_time,
               SteadyTime now);

/// Notes the number in flight after a call started.
void NoteInFlight(LimitState& state, int in_flight);

/// Ends the window when it is due and moves the limit. It falls only while at
/// least half of it is in use.
void RollLimit(LimitState& state, int in_flight, SteadyTime now);

/// Least service time to expect of work of `track`; zero where unknown.
std::chrono::nanoseconds ExpectedServiceTime(const LimitState& state,
                                             std::uint64_t track);

}  // namespace cassiakeel::admission
