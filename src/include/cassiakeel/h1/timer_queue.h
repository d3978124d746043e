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

/// Many deadlines on one operating system timer. Almost all deadlines are
/// cancelled before they are due, so cancelling costs no system call: the
/// timer may fire early and is then set again.
class TimerQueue : public std::enable_shared_from_this<TimerQueue> {
 public:
  using Id = std::pair<SteadyTime, std::uint64_t>;

  static std::shared_ptr<TimerQueue> Create(asio::io_context& io_context,
                                            const Clock& clock);

  /// Runs `callback` on the thread of the context at `due` or slightly later.
  Id Add(SteadyTime due, std::function<void()> callback);
  /// Does nothing for a timer that ran already.
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

/// One deadline of its owner, which it does not outlive. Setting it again
/// replaces it.
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
  // A callback may own the timer, so the timer must not own the queue.
  std::weak_ptr<TimerQueue> queue;
  std::optional<TimerQueue::Id> id;
};

}  // namespace cassiakeel::h1
