#pragma once

#include <functional>
#include <mutex>
#include <vector>

namespace cassiakeel::control::pvt {

/// Queue of jobs that other threads post to the control thread. kj::Executor is
/// not used because it blocks the posting thread until the job has run.
class Mailbox {
 public:
  Mailbox();
  ~Mailbox();
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  /// Descriptor of an eventfd that becomes readable after a post.
  int fd() const { return this->event; }

  /// Discards the job if the mailbox is closed.
  void Post(std::function<void()> job);
  std::vector<std::function<void()>> Take();
  /// Discards all pending jobs and all jobs posted later.
  void Close();

 private:
  int event;
  std::mutex mutex;
  bool closed = false;
  std::vector<std::function<void()>> jobs;
};

}  // namespace cassiakeel::control::pvt
