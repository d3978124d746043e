#pragma once

#include <chrono>

namespace cassiakeel {

using SteadyTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

/// Source of time. Code that waits or measures takes a `Clock`, so that tests
/// decide when time passes. Durations and leases use `Now()` only; `WallNow()`
/// serves records for people and the issue time of idempotency keys.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual SteadyTime Now() const = 0;
  virtual WallTime WallNow() const = 0;
};

/// The clocks of the operating system. `Now()` reads CLOCK_BOOTTIME, because
/// CLOCK_MONOTONIC stands still while an instance is suspended and a lease
/// would outlive its term. All processes of an instance read the same value.
class SystemClock final : public Clock {
 public:
  SteadyTime Now() const override;
  WallTime WallNow() const override;
};

/// A clock that moves only when told to, for tests.
class ManualClock final : public Clock {
 public:
  SteadyTime Now() const override { return this->now; }
  WallTime WallNow() const override { return this->wall_now; }

  /// Moves both clocks forward.
  void Advance(std::chrono::nanoseconds by) {
    this->now += std::chrono::duration_cast<SteadyTime::duration>(by);
    this->wall_now += std::chrono::duration_cast<WallTime::duration>(by);
  }
  /// Shifts the wall clock alone, as a time correction does.
  void JumpWall(std::chrono::nanoseconds by) {
    this->wall_now += std::chrono::duration_cast<WallTime::duration>(by);
  }

 private:
  SteadyTime now{std::chrono::hours(1)};
  WallTime wall_now{std::chrono::hours(24 * 365 * 50)};
};

}  // namespace cassiakeel
