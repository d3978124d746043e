#include "schedule.h"

#include <algorithm>

namespace cassiakeel::control::pvt {
namespace {

constexpr int kMaxDoublings = 10;

std::chrono::milliseconds Backoff(Schedule& schedule,
                                  const ControlTimings& timings,
                                  Rng& rng) {
  const int doublings = std::min(schedule.failures++, kMaxDoublings);
  return FullJitter(std::min(timings.max_retry_delay,
                             timings.base_retry_delay * (1 << doublings)),
                    rng);
}

}  // namespace

std::chrono::milliseconds NextPoll(Schedule& schedule,
                                   bool succeeded,
                                   const ControlTimings& timings,
                                   Rng& rng) {
  if (!succeeded) {
    return Backoff(schedule, timings, rng);
  }
  schedule.failures = 0;
  return schedule.period / 2 + FullJitter(schedule.period, rng);
}

std::chrono::milliseconds NextMemberRead(Schedule& schedule,
                                         bool succeeded,
                                         const ControlTimings& timings,
                                         Rng& rng) {
  if (succeeded) {
    schedule.failures = 0;
    schedule.succeeded_once = true;
    return FullJitter(2 * schedule.period, rng);
  }
  if (schedule.succeeded_once) {
    ++schedule.failures;
    return FullJitter(timings.max_retry_delay, rng);
  }
  return Backoff(schedule, timings, rng);
}

}  // namespace cassiakeel::control::pvt
