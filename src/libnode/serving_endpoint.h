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

/// What a backend server announces to its node.
struct Announcement {
  ServiceName service;
  PeerAddress address;
  Slots slots{1};
};

/// The own backend server as this node serves it: admission, dispatch and the
/// retry budgets of the calls that it runs. Safe from any thread.
class ServingEndpoint {
 public:
  ServingEndpoint(const Clock& clock, TrafficThread& timer_thread);

  /// Used for non-idempotent calls from now on; null for none. Outlives calls.
  void SetDeduplicator(once::Deduplicator* deduplicator);

  /// Registration and heartbeat. True when service, address or slots changed.
  bool Announce(const Announcement& announcement);
  /// Nothing new is dispatched from now on.
  void Drain();
  /// The backend server is gone: no heartbeat, refused connection or its own
  /// word.
  void MarkGone();
  /// True once after the last heartbeats were missed.
  bool CheckHeartbeat();

  /// Bounds from the policy in force.
  void ApplyPolicy(const policy::Policy& policy);

  /// Runs the call on the backend server once admission lets it start. `on_end`
  /// is called on `thread`, at most once.
  CancelCall Serve(TrafficThread& thread,
                   Call call,
                   std::shared_ptr<const StreamSink> sink,
                   CallEnd on_end);

  /// Part of the retry budget of a running attempt for a call that the backend
  /// server makes; `Return` gives the unused part back.
  routing::Delegation TakeBudget(const AttemptId& attempt);
  void ReturnBudget(const AttemptId& attempt,
                    routing::Delegation delegation,
                    int unspent);

  /// Whether an attempt of another node ran; see `AttemptRegistry`.
  Outcome ResolveAttempt(const AttemptId& attempt);

  admission::Load CurrentLoad() const;
  /// Empty without a backend server.
  std::optional<Announcement> Backend() const;
  bool IsLeaving() const;
  /// Calls queued or running.
  int ActiveCalls() const;

 private:
  struct ServedCall;
  using ServedCallPtr = std::shared_ptr<ServedCall>;

  void Admit(const ServedCallPtr& served);
  bool Deduplicate(const ServedCallPtr& served);
  void Dispatch(const ServedCallPtr& served);
  void EndDispatch(const ServedCallPtr& served,
                   http::ExchangeResult result,
                   bool streamed);
  void Complete(const ServedCallPtr& served, CallResult result);
  void Cancel(const ServedCallPtr& served);
  CallResult Describe(const ServedCall& served,
                      int status,
                      const http::HeaderList& headers) const;
  http::ClientRequest BackendRequest(const ServedCall& served) const;
  once::Request OnceRequest(const Call& call) const;

  /// Needs the lock.
  admission::Config ConfigOf(const Announcement& announcement) const;
  void Resume(const std::vector<admission::Decision>& decisions);
  void ArmTimer();

  const Clock& clock;
  TrafficThread& timer_thread;
  std::atomic<once::Deduplicator*> deduplicator{nullptr};

  mutable std::mutex mutex;
  std::optional<Announcement> backend;
  SteadyTime last_heartbeat;
  bool gone = true;
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
