#pragma once

#include <chrono>
#include <string>

#include "cassiakeel/base/strong.h"

namespace cassiakeel::platform::pvt {

/// One HTTP call to the platform. `target` is path and query, encoded.
struct HttpRequest {
  /// Names the call in errors.
  std::string step;
  std::string method = "GET";
  std::string target;
  std::string body = {};
  bool is_write = false;
};

/// Status, body and the `ETag` field of an answer that came whole.
struct HttpResponse {
  long status = 0;
  std::string body;
  std::string etag;
};

/// Percent-encodes `text` for use as one path segment or query value.
std::string UrlEncode(const std::string& text);

/// Blocking HTTP calls to one address, each on a connection of its own. Safe
/// from any thread.
class HttpExchange {
 public:
  HttpExchange(PeerAddress address, std::chrono::milliseconds timeout);
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  /// Throws `PlatformException` when no whole answer came, and for 429 and
  /// 503.
  HttpResponse Perform(const HttpRequest& request);

  /// An exception that names `step` and this peer.
  [[noreturn]] void Throw(const std::string& step,
                          const std::string& message,
                          bool may_have_applied) const;

 private:
  PeerAddress address;
  std::chrono::milliseconds timeout;
};

}  // namespace cassiakeel::platform::pvt
