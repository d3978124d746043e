#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

#include "cassiakeel/admission/state.h"
#include "cassiakeel/h1/client.h"
#include "cassiakeel/h1/timer_queue.h"
#include "cassiakeel/mesh/backend.h"
#include "cassiakeel/mesh/call.h"
#include "decision_log.h"
#include "statistics.h"
#include "typical_service_times.h"

namespace cassiakeel::mesh::pvt {

/// Identifies a call at its gate.
using ServeId = std::uint64_t;

/// A running call that has made a downstream call.
struct ParentCall {
  ServeId id = 0;
  int priority = 0;
  double tree_rank = 0;
  bool is_retry = false;
};

/// Admission control for the backend server on this machine: decides which
/// calls are forwarded to the server, and when. The server is reachable only
/// through this node, so the gate's count of calls in flight and its knowledge
/// of restarts and shutdown are authoritative, and a call that the gate refuses
/// has certainly not run. Used on the traffic thread.
class BackendGate {
 public:
  static std::unique_ptr<BackendGate> Create(
      asio::io_context& io_context,
      std::shared_ptr<h1::TimerQueue> timers,
      const FieldNames& fields,
      DecisionLog& log,
      Statistics& statistics);
  ~BackendGate();

  /// Sets the last reported state of the server. All queued calls are refused
  /// if the server is leaving or was replaced by another process.
  void SetBackend(const LocalBackend& backend);

  /// Submits a call. `handler` runs exactly once, possibly before this function
  /// returns, unless the call is withdrawn.
  ServeId Submit(ServeRequest request, ServeHandler handler);

  /// Withdraws a call whose caller has disconnected. A queued call is dropped
  /// and a running idempotent call is cancelled. A running non-idempotent call
  /// continues and its response is discarded. No effect on a finished call.
  void Withdraw(ServeId id);

  /// Finds the running call that made the request `attempt`. If the backend
  /// server derives ids from parent ids, the parent is found by id. Otherwise
  /// it is the running call with the closest deadline, because calls expire
  /// together with their parent; this can be wrong if many calls are running.
  std::optional<ParentCall> FindParent(const std::string& attempt,
                                       SteadyTime deadline);
  /// Records the shed level reported for a downstream call of `parent`; it is
  /// included in the parent's result.
  void RecordChildShedLevel(ServeId parent, double shed_level);
  /// Records that a downstream call of `parent` failed.
  void RecordChildFailure(ServeId parent);

  bool Serves(const ServiceName& service) const;
  admission::Load CurrentLoad() const;
  std::size_t InFlight() const { return this->calls.size(); }

 private:
  struct Call;

  BackendGate(asio::io_context& io_context,
              std::shared_ptr<h1::TimerQueue> timers,
              const FieldNames& fields,
              DecisionLog& log,
              Statistics& statistics);

  std::optional<Reason> CheckBeforeQueue(const ServeRequest& request) const;
  void ApplyDecisions(const std::vector<admission::Decision>& decisions);
  void Start(ServeId id);
  void OnResponse(ServeId id, h1::FetchResult fetch, SteadyTime started);
  ServeResult DecodeResponse(h1::FetchResult fetch, const Call& call) const;
  void RecordConnectResult(const h1::FetchResult& fetch);
  void Finish(ServeId id, ServeResult result);
  std::unique_ptr<Call> Extract(ServeId id);
  ParentCall MakeParentCall(ServeId id) const;
  ServeResult Refusal(Reason reason,
                      std::chrono::milliseconds retry_after) const;
  void LogRefusal(const Call& call, Reason reason) const;
  void ScheduleAdvance();

  std::shared_ptr<h1::TimerQueue> timers;
  const FieldNames& fields;
  DecisionLog& log;
  Statistics& statistics;
  std::unique_ptr<h1::Client> client;
  LocalBackend backend;
  admission::State admission;
  TypicalServiceTimes service_times;
  std::unordered_map<ServeId, std::unique_ptr<Call>> calls;
  /// Running calls by the deadline that was sent to the backend server.
  std::multimap<SteadyTime, ServeId> by_deadline;
  /// Running calls by the attempt id of their request.
  std::unordered_map<std::string, ServeId> by_attempt;
  /// True once a request from the backend server had an id derived from its
  /// parent's id.
  bool backend_derives_ids = false;
  ServeId next_id = 1;
  h1::Timer timer;
  SteadyTime timer_due;
  int connect_failures = 0;
  /// No calls are forwarded before this time, because connections to the server
  /// failed.
  SteadyTime paused_until;
};

}  // namespace cassiakeel::mesh::pvt
