#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace cassiakeel::control {

/// Runs jobs in order on a thread of its own. The control thread uses it for
/// blocking platform calls, so that a slow store delays no other thread. The
/// queue length is bounded: while the store is down, further jobs are refused.
class JobQueue {
 public:
  explicit JobQueue(std::size_t max_length);
  ~JobQueue();
  JobQueue(const JobQueue&) = delete;
  JobQueue& operator=(const JobQueue&) = delete;

  /// Returns false if the queue is full or stopped. A job must not throw.
  bool Post(std::function<void()> job);

  /// Discards jobs that have not started.
  void DropPending();

  /// Runs all accepted jobs, then joins the thread.
  void Stop();

 private:
  void Run();

  const std::size_t max_length;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::function<void()>> jobs;
  bool stopping = false;
  std::thread thread;
};

}  // namespace cassiakeel::control
