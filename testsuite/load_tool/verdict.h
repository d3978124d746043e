#pragma once

#include <string>

#include "http_client.h"

namespace cassiakeel::testsuite {

/// Result of one try, as seen by the caller.
enum class Verdict {
  /// A complete answer to this request.
  kOk,
  /// Not run, according to the answer or the transport.
  kRefused,
  /// Ran without success.
  kFailed,
  /// Unknown whether it ran.
  kUnknown,
  /// A truncated or malformed answer.
  kCorrupt,
  /// A complete answer to another request.
  kMismatched,
};

struct Classification {
  Verdict verdict = Verdict::kUnknown;
  std::string reason;
};

/// Values that a correct answer echoes.
struct ExpectedEcho {
  /// Trace id of this try.
  std::string request;
  /// Idempotency key; empty if none was sent. With a key the stored answer of
  /// an earlier try is correct, so that the key must match instead of
  /// `request`.
  std::string key;
  /// Path below the service.
  std::string path;
};

Classification ClassifyResponse(const ClientResponse& response,
                                const ExpectedEcho& expected);

}  // namespace cassiakeel::testsuite
