#pragma once

#include <stdexcept>
#include <string>
#include <tl/expected.hpp>

#include "cassiakeel/base/strong.h"

namespace cassiakeel {

/// What went wrong, in which step, and at which peer (empty where no peer is
/// involved). `step` is a short lower-case phrase such as "read policy head".
struct Error {
  std::string step;
  PeerAddress peer;
  std::string message;

  /// "step (peer): message" for logs and people.
  std::string ToString() const;
};

/// Carries an `Error` out of an operation. Factories and parsers return
/// `Result` instead.
class Exception : public std::runtime_error {
 public:
  explicit Exception(Error error);
  const Error& error() const { return this->details; }

 private:
  Error details;
};

/// What static factory functions and parsers of outside input return.
template <typename T>
using Result = tl::expected<T, Error>;

/// Builds the failure side of a `Result`.
tl::unexpected<Error> Fail(std::string step,
                           std::string message,
                           PeerAddress peer = PeerAddress());

}  // namespace cassiakeel
