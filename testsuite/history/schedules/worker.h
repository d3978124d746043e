#pragma once

#include <functional>
#include <semaphore>
#include <stdexcept>
#include <thread>

namespace cassiakeel::history {

/// Thrown by `Worker::Yield` when the simulated process of the job has crashed.
struct Killed : std::runtime_error {
  Killed() : std::runtime_error("killed") {}
};

/// Runs blocking code on a thread as a coroutine that the test resumes. Either
/// the worker or the test runs, never both, so that runs are deterministic.
class Worker {
 public:
  Worker() = default;
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  /// Starts `job` and returns when it ends or yields.
  void Start(std::function<void()> job);
  /// Resumes a job that has yielded and returns when it ends or yields again.
  void Resume();
  /// Ends a job that has yielded, by throwing `Killed` in it.
  void Kill();
  bool Busy() const { return this->busy; }
  /// Called by the job; returns control to the test until `Resume` or `Kill`.
  void Yield();

 private:
  void Switch();
  void Loop();

  std::thread thread;
  std::function<void()> job;
  std::binary_semaphore to_worker{0};
  std::binary_semaphore to_test{0};
  bool busy = false;
  bool killed = false;
  bool stopping = false;
};

}  // namespace cassiakeel::history
