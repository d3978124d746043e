#include "mailbox.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>
#include <utility>

#include "cassiakeel/base/error.h"

namespace cassiakeel::control::pvt {

Mailbox::Mailbox() : event(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (this->event < 0) {
    throw Exception(
        {"start control thread", PeerAddress(), "cannot create an eventfd"});
  }
}

Mailbox::~Mailbox() {
  close(this->event);
}

void Mailbox::Post(std::function<void()> job) {
  const std::lock_guard lock(this->mutex);
  if (this->closed) {
    return;
  }
  this->jobs.push_back(std::move(job));
  const std::uint64_t one = 1;
  // The write cannot fail: the counter cannot overflow, and the descriptor is
  // open as long as this object exists.
  (void)!write(this->event, &one, sizeof(one));
}

std::vector<std::function<void()>> Mailbox::Take() {
  const std::lock_guard lock(this->mutex);
  return std::exchange(this->jobs, {});
}

void Mailbox::Close() {
  std::vector<std::function<void()>> dropped;
  const std::lock_guard lock(this->mutex);
  this->closed = true;
  std::swap(dropped, this->jobs);
}

}  // namespace cassiakeel::control::pvt
