#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

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

}  // namespace cassiakeel::h1
