#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "cassiakeel/base/error.h"

namespace cassiakeel::control::pvt {

/// Calls its function exactly once: with the result or, if the call is
/// destroyed without one, for example because the thread stops, with an error.
template <typename T>
class Reply {
 public:
  explicit Reply(std::function<void(Result<T>)> done) : done(std::move(done)) {}
  ~Reply() { this->Send(Fail("call peer", "control thread stopped")); }
  Reply(const Reply&) = delete;
  Reply& operator=(const Reply&) = delete;

  void Send(Result<T> result) {
    if (auto call = std::exchange(this->done, nullptr)) {
      call(std::move(result));
    }
  }

 private:
  std::function<void(Result<T>)> done;
};

template <typename T>
using ReplyPtr = std::shared_ptr<Reply<T>>;

}  // namespace cassiakeel::control::pvt
