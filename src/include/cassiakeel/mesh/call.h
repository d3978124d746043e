#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "cassiakeel/admission/admission.h"
#include "cassiakeel/base/error.h"
#include "cassiakeel/base/outcome.h"
#include "cassiakeel/h1/message.h"
#include "cassiakeel/mesh/backend.h"

namespace cassiakeel::mesh {

/// Names of the header fields that callers and backend servers use. The
/// deployment chooses them.
struct FieldNames {
  /// Id of one attempt of a client.
  std::string attempt_id;
  /// Milliseconds that the caller waits.
  std::string timeout_ms;
  /// Proof that a response is the backend server's own.
  std::string signature;
  /// Instance that alone may run the request.
  std::string expected_instance;
  /// Present on a response whose request did not run.
  std::string not_run;
  /// Service on the machine where the request began.
  std::string caller_service;
  /// Backend servers may form the id of a call from the id of the request that
  /// caused it, this character and a part of its own. Only a hint: ids that are
  /// formed otherwise work as well, and 0 stands for no such form.
  char id_separator = 0;
};

/// The id of the request that caused a call, or empty for an id of another
/// form.
std::string_view ParentId(std::string_view id, char separator);
/// The id of the request of a client that stands at the root of a call's tree.
std::string_view RootId(std::string_view id, char separator);

/// Versions of the control state that a node has. They travel with calls and
/// results, so that a node whose connection to the store went silent learns
/// that there is something newer.
struct StateVersions {
  std::uint64_t policy = 0;
  /// Highest version of a row in the directory.
  std::uint64_t directory = 0;
};

/// What the node beside a backend server has to know of a call.
struct CallInfo {
  ServiceName service;
  ServiceName caller;
  std::string route;
  /// Rank of the request that a client sent, also for the calls that it causes.
  int priority = 0;
  /// Place of the whole request tree within its rank, in [0, 1); lower is shed
  /// first. All nodes shed the same trees, so that what is admitted finishes.
  double tree_rank = 0;
  bool idempotent = false;
  std::chrono::milliseconds target_latency{1000};
  /// Not the first arrival of this request at a backend server.
  bool repeat = false;
  StateVersions sender;
};

/// A call at the node beside its backend server.
struct ServeRequest {
  CallInfo info;
  h1::Request request;
  SteadyTime deadline;
};

/// How a call ended there.
struct ServeResult {
  /// `kRan` with the server's response, `kNotRun` for a refusal, `kUnknown`
  /// when the response was lost.
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  /// The backend server received the request, also when it refused it.
  bool reached_backend = false;
  /// A call that the run made had failed. Whoever made that call has repeated
  /// it as far as that is allowed, so repeating the whole run is a waste.
  bool call_failed = false;
  std::chrono::milliseconds retry_after{0};
  h1::Response response;
  admission::Load load;
  /// Highest shed level that the call met, here and at the calls that it
  /// caused; work below this position does not finish (see ShedPosition).
  double shed_level = 0;
  std::chrono::nanoseconds service_time{0};
  StateVersions sender;
  /// The sender has no policy or no directory and asks for them.
  bool wants_state = false;
};

/// Class of a route's rank, 0 for the most important.
RequestClass ClassOfPriority(int priority);

using ServeHandler = std::function<void(ServeResult)>;

/// Writes and reads the fields of calls between nodes.
inline constexpr const char* kCallField = "Ck-Call";
inline constexpr const char* kResultField = "Ck-Result";

std::string FormatCall(const CallInfo& info);
Result<CallInfo> ParseCall(const std::string& text);

/// All of a result but the response itself.
std::string FormatResult(const ServeResult& result);
Result<ServeResult> ParseResult(const std::string& text);

}  // namespace cassiakeel::mesh
