#pragma once

#include <cstdint>
#include <unordered_map>

#include "cassiakeel/admission/admission.h"

namespace cassiakeel::admission {

/// Service times of one kind of work, used to detect a slowdown.
struct ServiceTimeStats {
  /// Slowly adapting minimum of the window means, in nanoseconds; 0 before the
  /// first window.
  double baseline_ns = 0;
  /// Baseline before it was raised to the latency of a slowed server, in
  /// nanoseconds; 0 where it was not raised.
  double original_baseline_ns = 0;
  /// Mean of the last complete window, in nanoseconds.
  double last_mean_ns = 0;
  /// Sum in nanoseconds and number of samples of the current window.
  double window_sum_ns = 0;
  int window_count = 0;
};

/// Adaptive concurrency limit of one endpoint: a gradient limit, which compares
/// the observed service time with its slowly adapting minimum, combined with a
/// linear slow start. Only state.cc calls the functions below.
struct LimitState {
  double limit = 1;
  /// min(slots, max_in_flight of the policy).
  int ceiling = 1;
  SteadyTime ramp_start;
  std::chrono::nanoseconds ramp_time{0};
  bool adaptive = true;
  SteadyTime window_start;
  int window_samples = 0;
  /// Maximum number of calls in flight in this window.
  int peak_in_flight = 0;
  /// The backend server refused a call as overload in this window.
  bool server_refused = false;
  /// Time of the last decrease. Calls dispatched earlier ran under the previous
  /// limit, so their service times are ignored.
  SteadyTime decreased_at;
  /// Limit before the current sequence of decreases (0 for none), and the
  /// highest ratio of latency to baseline within that sequence.
  double limit_before_decrease = 0;
  double peak_latency_ratio = 0;
  /// By kind, or by length of work where the kind is unknown.
  std::unordered_map<std::uint64_t, ServiceTimeStats> service_times;
};

/// Limit at the beginning of slow start: a quarter of the ceiling, from where
/// it grows linearly.
LimitState MakeLimit(const Config& config, SteadyTime now);

/// Applies changed slots and policy bounds. Added slots come into use gradually
/// as the limit grows, similar to slow start.
void ReconfigureLimit(LimitState& state, const Config& config);

/// Number of calls that may be in flight; at least 1.
int CurrentLimit(const LimitState& state, SteadyTime now);

/// Adds one service time. `work_key` is the kind of work, or its length where
/// the kind is unknown.
void AddSample(LimitState& state,
               std::uint64_t work_key,
               std::chrono::nanoseconds service_time,
               SteadyTime now);

/// Records the number of calls in flight after a call started.
void RecordInFlight(LimitState& state, int in_flight);

/// When the window is complete, adjusts the limit and begins a new window.
/// High latency lowers the limit only if at least half of it was in use.
void UpdateLimit(LimitState& state, int in_flight, SteadyTime now);

/// Lower estimate of the service time of work of `work_key`; zero where
/// unknown.
std::chrono::nanoseconds ExpectedServiceTime(const LimitState& state,
                                             std::uint64_t work_key);

}  // namespace cassiakeel::admission
