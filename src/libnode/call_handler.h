#pragma once

#include <atomic>
#include <memory>

#include "call.h"
#include "cassiakeel/control/published_state.h"
#include "cassiakeel/http/server.h"
#include "forwarder.h"
#include "operations.h"

namespace cassiakeel::node {

/// Where a request came from, which decides what of its context is believed.
enum class Origin {
  /// A caller on the traffic port: only the deadline and the idempotency key of
  /// its context count.
  kCaller,
  /// Another node.
  kNode,
  /// The own backend server.
  kBackendServer,
};

/// Turns requests into calls and their results into responses.
class CallHandler {
 public:
  CallHandler(const ForwardEnvironment& environment,
              const control::PublishedState& blackboard,
              BurnBoard& burn);

  /// Handles a request for `service` whose path below the service is `path`.
  void Handle(TrafficThread& thread,
              Origin origin,
              const std::string& service,
              std::string path,
              http::ServerRequest request);

  /// From now on calls of callers are refused with `kLeaving`.
  void StopAccepting();
  /// Calls that have not been answered.
  int ActiveCalls() const;

 private:
  /// Builds the call, or says why it is refused.
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
  void CountAnswer(const Call& call,
                   const CallResult& result,
                   SteadyTime arrived);
  void Respond(const std::shared_ptr<http::Responder>& responder,
               CallResult result);

  const ForwardEnvironment& environment;
  const control::PublishedState& blackboard;
  BurnBoard& burn;
  std::atomic<bool> accepting{true};
  std::atomic<int> active_calls{0};
};

}  // namespace cassiakeel::node
