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

/// Identifies one call within its serving node.
using TicketId = Strong<std::uint64_t, struct TicketIdTag>;

/// Limits of one endpoint. The backend server announces `slots`; the other
/// values come from the policy.
struct Config {
  Slots slots{1};
  /// Maximum number of calls in flight that the policy allows; 0 for no bound.
  int max_in_flight = 0;
  /// Slots reserved for short work; long work never uses them.
  Slots short_reserved{1};
  /// Maximum share of the slots that long work may use.
  Percent long_share{50};
  /// Maximum number of queued calls, counted separately for short and long
  /// work. When the queue is full, a call displaces a queued call that is
  /// earlier in shedding order.
  int queue_capacity = 256;
  /// Duration of slow start: time in which the limit grows to its ceiling.
  std::chrono::nanoseconds ramp_time = std::chrono::seconds(10);
  /// Adapt the limit to the observed latency. False keeps the limit at its
  /// ceiling, for servers whose service time includes calls to other services.
  bool adaptive = true;
};

/// Properties of a call that determine its admission.
struct Work {
  TicketId ticket;
  /// Stable hash of the request id, mapped to [0, 1). Within a class, calls
  /// with a lower rank are shed first.
  double shed_rank = 0;
  RequestClass request_class = RequestClass::kInternal;
  WorkLength length = WorkLength::kShort;
  /// Stable hash of the name of the kind of work, 0 where unknown. Service
  /// times are compared within a kind, so that a change in the mix of kinds is
  /// not taken for a slowdown.
  std::uint64_t kind = 0;
  /// Maximum share of the slots that calls of this kind may hold.
  Percent kind_share{100};
  /// The caller discards a response that arrives after this time.
  SteadyTime deadline;
  /// Maximum time in the queue.
  std::chrono::milliseconds max_wait{100};
};

enum class Verdict { kStart, kQueue, kRefuse };

/// Decision on one call. `retry_after` is set on a refusal. It varies with the
/// shed rank, so that callers refused at the same time do not all retry at the
/// same time.
struct Decision {
  TicketId ticket;
  Verdict verdict = Verdict::kRefuse;
  Reason reason = Reason::kNone;
  std::chrono::milliseconds retry_after{0};
};

/// How a started call ended. `service_time` runs from dispatch to the end of
/// the backend server's response.
struct Completion {
  std::chrono::nanoseconds service_time{0};
  /// False where `service_time` says nothing about the server's speed, such as
  /// after a refusal by the backend server or a broken connection.
  bool counts_for_limit = true;
  /// The backend server refused the work because of overload.
  bool refused_by_server = false;
};

/// Load report of the endpoint, sent to the callers' nodes with each response.
struct Load {
  int in_flight = 0;
  int limit = 0;
  int queued = 0;
  /// Least important class still accepted.
  RequestClass accepts = RequestClass::kBackground;
  /// The backend server is draining and accepts no new work.
  bool leaving = false;
};

}  // namespace cassiakeel::admission
