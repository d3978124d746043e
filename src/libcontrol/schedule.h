#pragma once

#include <chrono>

#include "cassiakeel/base/random.h"
#include "cassiakeel/control/control_thread.h"

namespace cassiakeel::control::pvt {

/// State of a periodic store read.
struct Schedule {
  std::chrono::milliseconds period{0};
  int failures = 0;
  bool succeeded_once = false;
};

/// Delay until the next poll of the policy head. It is half to one and a half
/// periods after a successful poll; failed polls are repeated with exponential
/// backoff and full jitter.
std::chrono::milliseconds NextPoll(Schedule& schedule,
                                   bool succeeded,
                                   const ControlTimings& timings,
                                   Rng& rng);

/// Delay until the next read of member rows: full jitter with the period as the
/// mean. If a read fails after an earlier one succeeded, the next one is spread
/// over the whole `max_retry_delay`, so that 830 nodes do not read 830 rows
/// each within the second in which the store becomes available again.
std::chrono::milliseconds NextMemberRead(Schedule& schedule,
                                         bool succeeded,
                                         const ControlTimings& timings,
                                         Rng& rng);

}  // namespace cassiakeel::control::pvt
