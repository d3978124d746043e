#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dispatcher.h"

namespace cassiakeel::mesh::pvt {

/// One request from its arrival to its answer.
class Dispatcher::Call : public std::enable_shared_from_this<Call> {
 public:
  Call(Dispatcher& owner,
       std::shared_ptr<h1::Exchange> exchange,
       std::shared_ptr<const TrafficPolicy> policy,
       const Route& route,
       std::optional<std::chrono::milliseconds> caller_timeout,
       std::optional<SteadyTime> latest_end);
  void Run();

 private:
  // Refuses a request of a client that would hardly finish, before any work is
  // spent on it.
  bool ShedAtEntry();
  void Attempt();
  // Sends the request once more to the server that refused it, because no
  // further server may get it.
  void AttemptAgain();
  void SendToEndpoint(routing::Pool& pool, std::size_t index);
  void SendLocally(CallInfo info);
  void SendTo(const PeerAddress& address, const CallInfo& info);
  void OnResult(int number, ServeResult result);
  // Tells the selection what the attempt showed.
  void Observe(const ServeResult& result);
  // The run that caused this call was itself a repeat.
  bool InRepeatedRun() const;
  void CountFirst(SteadyTime now);
  double Position() const;
  void OnAnswered(ServeResult result);
  // The node beside the backend server kept the request away from it.
  void OnRefused(const ServeResult& result);
  // The backend server refused the request, or nobody knows what it did.
  void OnFailed(const ServeResult& result);
  // Whether the request may arrive at a backend server once more.
  bool MayRepeat(int most_arrivals);
  void OnDeadline();
  void OnCallerGone();
  void CancelAttempt();
  // Final answer without a response of a backend server, or with the failure
  // that an earlier one gave.
  void Refuse(Reason reason);
  void LogFailure(Reason reason, SteadyTime now);
  void Answer(h1::Response response);
  void End();

  Dispatcher& owner;
  std::shared_ptr<h1::Exchange> exchange;
  /// Keeps `route` alive.
  std::shared_ptr<const TrafficPolicy> policy;
  const Route& route;
  SteadyTime received;
  SteadyTime caller_deadline;
  SteadyTime deadline;
  std::string attempt_id;
  /// The running call of this machine's backend server that caused this one.
  std::optional<Parent> parent;
  int priority = 0;
  double tree_rank = 0;
  ServiceName service;
  NodeId node;
  std::vector<NodeId> tried;
  SteadyTime sent_at;
  h1::Timer timer;
  std::optional<h1::FetchId> remote;
  std::optional<ServeId> local;
  /// Failure of a backend server, for when a repeat brings nothing better.
  std::optional<h1::Response> fallback;
  std::chrono::milliseconds retry_after{0};
  int sends = 0;
  int arrivals = 0;
  int reroutes = 0;
  bool may_have_run = false;
  bool done = false;
};

}  // namespace cassiakeel::mesh::pvt
