#include "cassiakeel/base/clock.h"

#include <ctime>

namespace cassiakeel {

SteadyTime SystemClock::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return SteadyTime(std::chrono::seconds(now.tv_sec) +
                    std::chrono::nanoseconds(now.tv_nsec));
}

WallTime SystemClock::WallNow() const {
  return std::chrono::system_clock::now();
}

}  // namespace cassiakeel
