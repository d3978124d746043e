#include "cassiakeel/base/error.h"

namespace cassiakeel {

std::string Error::ToString() const {
  if (this->peer.Value().empty()) {
    return this->step + ": " + this->message;
  }
  return this->step + " (" + this->peer.Value() + "): " + this->message;
}

Exception::Exception(Error error)
    : std::runtime_error(error.ToString()), details(std::move(error)) {}

tl::unexpected<Error> Fail(std::string step,
                           std::string message,
                           PeerAddress peer) {
  return tl::make_unexpected(
      Error{std::move(step), std::move(peer), std::move(message)});
}

}  // namespace cassiakeel
