#include "cassiakeel/h1/timer_queue.h"

#include <algorithm>

namespace cassiakeel::h1 {
namespace {

// Shortest wait of the timer, so that deadlines close together share a wake-up.
constexpr std::chrono::milliseconds kMinTimerWait{2};

}  // namespace

std::shared_ptr<TimerQueue> TimerQueue::Create(asio::io_context& io_context,
                                               const Clock& clock) {
  return std::shared_ptr<TimerQueue>(new TimerQueue(io_context, clock));
}

TimerQueue::TimerQueue(asio::io_context& io_context, const Clock& clock)
    : clock(clock), timer(io_context) {}

TimerQueue::Id TimerQueue::Add(SteadyTime due, std::function<void()> callback) {
  const Id id{due, this->next_id++};
  this->entries.emplace(id, std::move(callback));
  if (!this->armed_for || due < *this->armed_for) {
    this->Arm();
  }
  return id;
}

void TimerQueue::Cancel(const Id& id) {
  this->entries.erase(id);
}

void TimerQueue::Arm() {
  if (this->entries.empty()) {
    this->armed_for.reset();
    return;
  }
  const auto due = this->entries.begin()->first.first;
  this->armed_for = due;
  const auto wait =
      std::max<std::chrono::nanoseconds>(due - this->Now(), kMinTimerWait);
  this->timer.expires_after(wait);
  this->timer.async_wait([weak = this->weak_from_this()](asio::error_code ec) {
    const auto self = weak.lock();
    if (self && !ec) {
      self->Run();
    }
  });
}

void TimerQueue::Run() {
  this->armed_for.reset();
  const auto now = this->Now();
  while (!this->entries.empty() && this->entries.begin()->first.first <= now) {
    const auto first = this->entries.begin();
    const auto callback = std::move(first->second);
    this->entries.erase(first);
    callback();
  }
  // A callback may already have armed the timer by adding an entry.
  if (!this->entries.empty() &&
      (!this->armed_for ||
       this->entries.begin()->first.first < *this->armed_for)) {
    this->Arm();
  }
}

}  // namespace cassiakeel::h1
