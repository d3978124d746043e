#pragma once

#include <memory>
#include <string>

#include "simulation.h"

namespace cassiakeel::history {

/// Name of a process in a history; differs between successive processes on one
/// address.
std::string NodeLabel(const Process& process);

/// One request of a caller and its progress at the ingress node.
struct PendingRequest {
  Event submit;
  once::Request request;
  std::shared_ptr<Process> ingress;
  /// Attempt in progress; answers to earlier attempts are ignored.
  std::string current_attempt;
  int retries_left = 0;
  bool answered = false;
};

/// Simulates callers, ingress nodes, the dispatch at serving nodes, and backend
/// servers. Ingress nodes retry only attempts that are known not to have run,
/// and query the serving node about an attempt that times out.
class Traffic {
 public:
  explicit Traffic(Simulation& simulation) : simulation(simulation) {}
  /// Schedules all submissions and repeated submissions.
  void Start();

 private:
  using PendingRequestPtr = std::shared_ptr<PendingRequest>;
  using ProcessPtr = std::shared_ptr<Process>;
  using Reply = std::function<void(Outcome, Reason, const std::string&)>;

  void Submit(const IdempotencyKey& key, std::uint64_t fingerprint);
  void SubmitNewKey();
  /// Checks every 2 s until the request is answered; answers it with outcome
  /// kUnknown if its ingress node has crashed.
  void AnswerIfIngressCrashes(const PendingRequestPtr& pending);
  void TryAttempt(const PendingRequestPtr& pending, bool retry);
  void OnTimeout(const PendingRequestPtr& pending,
                 const std::string& attempt,
                 const NodeId& owner);
  void OnAnswer(const PendingRequestPtr& pending,
                const std::string& attempt,
                Outcome outcome,
                Reason reason,
                const std::string& payload);
  void Answer(const PendingRequestPtr& pending,
              Outcome outcome,
              Reason reason,
              const std::string& payload);
  /// Runs `action` at `to` after a network delay, subject to message faults.
  void Send(const ProcessPtr& from,
            const ProcessPtr& to,
            const std::function<void()>& action);
  void Serve(const ProcessPtr& process,
             const once::Request& request,
             const Event& submit,
             const Reply& reply);
  void Dispatch(const ProcessPtr& process,
                const once::Request& request,
                const Event& submit,
                const once::Decision& decision,
                const Reply& reply);
  void RunAtServer(const ProcessPtr& process,
                   const once::Request& request,
                   const Event& submit,
                   once::ShardEpoch epoch,
                   const std::function<void(const once::AttemptResult&)>& done);

  Simulation& simulation;
  int next_id = 0;
};

}  // namespace cassiakeel::history
