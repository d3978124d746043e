#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cassiakeel/admission/admission.h"
#include "cassiakeel/base/clock.h"
#include "cassiakeel/base/outcome.h"
#include "cassiakeel/http/message.h"
#include "cassiakeel/policy/policy.h"
#include "cassiakeel/routing/context.h"

namespace cassiakeel::node {

/// Longest deadline of a call that the backend server makes without request
/// context.
inline constexpr std::chrono::milliseconds kMaxTimeWithoutContext{1000};
/// Larger responses of long calls are streamed; smaller ones are buffered.
inline constexpr std::size_t kStreamThresholdBytes = 64U << 10U;

/// A call as the node handles it, independent of its origin.
struct Call {
  std::string method;
  ServiceName service;
  /// Path after the service name, starting with "/", without query.
  std::string path;
  /// Empty, or "?" and the query.
  std::string query;
  /// End-to-end fields, without hop-by-hop and request context fields.
  http::HeaderList headers;
  std::shared_ptr<const std::string> body;
  routing::RequestContext context;
  /// Policy in force when the call arrived. Owns `service_policy` and `kind`;
  /// a later policy does not affect the call.
  std::shared_ptr<const policy::Policy> policy;
  const policy::ServicePolicy* service_policy = nullptr;
  const policy::KindPolicy* kind = nullptr;
  RequestClass request_class = RequestClass::kBackground;
  SteadyTime deadline;
  /// Retry budget of this call and of all calls made on its behalf.
  int retries = 0;
};

/// How a call ended.
struct CallResult {
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNone;
  int status = 0;
  http::HeaderList headers;
  std::string body;
  std::chrono::milliseconds retry_after{0};
  /// Part of the retry budget that was not used.
  int unspent_retries = 0;
  std::optional<admission::Load> load;
  /// Node that owns the shard of the idempotency key (`Cassiakeel-Owner`), set
  /// when a node that is not the owner refuses the call. Otherwise empty.
  std::string shard_owner;
  /// The response was already passed to the `StreamSink`.
  bool streamed = false;
  /// Step at which the call failed, for logs and the burn-rate report.
  std::string step;
  /// Peer at which the call failed.
  PeerAddress peer;
};

/// Receives a large response in parts.
struct StreamSink {
  std::function<void(const CallResult& head, std::size_t content_length)> start;
  /// The next part must not be written before `on_written` was called.
  std::function<void(std::string part, std::function<void()> on_written)> write;
};

using CallCallback = std::function<void(CallResult)>;
/// Cancels a call; its `CallCallback` is then not called. No effect after the
/// end.
using CancelCall = std::function<void()>;

/// Result of a call that failed with `reason` before it ran. The outcome is
/// `kNotRun`; callers change it where the call may have run.
CallResult MakeErrorResult(Reason reason, std::string step);

/// HTTP status for a refused or failed call.
int HttpStatusFor(Reason reason);

/// Returns the end-to-end fields of `headers`, without hop-by-hop and request
/// context fields.
http::HeaderList ForwardableHeaders(const http::HeaderList& headers);

/// Time from `now` to `deadline`, rounded down; 0 if the deadline has passed.
std::chrono::milliseconds TimeLeft(SteadyTime deadline, SteadyTime now);

/// Response fields for outcome, reason, unspent retries, load, shard owner and
/// `Retry-After`.
http::HeaderList OutcomeHeaders(const CallResult& result);

/// Parses these fields from the response of another node into `result`.
void ReadOutcomeHeaders(const http::HeaderList& headers, CallResult& result);

}  // namespace cassiakeel::node
