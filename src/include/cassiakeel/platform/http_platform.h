#pragma once

#include <chrono>
#include <memory>

#include "cassiakeel/base/error.h"
#include "cassiakeel/base/strong.h"
#include "cassiakeel/platform/platform.h"

namespace cassiakeel::platform {

/// Where the platform listens and how long one call may take.
struct HttpPlatformOptions {
  /// "IP:port", "[IPv6]:port".
  PeerAddress address;
  /// Bound on a whole call, connecting included.
  std::chrono::milliseconds timeout{2000};
};

/// Client of the platform's HTTP interface. Calls block until answered or
/// timed out and are safe from any thread. Nothing is retried: a failed call
/// throws `PlatformException`, and the caller decides. A timeout or a broken
/// connection during a write throws with `may_have_applied()`; a refused
/// connection, 429 (rate limit) and 503 (down) do not.
class HttpPlatform {
 public:
  /// Checks the options; does not connect.
  static Result<std::unique_ptr<HttpPlatform>> Create(
      const HttpPlatformOptions& options);
  ~HttpPlatform();
  HttpPlatform(const HttpPlatform&) = delete;
  HttpPlatform& operator=(const HttpPlatform&) = delete;

  Table& table();
  ObjectStore& objects();

 private:
  struct State;
  explicit HttpPlatform(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

}  // namespace cassiakeel::platform
