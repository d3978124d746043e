#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cassiakeel/base/error.h"
#include "cassiakeel/base/outcome.h"
#include "cassiakeel/base/request_class.h"

namespace cassiakeel::history {

/// What was observed. The fields that are set are given in parentheses.
enum class EventType {
  /// A caller sends a request (caller, request, key, service, class,
  /// idempotent, retries).
  kSubmit,
  /// A caller receives an answer (caller, request, outcome, reason, payload,
  /// complete).
  kAnswer,
  /// A node sends an attempt to a serving node (node, peer, request, attempt,
  /// retry).
  kAttempt,
  /// A serving node queues an attempt (node, request, attempt, class, length).
  kQueue,
  /// A serving node dispatches an attempt to its backend server (node,
  /// attempt).
  kDispatch,
  /// A node refuses an attempt (node, attempt, outcome, reason, class, length).
  kRefuse,
  /// A backend server starts the work of an attempt (node, service, request,
  /// attempt, key, idempotent, and shard and version for work of a key shard).
  kRunStart,
  /// A backend server ends the work of an attempt (node, attempt, payload);
  /// `complete` is false if the work was cut off.
  kRunEnd,
  /// A backend server leaves or crashes (node).
  kLeave,
  /// A backend server has returned to the node (node).
  kReturn,
  /// A node process starts, begins a graceful shutdown, ends the shutdown, or
  /// crashes (node).
  kNodeUp,
  kShutdownBegin,
  kShutdownEnd,
  kCrash,
  /// A node becomes paused or cut off from the store and its peers, or recovers
  /// (node).
  kImpaired,
  kRestored,
  /// The platform accepted a policy approved by an operator (version, payload:
  /// digest).
  kApprove,
  /// A policy came into force at a node (node, version, payload: digest).
  kInForce,
  /// A fault or operation of the platform, recorded for people who read the
  /// history; no check uses it (detail).
  kFault,
  /// No request is in progress any more. A request that is still unanswered
  /// will never be answered.
  kQuiescent,
};

/// One observation. Fields that do not apply keep their defaults.
struct Event {
  /// Time in microseconds on the clock of the recorder.
  std::int64_t at_us = 0;
  EventType type = EventType::kFault;
  std::string caller;
  std::string node;
  std::string peer;
  std::string service;
  std::string request;
  std::string attempt;
  std::string key;
  std::string payload;
  std::string detail;
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  RequestClass request_class = RequestClass::kCritical;
  WorkLength length = WorkLength::kShort;
  bool idempotent = false;
  bool retry = false;
  bool complete = true;
  int retries = 0;
  /// Hash of the contents of a request; different contents under the same key
  /// are different work.
  std::uint64_t fingerprint = 0;
  /// Version of a policy, or epoch of the key shard of a run.
  std::uint64_t version = 0;
  /// Key shard of a run; -1 for none.
  int shard = -1;
};

/// Events in order of time.
using History = std::vector<Event>;

std::string_view EventTypeName(EventType type);

/// Formats an event as one line of JSON without a newline; fields with their
/// default value are omitted.
std::string FormatEvent(const Event& event);
Result<Event> ParseEvent(std::string_view line);

/// Parses JSON lines; the error names the number of the first invalid line.
Result<History> ParseHistory(std::string_view text);
std::string FormatHistory(const History& history);

}  // namespace cassiakeel::history
