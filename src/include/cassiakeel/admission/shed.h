#pragma once

#include <array>

#include "cassiakeel/admission/admission.h"

namespace cassiakeel::admission {

/// Number of bins of the histogram of arrivals by shed position.
inline constexpr int kShedBins = 4 * 64;
/// Number of windows over which the started calls are averaged.
inline constexpr int kStartWindows = 5;

/// Early refusal of short work. While a queue is above its delay target, work
/// that the endpoint could not start in time is refused on arrival instead of
/// expiring in the queue. Work is selected by class and then by a stable hash
/// of the request, so that all hops refuse the same requests.
struct ShedState {
  SteadyTime window_start;
  /// Arrivals in this window by shed position.
  std::array<int, kShedBins> arrivals{};
  /// Calls started in this window.
  int starts = 0;
  /// Started calls in each of the previous windows. They are averaged because
  /// calls that start in a burst also end in a burst, so that a single window
  /// may see no start at all.
  std::array<int, kStartWindows> past_starts{};
  /// Number of windows written to `past_starts` since the last pause.
  int past_windows = 0;
  /// Work with a lower shed position than this is refused when it would have to
  /// queue. Ranges from 0 (no work is refused) to 4 (all work is refused).
  double level = 0;
};

void CountArrival(ShedState& state, double position);

/// When the window is complete, sets the level and begins a new window.
/// `delayed` is true if any queue of short work is delayed.
void UpdateShedLevel(ShedState& state, bool delayed, SteadyTime now);

/// Least important class that is not shed completely.
RequestClass AcceptedClass(const ShedState& state);

}  // namespace cassiakeel::admission
