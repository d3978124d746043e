#pragma once

#include <memory>
#include <string>

#include "world.h"

namespace cassiakeel::history {

/// Name of a process in a history: two processes on one address differ.
std::string NodeLabel(const Process& process);

/// One request of a caller, and how far it has got at its ingress node.
struct Asked {
  Event submit;
  once::Request work;
  std::shared_ptr<Process> ingress;
  /// The attempt whose answer counts.
  std::string current;
  int retries_left = 0;
  bool answered = false;
};

/// Callers, ingress nodes, the dispatch at serving nodes, and backend servers.
/// Ingress nodes retry only what is known not to have run, and ask the serving
/// node about an attempt that stays without answer.
class Traffic {
 public:
  explicit Traffic(World& world) : world(world) {}
  /// Schedules all submissions and their repetitions.
  void Start();

 private:
  using AskedPtr = std::shared_ptr<Asked>;
  using ProcessPtr = std::shared_ptr<Process>;
  using Reply = std::function<void(Outcome, Reason, const std::string&)>;

  void Submit(const IdempotencyKey& key, std::uint64_t fingerprint);
  void SubmitNewKey();
  /// Answers for an ingress node that has crashed.
  void WatchIngress(const AskedPtr& asked);
  void TryAttempt(const AskedPtr& asked, bool retry);
  void OnTimeout(const AskedPtr& asked,
                 const std::string& attempt,
                 const NodeId& owner);
  void OnAnswer(const AskedPtr& asked,
                const std::string& attempt,
                Outcome outcome,
                Reason reason,
                const std::string& payload);
  void Answer(const AskedPtr& asked,
              Outcome outcome,
              Reason reason,
              const std::string& payload);
  /// Sends between nodes, with the faults of messages.
  void Send(const ProcessPtr& from,
            const ProcessPtr& to,
            const std::function<void()>& action);
  void Serve(const ProcessPtr& process,
             const once::Request& work,
             const Event& submit,
             const Reply& reply);
  void Dispatch(const ProcessPtr& process,
                const once::Request& work,
                const Event& submit,
                const once::Decision& decision,
                const Reply& reply);
  void RunAtServer(const ProcessPtr& process,
                   const once::Request& work,
                   const Event& submit,
                   once::ShardEpoch epoch,
                   const std::function<void(const once::AttemptResult&)>& done);

  World& world;
  int next_id = 0;
};

}  // namespace cassiakeel::history
