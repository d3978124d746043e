#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "cassiakeel/base/clock.h"
#include "cassiakeel/base/outcome.h"
#include "cassiakeel/base/request_class.h"
#include "cassiakeel/base/strong.h"

namespace cassiakeel::admission {

/// Names one call at its serving node.
using TicketId = Strong<std::uint64_t, struct TicketIdTag>;

/// Bounds of one endpoint. Slots come from the backend server's announcement,
/// the rest from the policy.
struct Config {
  Slots slots{1};
  /// Highest number in flight that the policy allows; 0 for no bound.
  int max_in_flight = 0;
  /// Slots that long work never takes.
  Slots short_reserved{1};
  /// Highest share of slots for long work.
  Percent long_share{50};
  /// Highest number of queued calls of each length. A call displaces queued
  /// calls of less important classes when its queue is full.
  int queue_capacity = 256;
  /// The limit grows to its ceiling over this time after a start.
  std::chrono::nanoseconds ramp_time = std::chrono::seconds(10);
  /// Move the limit with observed latency. False keeps it at the ceiling, for
  /// servers whose service time includes calls to others.
  bool adaptive = true;
};

/// What admission has to know of a call.
struct Work {
  TicketId ticket;
  /// Stable hash of the request id mapped to [0, 1); lower sheds first.
  double shed_rank = 0;
  RequestClass request_class = RequestClass::kInternal;
  WorkLength length = WorkLength::kShort;
  /// Stable hash of the kind's name, 0 where unknown. Service times are
  /// compared within a kind, so that a change of mix is no slowdown.
  std::uint64_t kind = 0;
  /// Highest share of the slots that the kind may hold.
  Percent kind_share{100};
  /// The answer is of no use after this time.
  SteadyTime deadline;
  /// Longest time in the queue.
  std::chrono::milliseconds max_wait{100};
};

enum class Verdict { kStart, kQueue, kRefuse };

/// Decision on one call. `retry_after` is set on a refusal; it is spread by
/// the shed rank, so that callers refused together do not return together.
struct Decision {
  TicketId ticket;
  Verdict verdict = Verdict::kRefuse;
  Reason reason = Reason::kNone;
  std::chrono::milliseconds retry_after{0};
};

/// How a started call ended. `service_time` is the time between dispatch and
/// the end of the backend server's answer.
struct Completion {
  std::chrono::nanoseconds service_time{0};
  /// False for an answer that says nothing about the server's speed, such as a
  /// refusal by the backend server or a broken connection.
  bool counts_for_limit = true;
  /// The backend server itself refused the work as overload.
  bool refused_by_server = false;
};

/// Load of the endpoint as told to callers' nodes on answers.
struct Load {
  int in_flight = 0;
  int limit = 0;
  int queued = 0;
  /// Least important class still accepted.
  RequestClass accepts = RequestClass::kBackground;
  bool leaving = false;
};

}  // namespace cassiakeel::admission
