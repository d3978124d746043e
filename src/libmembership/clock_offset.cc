#include <algorithm>

#include "internal.h"

namespace cassiakeel::membership {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

constexpr std::size_t kMaxClockSamples = 31;
constexpr std::chrono::minutes kMaxClockSampleAge{5};

microseconds SinceEpoch(WallTime time) {
  return duration_cast<microseconds>(time.time_since_epoch());
}

microseconds SinceBoot(SteadyTime time) {
  return duration_cast<microseconds>(time.time_since_epoch());
}

}  // namespace

namespace pvt {

void AddClockSample(MembershipState& state,
                    const PendingPing& ping,
                    std::int64_t peer_wall_micros,
                    const Instant& now) {
  // Assumes that the peer read its clock halfway between ping and ack; the
  // error is at most half the round-trip time (RFC 5905, section 8).
  const auto halfway =
      (SinceBoot(ping.sent.steady) + SinceBoot(now.steady)) / 2;
  state.clock_samples.push_back(
      {microseconds(peer_wall_micros) - halfway, now.steady});
  if (state.clock_samples.size() > kMaxClockSamples) {
    state.clock_samples.pop_front();
  }
}

}  // namespace pvt

std::optional<microseconds> ClockOffset(const MembershipState& state,
                                        const Instant& now) {
  std::vector<microseconds> samples;
  for (const auto& sample : state.clock_samples) {
    if (now.steady - sample.taken < kMaxClockSampleAge) {
      samples.push_back(sample.peer_minus_steady);
    }
  }
  if (samples.size() < kMinClockPeers) {
    return std::nullopt;
  }
  const auto middle =
      samples.begin() + static_cast<std::ptrdiff_t>(samples.size() / 2);
  std::nth_element(samples.begin(), middle, samples.end());
  return SinceEpoch(now.wall) - SinceBoot(now.steady) - *middle;
}

}  // namespace cassiakeel::membership
