#pragma once

#include <atomic>
#include <memory>

#include "call.h"
#include "cassiakeel/control/blackboard.h"
#include "cassiakeel/http/server.h"
#include "forwarder.h"
#include "operations.h"

namespace cassiakeel::node {

/// Origin of a request. It determines which context fields are trusted.
enum class Origin {
  /// A caller on the traffic port. Only the deadline and the idempotency key of
  /// its context are used.
  kCaller,
  /// Another node.
  kNode,
  /// This node's backend server.
  kBackendServer,
};

/// Converts HTTP requests into calls and their results into HTTP responses.
class CallHandler {
 public:
  CallHandler(const ForwardEnvironment& environment,
              const control::Blackboard& blackboard,
              SharedBurnCollector& burn);

  /// Handles a request for `service`; `path` is the path after the service
  /// name.
  void Handle(TrafficThread& thread,
              Origin origin,
              const std::string& service,
              std::string path,
              http::ServerRequest request);

  /// Refuses new calls from callers with `kLeaving`.
  void StopAccepting();
  /// Number of calls without a response yet.
  int ActiveCalls() const;

 private:
  /// Builds the call, or returns the reason for refusing it.
  tl::expected<Call, Reason> MakeCall(TrafficThread& thread,
                                      Origin origin,
                                      const std::string& service,
                                      std::string path,
                                      http::ServerRequest& request);
  void ApplyContext(TrafficThread& thread, Origin origin, Call& call);
  void ApplyCallerContext(TrafficThread& thread, Call& call);
  void Run(TrafficThread& thread,
           Origin origin,
           Call call,
           std::shared_ptr<http::Responder> responder);
  void RecordResult(const Call& call,
                    const CallResult& result,
                    SteadyTime arrived);
  void Respond(const std::shared_ptr<http::Responder>& responder,
               CallResult result);

  const ForwardEnvironment& environment;
  const control::Blackboard& blackboard;
  SharedBurnCollector& burn;
  std::atomic<bool> accepting{true};
  std::atomic<int> active_calls{0};
};

}  // namespace cassiakeel::node
