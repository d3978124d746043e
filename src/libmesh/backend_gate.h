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

namespace cassiakeel::mesh::pvt {

/// Names a call at its gate.
using ServeId = std::uint64_t;

/// A running call whose backend server makes calls of its own.
struct Parent {
  ServeId id = 0;
  int priority = 0;
  double tree_rank = 0;
  bool repeat = false;
};

/// Decides which calls reach the backend server beside this node, and when.
/// Only this node can reach that server, so its own count of calls in flight
/// and its knowledge of the server's start and leaving are the truth: a refusal
/// here is always "not run". Used on the traffic thread.
class BackendGate {
 public:
  static std::unique_ptr<BackendGate> Create(
      asio::io_context& io_context,
      std::shared_ptr<h1::TimerQueue> timers,
      const FieldNames& fields,
      DecisionLog& log,
      Statistics& statistics);
  ~BackendGate();

  /// Takes over what the server last reported. Queued calls are refused as soon
  /// as it leaves or another one took its place.
  void SetBackend(const LocalBackend& backend);

  /// `handler` runs once, possibly before this returns, unless the call is
  /// withdrawn.
  ServeId Submit(ServeRequest request, ServeHandler handler);

  /// The caller is gone: a queued call is dropped; running idempotent work is
  /// cancelled, other work goes on without anybody to answer.
  void Withdraw(ServeId id);

  /// The running call that caused a request. Its id tells where the backend
  /// server extends ids; else a call expires with its parent, and the nearest
  /// deadline is taken, which can be wrong when many calls run.
  std::optional<Parent> FindParent(const std::string& attempt,
                                   SteadyTime deadline);
  /// Notes the shed level that a call of a running call met; it counts for the
  /// parent's result.
  void NoteChild(ServeId parent, double shed_level);
  /// A call of a running call ended without success.
  void NoteChildFailed(ServeId parent);

  bool Serves(const ServiceName& service) const;
  admission::Load LoadNow() const;
  std::size_t InFlight() const { return this->calls.size(); }

 private:
  struct Call;

  BackendGate(asio::io_context& io_context,
              std::shared_ptr<h1::TimerQueue> timers,
              const FieldNames& fields,
              DecisionLog& log,
              Statistics& statistics);

  std::optional<Reason> RefusalBeforeQueue(const ServeRequest& request) const;
  void Apply(const std::vector<admission::Decision>& decisions);
  void Start(ServeId id);
  void OnAnswer(ServeId id, h1::FetchResult fetch, SteadyTime started);
  ServeResult Interpret(h1::FetchResult fetch, const Call& call) const;
  void NoteBackendHealth(const h1::FetchResult& fetch);
  void Finish(ServeId id, ServeResult result);
  std::unique_ptr<Call> Extract(ServeId id);
  Parent ParentOf(ServeId id) const;
  ServeResult Refusal(Reason reason,
                      std::chrono::milliseconds retry_after) const;
  void LogRefusal(const Call& call, Reason reason) const;
  void Arm();

  std::shared_ptr<h1::TimerQueue> timers;
  const FieldNames& fields;
  DecisionLog& log;
  Statistics& statistics;
  std::unique_ptr<h1::Client> client;
  LocalBackend backend;
  admission::State admission;
  std::unordered_map<ServeId, std::unique_ptr<Call>> calls;
  /// Running calls by the deadline that the backend server was told.
  std::multimap<SteadyTime, ServeId> by_deadline;
  /// Running calls by the id of the caller's attempt.
  std::unordered_map<std::string, ServeId> by_attempt;
  /// The backend server has been seen to extend ids.
  bool ids_extend = false;
  ServeId next_id = 1;
  h1::Timer timer;
  SteadyTime armed_for;
  int connect_failures = 0;
  /// No calls before this time: the server refuses connections.
  SteadyTime down_until;
};

}  // namespace cassiakeel::mesh::pvt
