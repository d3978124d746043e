#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "attempt_registry.h"
#include "call.h"
#include "cassiakeel/admission/state.h"
#include "cassiakeel/base/clock.h"
#include "cassiakeel/once/deduplicator.h"
#include "cassiakeel/routing/retry.h"
#include "traffic_thread.h"

namespace cassiakeel::node {

/// Registration of a backend server with its node.
struct Announcement {
  ServiceName service;
  PeerAddress address;
  /// Number of calls that the backend server runs at the same time.
  Slots slots{1};
};

/// Serves calls on the backend server of this node: admission, dispatch and the
/// retry budgets of running calls. Thread-safe.
class ServingEndpoint {
 public:
  ServingEndpoint(const Clock& clock, TrafficThread& timer_thread);

  /// Sets the deduplicator of non-idempotent calls; without one they are
  /// refused. It must outlive all calls.
  void SetDeduplicator(once::Deduplicator* deduplicator);

  /// Handles a registration or heartbeat. Returns whether service, address or
  /// slots changed, or the backend server was unavailable.
  bool Announce(const Announcement& announcement);
  /// Stops dispatching new calls.
  void Drain();
  /// Marks the backend server as unavailable: it sent no heartbeat, refused a
  /// connection or deregistered.
  void MarkUnavailable();
  /// Marks the backend server as unavailable if its heartbeats are missing, and
  /// returns whether it did.
  bool CheckHeartbeat();

  /// Applies the limits of the policy to admission.
  void ApplyPolicy(const policy::Policy& policy);

  /// Runs the call on the backend server once it is admitted. `on_end` is
  /// called on `thread`, at most once.
  CancelCall Serve(TrafficThread& thread,
                   Call call,
                   std::shared_ptr<const StreamSink> sink,
                   CallCallback on_end);

  /// Takes a part of the retry budget of a running attempt for a call that the
  /// backend server makes. `ReturnRetryBudget` returns the unspent retries.
  routing::Delegation TakeRetryBudget(const AttemptId& attempt);
  void ReturnRetryBudget(const AttemptId& attempt,
                         routing::Delegation delegation,
                         int unspent);

  /// Outcome of an attempt sent by another node; see `AttemptRegistry`.
  Outcome ResolveAttempt(const AttemptId& attempt);

  admission::Load CurrentLoad() const;
  /// Registration of the backend server; empty while it is unavailable.
  std::optional<Announcement> Backend() const;
  bool IsLeaving() const;
  /// Number of queued and running calls.
  int ActiveCalls() const;

 private:
  struct ServedCall;
  using ServedCallPtr = std::shared_ptr<ServedCall>;

  void Admit(const ServedCallPtr& served);
  /// Checks the idempotency key of a non-idempotent call. Returns whether the
  /// call may run; if not, it is completed here or when the running one ends.
  bool Deduplicate(const ServedCallPtr& served);
  void Dispatch(const ServedCallPtr& served);
  void OnDispatchEnd(const ServedCallPtr& served,
                     http::ExchangeResult result,
                     bool streamed);
  void Complete(const ServedCallPtr& served, CallResult result);
  void Cancel(const ServedCallPtr& served);
  CallResult ResultFromResponse(const ServedCall& served,
                                int status,
                                const http::HeaderList& headers) const;
  http::ClientRequest BackendRequest(const ServedCall& served) const;
  once::Request DeduplicationRequest(const Call& call) const;

  /// These require `mutex` to be held.
  admission::Config AdmissionConfigFor(const Announcement& announcement) const;
  void ApplyDecisions(const std::vector<admission::Decision>& decisions);
  void ArmTimer();

  const Clock& clock;
  TrafficThread& timer_thread;
  std::atomic<once::Deduplicator*> deduplicator{nullptr};

  mutable std::mutex mutex;
  std::optional<Announcement> backend;
  SteadyTime last_heartbeat;
  bool unavailable = true;
  admission::State admission;
  std::optional<policy::ServicePolicy> service_policy;
  std::uint64_t next_ticket = 1;
  std::unordered_map<admission::TicketId, ServedCallPtr> waiting;
  std::optional<SteadyTime> timer_due;
  routing::RetryBudgetTable budgets;
  AttemptRegistry attempts;
  int active_calls = 0;
};

}  // namespace cassiakeel::node
