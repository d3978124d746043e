#include "cassiakeel/control/job_queue.h"

#include <utility>

namespace cassiakeel::control {

JobQueue::JobQueue(std::size_t max_length)
    : max_length(max_length), thread([this] { this->Run(); }) {}

JobQueue::~JobQueue() {
  this->Stop();
}

bool JobQueue::Post(std::function<void()> job) {
  {
    const std::lock_guard lock(this->mutex);
    if (this->stopping || this->jobs.size() >= this->max_length) {
      return false;
    }
    this->jobs.push_back(std::move(job));
  }
  this->changed.notify_one();
  return true;
}

void JobQueue::DropPending() {
  std::deque<std::function<void()>> dropped;
  const std::lock_guard lock(this->mutex);
  std::swap(dropped, this->jobs);
}

void JobQueue::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->changed.notify_one();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void JobQueue::Run() {
  while (true) {
    std::unique_lock lock(this->mutex);
    this->changed.wait(
        lock, [this] { return this->stopping || !this->jobs.empty(); });
    if (this->jobs.empty()) {
      return;
    }
    auto job = std::move(this->jobs.front());
    this->jobs.pop_front();
    lock.unlock();
    job();
  }
}

}  // namespace cassiakeel::control
