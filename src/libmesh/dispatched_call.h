#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dispatcher.h"

namespace cassiakeel::mesh::pvt {

/// One request, from its arrival to the response to the caller.
class Dispatcher::Call : public std::enable_shared_from_this<Call> {
 public:
  Call(Dispatcher& owner,
       std::shared_ptr<h1::Exchange> exchange,
       std::shared_ptr<const TrafficPolicy> policy,
       const Route& route,
       std::optional<tenancy::Caller> caller,
       std::optional<std::chrono::milliseconds> caller_timeout);
  // With `latest_end`, refuses the request if its time limit ends later.
  void Run(std::optional<SteadyTime> latest_end);

 private:
  // Refuses a client's request that is unlikely to finish, before any work is
  // spent on it. Returns true if the request was refused.
  bool ShedAtEntry();
  void Attempt();
  // True if a policy that came into force since has withdrawn the caller's key.
  bool KeyIsWithdrawn() const;
  // Sends the request again to the server that refused it, because the route
  // does not allow another server.
  void RetrySameServer();
  void SendToEndpoint(routing::Pool& pool, std::size_t index);
  void SendLocally(CallInfo info);
  void SendToNode(const PeerAddress& address, const CallInfo& info);
  void OnResult(int attempt_number, ServeResult result);
  // Updates the statistics of the endpoint, the retry quota and the shed levels
  // with the result of an attempt.
  void RecordResult(const ServeResult& result);
  // True if the call that made this request was itself a retry.
  bool ParentIsRetry() const;
  void RecordFirstArrival(SteadyTime now);
  // Shedding order among call trees of the same priority, see CallInfo.
  double TreeRank() const;
  // Position in the shedding order, see admission::ShedPosition.
  double ShedOrderPosition() const;
  void OnResponse(ServeResult result);
  // The node refused the request without forwarding it to its backend server.
  void OnRefused(const ServeResult& result);
  // The backend server refused the request, or the outcome is unknown.
  void OnFailure(const ServeResult& result);
  // True if the request may be sent to a backend server again. Takes a retry
  // from the quota.
  bool TakeRetry(int max_arrivals);
  void OnDeadline();
  void OnCallerDisconnected();
  void CancelAttempt();
  // Finishes the request with an error status, or with the error response that
  // a backend server returned to an earlier attempt.
  void FinishWithError(Reason reason);
  void LogFailure(Reason reason, SteadyTime now);
  void Respond(h1::Response response);
  void Finish();

  Dispatcher& owner;
  std::shared_ptr<h1::Exchange> exchange;
  /// Keeps `route` alive.
  std::shared_ptr<const TrafficPolicy> policy;
  const Route& route;
  SteadyTime received;
  SteadyTime caller_deadline;
  SteadyTime deadline;
  std::string attempt_id;
  /// The tenant whose key the request showed; none for a public route.
  std::optional<tenancy::Caller> caller;
  /// The running call of this machine's backend server that made this request.
  std::optional<ParentCall> parent;
  int priority = 0;
  double tree_rank = 0;
  ServiceName service;
  NodeId node;
  std::vector<NodeId> tried;
  SteadyTime sent_at;
  /// Identifies the kind of work in the statistics of endpoints.
  std::uint64_t kind;
  h1::Timer timer;
  std::optional<h1::FetchId> remote_fetch;
  std::optional<ServeId> local_call;
  /// Error response of a backend server, returned to the caller if a retry does
  /// not produce another response.
  std::optional<h1::Response> fallback_response;
  std::chrono::milliseconds retry_after{0};
  /// Number of attempts; results of earlier attempts are ignored.
  int attempts = 0;
  /// Number of attempts that reached a backend server.
  int arrivals = 0;
  int reroutes = 0;
  bool may_have_run = false;
  bool done = false;
};

}  // namespace cassiakeel::mesh::pvt
