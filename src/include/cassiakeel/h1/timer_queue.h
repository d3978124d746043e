#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "cassiakeel/base/clock.h"

namespace cassiakeel::h1 {

/// Multiplexes many deadlines onto one Asio timer. Almost all deadlines are
/// cancelled before they are due, so `Cancel` leaves the timer as it is and
/// makes no system call; a timer that fires before the next deadline is set
/// again.
class TimerQueue : public std::enable_shared_from_this<TimerQueue> {
 public:
  using Id = std::pair<SteadyTime, std::uint64_t>;

  static std::shared_ptr<TimerQueue> Create(asio::io_context& io_context,
                                            const Clock& clock);

  /// Runs `callback` on the thread of the I/O context at `due` or slightly
  /// later.
  Id Add(SteadyTime due, std::function<void()> callback);
  /// Does nothing if the callback has already run.
  void Cancel(const Id& id);
  SteadyTime Now() const { return this->clock.Now(); }

 private:
  TimerQueue(asio::io_context& io_context, const Clock& clock);
  void Arm();
  void Run();

  const Clock& clock;
  asio::steady_timer timer;
  std::map<Id, std::function<void()>> entries;
  std::uint64_t next_id = 1;
  std::optional<SteadyTime> armed_for;
};

/// A single deadline in a `TimerQueue`. `Set` replaces the previous deadline,
/// and the destructor cancels it.
class Timer {
 public:
  explicit Timer(const std::shared_ptr<TimerQueue>& queue) : queue(queue) {}
  ~Timer() { this->Cancel(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  template <typename Callback>
  void Set(SteadyTime due, Callback callback) {
    this->Cancel();
    if (const auto target = this->queue.lock()) {
      this->id = target->Add(due, [this, callback = std::move(callback)] {
        this->id.reset();
        callback();
      });
    }
  }

  void Cancel() {
    const auto target = this->queue.lock();
    if (target && this->id) {
      target->Cancel(*this->id);
    }
    this->id.reset();
  }

  bool pending() const { return this->id.has_value(); }

 private:
  // Weak, because a callback in the queue may own this timer; owning the queue
  // would then form a reference cycle.
  std::weak_ptr<TimerQueue> queue;
  std::optional<TimerQueue::Id> id;
};

}  // namespace cassiakeel::h1
