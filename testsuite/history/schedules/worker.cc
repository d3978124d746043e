#include "worker.h"

#include <utility>

namespace cassiakeel::history {

Worker::~Worker() {
  this->Kill();
  if (this->thread.joinable()) {
    this->stopping = true;
    this->to_worker.release();
    this->thread.join();
  }
}

void Worker::Start(std::function<void()> next) {
  if (!this->thread.joinable()) {
    this->thread = std::thread([this] { this->Loop(); });
  }
  this->job = std::move(next);
  this->busy = true;
  this->Switch();
}

void Worker::Resume() {
  if (this->busy) {
    this->Switch();
  }
}

void Worker::Kill() {
  if (this->busy) {
    this->killed = true;
    this->Switch();
    this->killed = false;
  }
}

void Worker::Yield() {
  this->to_test.release();
  this->to_worker.acquire();
  if (this->killed) {
    throw Killed();
  }
}

void Worker::Switch() {
  this->to_worker.release();
  this->to_test.acquire();
  if (!this->busy) {
    // A job may own the simulated process that owns this worker. Keeping the
    // job would keep that process, and this thread, to the end of the test
    // program.
    this->job = nullptr;
  }
}

void Worker::Loop() {
  while (true) {
    this->to_worker.acquire();
    if (this->stopping) {
      return;
    }
    try {
      this->job();
    } catch (const Killed&) {
      // The simulated process crashed during the job.
    }
    this->busy = false;
    this->to_test.release();
  }
}

}  // namespace cassiakeel::history
