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
#include "cassiakeel/mesh/shared_store.h"

namespace cassiakeel::mesh {

/// Names of the HTTP header fields that callers and backend servers use. They
/// are configured by the deployment.
struct FieldNames {
  /// Id of one attempt of a client's request.
  std::string attempt_id;
  /// Time that the caller waits for a response, in milliseconds.
  std::string timeout_ms;
  /// Signature that shows that a response was produced by the backend server.
  std::string signature;
  /// Id of the only instance that may run the request.
  std::string expected_instance;
  /// Present on a response whose request did not run.
  std::string not_run;
  /// Service on the machine from which the request was sent.
  std::string caller_service;
  /// Tenant of the caller's key, for the backend server.
  std::string tenant;
  /// Backend servers may build the id of a downstream call from the id of the
  /// parent request, this separator and a suffix. This is only a hint: calls
  /// with other ids are handled as well. 0 if the deployment has no such
  /// convention.
  char id_separator = 0;
};

/// Id of the parent request of the call `id`, or empty if `id` has no
/// separator.
std::string_view ParentId(std::string_view id, char separator);
/// Id of the client request at the root of the call tree that contains `id`.
std::string_view RootId(std::string_view id, char separator);

/// Versions of a node's control state. They are sent with calls and results, so
/// that a node whose connection to the store is broken without an error learns
/// from its peers that newer state exists.
struct StateVersions {
  std::uint64_t policy = 0;
  /// Highest row version in the directory.
  StorePosition directory;
};

/// Metadata of a call, sent to the node that serves the target backend server.
struct CallInfo {
  ServiceName service;
  ServiceName caller;
  std::string route;
  /// Priority of the client request at the root of the call tree, 0 for the
  /// most important. Calls inherit it from their parent request.
  int priority = 0;
  /// Shedding order among call trees of the same priority, in [0, 1); lower is
  /// shed first. All calls of a tree have the same value, so that all nodes
  /// shed the same trees and admitted trees can finish.
  double tree_rank = 0;
  bool idempotent = false;
  std::chrono::milliseconds target_latency{1000};
  /// True for a retry of a request that has already reached a backend server,
  /// and for the calls made by such a retry.
  bool is_retry = false;
  StateVersions sender;
};

/// A call received by the node that serves its backend server.
struct ServeRequest {
  CallInfo info;
  h1::Request request;
  SteadyTime deadline;
};

/// Result of a call at the node that serves its backend server.
struct ServeResult {
  /// `kRan` with the server's response, `kNotRun` if the call was refused,
  /// `kUnknown` if the response was lost.
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  /// The backend server received the request, even if it then refused it.
  bool reached_backend = false;
  /// A downstream call made by the backend server failed. That call has already
  /// been retried as far as allowed, so retrying the whole request is a waste.
  bool downstream_failed = false;
  std::chrono::milliseconds retry_after{0};
  h1::Response response;
  admission::Load load;
  /// Highest shed level among this node and the downstream calls. Work below
  /// this position in the shedding order is refused (see
  /// admission::ShedPosition).
  double shed_level = 0;
  /// Typical service time of the route's requests at the backend server.
  std::chrono::nanoseconds typical_service_time{0};
  StateVersions sender;
  /// The sender lacks a policy or a directory and asks the receiver for them.
  bool needs_state = false;
};

/// Request class of a route's priority, where 0 is the most important.
RequestClass ClassOfPriority(int priority);

using ServeHandler = std::function<void(ServeResult)>;

/// Header fields that nodes add to the calls and results between them.
inline constexpr const char* kCallField = "Ck-Call";
inline constexpr const char* kResultField = "Ck-Result";

/// Value of `kCallField`.
std::string FormatCall(const CallInfo& info);
Result<CallInfo> ParseCall(const std::string& text);

/// Value of `kResultField`: everything in a result but the response itself.
std::string FormatResult(const ServeResult& result);
Result<ServeResult> ParseResult(const std::string& text);

}  // namespace cassiakeel::mesh
