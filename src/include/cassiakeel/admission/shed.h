#pragma once

#include <array>

#include "cassiakeel/admission/admission.h"

namespace cassiakeel::admission {

/// Shares of the shedding order that are counted apart.
inline constexpr int kShedBins = 4 * 64;
/// Windows over which starts are averaged.
inline constexpr int kStartWindows = 5;

/// Early refusal of short work. While the queues stay above their delay
/// target, the work that the endpoint cannot reach anyway is refused on
/// arrival, by class and then by stable hash, so that refusals are cheap and
/// agree between hops.
struct ShedState {
  SteadyTime window_start;
  /// Arrivals in this window by shed position.
  std::array<int, kShedBins> arrivals{};
  int starts = 0;
  /// Starts in the latest windows, the present one not included. Work that
  /// began in one burst also ends in one, so that a single window may see none.
  std::array<int, kStartWindows> past_starts{};
  int past_windows = 0;
  /// Work below this shed position is refused when it would have to queue.
  /// From 0 (none) to 4 (all).
  double level = 0;
};

void CountArrival(ShedState& state, double position);

/// Ends the window when it is due and sets the level anew. `delayed` tells
/// whether any queue of short work is.
void RollShed(ShedState& state, bool delayed, SteadyTime now);

/// Least important class of which something is still accepted.
RequestClass AcceptedClass(const ShedState& state);

}  // namespace cassiakeel::admission
