#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cassiakeel/admission/admission.h"
#include "cassiakeel/admission/limit.h"
#include "cassiakeel/admission/queue.h"
#include "cassiakeel/admission/shed.h"
#include "cassiakeel/base/error.h"

namespace cassiakeel::admission {

/// A call that holds a slot.
struct RunningCall {
  RequestClass request_class = RequestClass::kInternal;
  WorkLength length = WorkLength::kShort;
  std::uint64_t kind = 0;
  SteadyTime started;
};

/// Average number of slots held by short work in each of the last windows. Long
/// work leaves this many slots free for the short work expected next.
struct ShortDemand {
  static constexpr std::size_t kWindows = 4;
  /// By window and class: mean number of short calls in flight of that class
  /// and of all more important classes.
  std::array<std::array<double, kRequestClassCount>, kWindows> means{};
  /// Index in `means` that the current window is written to when it ends.
  std::size_t current_window = 0;
  SteadyTime window_start;
  /// By class: time integral of the short calls in flight counted as in
  /// `means`, in call-nanoseconds, from `window_start` to `integrated_until`.
  std::array<double, kRequestClassCount> in_flight_time_ns{};
  SteadyTime integrated_until;
};

/// All state of admission at one endpoint. Used by one traffic thread. The
/// functions below change only this state and do no I/O.
struct State {
  Config config;
  bool leaving = false;
  LimitState limit;
  QueueSet queues;
  ShedState shed;
  ShortDemand short_demand;
  std::unordered_map<TicketId, RunningCall> running;
  std::array<int, kRequestClassCount> short_in_flight{};
  int long_in_flight = 0;
  std::unordered_map<std::uint64_t, int> kind_in_flight;
  /// Decisions that `Offer` made on other calls. The next `Advance`, `Finish`
  /// or `Cancel` returns them.
  std::vector<Decision> pending_decisions;
  /// Last time that queued calls were checked for start and expiry.
  SteadyTime queue_processed_at;
};

/// State of an endpoint whose backend server has just started.
State MakeState(const Config& config, SteadyTime now);

/// Applies changed limits. Queued calls and calls in flight are kept.
void Reconfigure(State& state, const Config& config, SteadyTime now);

/// Sets whether the endpoint is draining. While it is, no call starts: `Offer`
/// refuses new calls, and the next `Advance`, which is due immediately, refuses
/// all queued calls.
void SetLeaving(State& state, bool leaving);

/// Decides on a new call. After `kQueue`, a later `Finish`, `Cancel` or
/// `Advance` returns the final decision on the ticket. `Offer` may also
/// displace a queued call or start queued calls that became startable since the
/// last check. `NextEvent` is then due immediately, and `Advance` returns these
/// decisions.
Decision Offer(State& state, const Work& work, SteadyTime now);

/// Frees the slot of a started call and returns the decisions on queued calls
/// that start or expire. An unknown ticket frees no slot.
std::vector<Decision> Finish(State& state,
                             TicketId ticket,
                             const Completion& completion,
                             SteadyTime now);

/// Removes a queued or running call that its caller abandoned. There is no
/// decision on the ticket itself. Because this frees the slot of a running
/// call, cancel one only after its work has ended or the backend server has
/// accepted the cancellation.
std::vector<Decision> Cancel(State& state, TicketId ticket, SteadyTime now);

/// Expires queued calls and starts those that fit. Call it at `NextEvent`.
std::vector<Decision> Advance(State& state, SteadyTime now);

/// Time at which `Advance` must be called next, or nothing if no call is queued
/// and no decision is pending. A time in the past means immediately; it is
/// never earlier than `MakeState`, so that its difference to the current time
/// cannot overflow.
std::optional<SteadyTime> NextEvent(const State& state);

Load LoadOf(const State& state, SteadyTime now);

/// Value of the `Cassiakeel-Load` header, such as
/// "in-flight=3, limit=20, queued=0, accepts=background, leaving=0".
std::string FormatLoad(const Load& load);

/// Parses that header. Fails on a missing, repeated or invalid field. Fields
/// with unknown names are ignored, because later releases may add fields.
Result<Load> ParseLoad(std::string_view text);

}  // namespace cassiakeel::admission
