#include "cassiakeel/admission/shed.h"

#include <algorithm>
#include <numeric>

namespace cassiakeel::admission {
namespace {

constexpr std::chrono::milliseconds kWindow{100};
// Admits 20% more calls than the endpoint starts per window, so that the queue
// keeps all slots busy when fewer calls arrive than in the window before.
constexpr double kAdmitFactor = 1.2;
constexpr double kBinsPerClass =
    static_cast<double>(kShedBins) / kRequestClassCount;

// Average over up to `kStartWindows` previous windows.
double StartsPerWindow(const ShedState& state) {
  const int known = std::min(state.past_windows, kStartWindows);
  return static_cast<double>(std::accumulate(
             state.past_starts.begin(), state.past_starts.begin() + known, 0)) /
         known;
}

}  // namespace

void CountArrival(ShedState& state, double position) {
  const auto bin = static_cast<int>(position * kBinsPerClass);
  ++state.arrivals[std::clamp(bin, 0, kShedBins - 1)];
}

void UpdateShedLevel(ShedState& state, bool delayed, SteadyTime now) {
  if (now - state.window_start < kWindow) {
    return;
  }
  state.level = 0;
  // The counts are outdated if no call arrived or ended for a whole window.
  const bool recent = now - state.window_start < 2 * kWindow;
  if (!recent) {
    state.past_windows = 0;
  }
  state.past_starts[state.past_windows++ % kStartWindows] = state.starts;
  if (delayed && recent) {
    const double admit = std::max(1.0, StartsPerWindow(state) * kAdmitFactor);
    double above = 0;
    for (int bin = kShedBins - 1; bin >= 0; --bin) {
      above += state.arrivals[bin];
      if (above > admit) {
        state.level = bin / kBinsPerClass;
        break;
      }
    }
  }
  state.arrivals.fill(0);
  state.starts = 0;
  state.window_start = now;
}

RequestClass AcceptedClass(const ShedState& state) {
  // A class is shed completely when the level reaches its upper end.
  const int shed_classes = std::clamp(static_cast<int>(state.level), 0,
                                      static_cast<int>(kRequestClassCount) - 1);
  return kAllRequestClasses[kRequestClassCount - 1 - shed_classes];
}

}  // namespace cassiakeel::admission
