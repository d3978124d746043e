#include "call_handler.h"

#include <nlohmann/json.hpp>

#include "cassiakeel/base/random.h"
#include "log.h"

namespace cassiakeel::node {
namespace {

constexpr std::size_t kMaxShortBodyBytes = 8U << 20U;

std::string RefusalBody(const CallResult& result) {
  nlohmann::json body = {{"outcome", std::string(OutcomeName(result.outcome))},
                         {"reason", std::string(ReasonName(result.reason))},
                         {"step", result.step}};
  if (!result.peer.Value().empty()) {
    body["peer"] = result.peer.Value();
  }
  return body.dump() + "\n";
}

/// State shared by the two callbacks that may end a call: its completion and
/// the disconnect of its client.
struct CallState {
  bool ended = false;
  CancelCall cancel;
};

/// Maps an error of `routing::ParseContext` to a refusal reason.
Reason ContextErrorReason(const Error& error) {
  return error.message.find("depth") != std::string::npos ? Reason::kTooDeep
                                                          : Reason::kBadRequest;
}

}  // namespace

CallHandler::CallHandler(const ForwardEnvironment& environment,
                         const control::Blackboard& blackboard,
                         SharedBurnCollector& burn)
    : environment(environment), blackboard(blackboard), burn(burn) {}

void CallHandler::StopAccepting() {
  this->accepting = false;
}

int CallHandler::ActiveCalls() const {
  return this->active_calls;
}

void CallHandler::Handle(TrafficThread& thread,
                         Origin origin,
                         const std::string& service,
                         std::string path,
                         http::ServerRequest request) {
  const auto responder = request.responder;
  auto call = this->MakeCall(thread, origin, service, std::move(path), request);
  if (!call) {
    const CallResult refusal = MakeErrorResult(call.error(), "read request");
    this->environment.metrics.CountBadRequest(call.error());
    auto headers = OutcomeHeaders(refusal);
    headers.emplace_back("Content-Type", "application/json");
    responder->Send(refusal.status, std::move(headers), RefusalBody(refusal));
    return;
  }
  this->Run(thread, origin, *std::move(call), responder);
}

tl::expected<Call, Reason> CallHandler::MakeCall(TrafficThread& thread,
                                                 Origin origin,
                                                 const std::string& service,
                                                 std::string path,
                                                 http::ServerRequest& request) {
  auto context = routing::ParseContext(request.headers, thread.rng());
  if (!context) {
    return tl::make_unexpected(ContextErrorReason(context.error()));
  }
  Call call;
  call.policy = this->blackboard.policy.Read();
  if (!call.policy) {
    return tl::make_unexpected(Reason::kNoPolicy);
  }
  call.service = ServiceName(service);
  call.service_policy = policy::FindService(*call.policy, call.service);
  if (call.service_policy == nullptr) {
    return tl::make_unexpected(Reason::kUnknownService);
  }
  call.method = request.method;
  call.path = path.empty() ? "/" : std::move(path);
  call.query = request.query.empty() ? "" : "?" + request.query;
  call.kind = policy::FindKind(*call.service_policy, call.method, call.path);
  if (call.kind == nullptr) {
    return tl::make_unexpected(Reason::kUnknownKind);
  }
  if (call.kind->length == WorkLength::kShort &&
      request.body.size() > kMaxShortBodyBytes) {
    return tl::make_unexpected(Reason::kTooLarge);
  }
  if (origin == Origin::kCaller && !this->accepting) {
    return tl::make_unexpected(Reason::kLeaving);
  }
  call.context = *std::move(context);
  call.headers = ForwardableHeaders(request.headers);
  call.body = std::make_shared<const std::string>(std::move(request.body));
  this->ApplyContext(thread, origin, call);
  return call;
}

void CallHandler::ApplyCallerContext(TrafficThread& thread, Call& call) {
  // A caller may shorten the deadline, but must not choose the class, retries
  // or depth.
  call.request_class = call.kind->request_class;
  call.retries = call.kind->retries;
  call.context.depth = 0;
  if (!call.kind->idempotent && !call.context.key) {
    call.context.key = IdempotencyKey(
        MakeUuid7(this->environment.clock.WallNow(), thread.rng()));
  }
}

void CallHandler::ApplyContext(TrafficThread& thread,
                               Origin origin,
                               Call& call) {
  auto time_left = call.kind->deadline;
  if (origin == Origin::kCaller) {
    this->ApplyCallerContext(thread, call);
  } else if (origin == Origin::kBackendServer && !call.context.traced) {
    this->environment.metrics.CountCallWithoutContext();
    call.request_class = RequestClass::kBackground;
    time_left = std::min(time_left, kMaxTimeWithoutContext);
  } else {
    call.request_class =
        call.context.request_class.value_or(RequestClass::kBackground);
    call.retries = call.context.retries.value_or(0);
  }
  if (origin == Origin::kBackendServer) {
    ++call.context.depth;
    if (!call.kind->idempotent && !call.context.key) {
      call.context.key = IdempotencyKey(
          MakeUuid7(this->environment.clock.WallNow(), thread.rng()));
    }
  }
  if (call.context.time_left) {
    time_left = std::min(time_left, *call.context.time_left);
  }
  call.deadline = this->environment.clock.Now() + time_left;
}

void CallHandler::Run(TrafficThread& thread,
                      Origin origin,
                      Call call,
                      std::shared_ptr<http::Responder> responder) {
  if (call.context.depth > routing::kMaxDepth) {
    this->Respond(responder, MakeErrorResult(Reason::kTooDeep, "read request"));
    return;
  }
  ++this->active_calls;
  const SteadyTime arrived = this->environment.clock.Now();
  const bool is_long = call.kind->length == WorkLength::kLong;
  std::shared_ptr<StreamSink> sink;
  if (is_long) {
    sink = std::make_shared<StreamSink>();
    sink->start = [responder](const CallResult& head, std::size_t length) {
      auto headers = head.headers;
      for (auto& field : OutcomeHeaders(head)) {
        headers.push_back(std::move(field));
      }
      responder->Begin(head.status, std::move(headers), length);
    };
    sink->write = [responder](std::string part, std::function<void()> written) {
      responder->Write(std::move(part), std::move(written));
    };
  }
  std::optional<routing::Delegation> delegation;
  const auto parent_attempt = call.context.attempt;
  if (origin == Origin::kBackendServer && parent_attempt) {
    delegation = this->environment.serving.TakeRetryBudget(*parent_attempt);
    call.retries = delegation->given;
  }
  auto shared_call = std::make_shared<const Call>(call);
  auto state = std::make_shared<CallState>();
  auto on_end = [this, origin, responder, shared_call, arrived, delegation,
                 parent_attempt, state](CallResult result) {
    state->ended = true;
    --this->active_calls;
    if (delegation) {
      this->environment.serving.ReturnRetryBudget(*parent_attempt, *delegation,
                                                  result.unspent_retries);
    }
    if (origin == Origin::kCaller) {
      this->RecordResult(*shared_call, result, arrived);
    }
    this->Respond(responder, std::move(result));
  };
  responder->OnPeerClosed([this, state] {
    if (!state->ended) {
      state->ended = true;
      --this->active_calls;
      state->cancel();
    }
  });
  CancelCall cancel =
      origin == Origin::kNode
          ? this->environment.serving.Serve(thread, std::move(call), sink,
                                            std::move(on_end))
          : Forward(this->environment, thread, std::move(call), sink,
                    std::move(on_end));
  state->cancel = std::move(cancel);
}

void CallHandler::RecordResult(const Call& call,
                               const CallResult& result,
                               SteadyTime arrived) {
  const SteadyTime now = this->environment.clock.Now();
  this->environment.metrics.CountCall(call, result, now - arrived);
  telemetry::CallRecord record;
  record.service = call.service;
  record.request_class = call.request_class;
  record.outcome = result.outcome;
  record.reason = result.reason;
  record.status = result.status;
  record.latency = now - arrived;
  record.objective_percent = call.kind->objective.percent;
  record.objective_latency = call.kind->objective.latency;
  record.retries = std::max(0, call.retries - result.unspent_retries);
  record.step = result.step;
  record.peer = result.peer;
  this->burn.Record(record, now);
  if (result.outcome != Outcome::kRan) {
    LogRequest(call.context.request, result.step, result.peer,
               std::string(ReasonName(result.reason)));
  }
}

void CallHandler::Respond(const std::shared_ptr<http::Responder>& responder,
                          CallResult result) {
  if (result.streamed) {
    responder->End();
    return;
  }
  auto headers = std::move(result.headers);
  for (auto& field : OutcomeHeaders(result)) {
    headers.push_back(std::move(field));
  }
  if (result.outcome != Outcome::kRan && result.body.empty()) {
    headers.emplace_back("Content-Type", "application/json");
    result.body = RefusalBody(result);
  }
  responder->Send(result.status, std::move(headers), std::move(result.body));
}

}  // namespace cassiakeel::node
