#include "forwarder.h"

#include <algorithm>
#include <span>
#include <utility>

namespace cassiakeel::node {
namespace {

using std::chrono::milliseconds;

constexpr int kAttemptIdBytes = 8;
// If an attempt gets no response for this long, the serving node is queried
// over another connection, as the attempt's own may have stopped responding.
constexpr milliseconds kProbeInterval{500};
// A key shard that moves to another node is served again within this time.
constexpr milliseconds kShardMoveDelay{300};
// Added to the deadline so that the serving node can report its own timeout
// before this node gives up on the attempt.
constexpr milliseconds kTimeoutReportMargin{20};

/// An attempt sent to one endpoint.
struct Attempt {
  NodeId node;
  AttemptId id;
  SteadyTime sent;
  routing::Delegation delegation;
  CancelCall cancel;
  bool ended = false;
  /// The serving node reported that the attempt ended or never arrived there,
  /// but its response has not arrived here.
  bool end_reported = false;
};

class ForwardedCall : public std::enable_shared_from_this<ForwardedCall> {
 public:
  ForwardedCall(const ForwardEnvironment& environment,
                TrafficThread& thread,
                Call call,
                std::shared_ptr<const StreamSink> sink,
                CallCallback on_end)
      : environment(environment),
        thread(thread),
        call(std::move(call)),
        sink(std::move(sink)),
        on_end(std::move(on_end)),
        budget(routing::OpenBudget(this->call.retries)) {}

  void Start() {
    const auto left = this->call.deadline - this->environment.clock.Now();
    auto self = this->shared_from_this();
    this->deadline_timer = this->thread.RunAfter(
        left + kTimeoutReportMargin, [self] { self->OnDeadline(); });
    this->SendAttempt();
  }

  void Cancel() {
    this->finished = true;
    this->deadline_timer->cancel();
    this->on_end = nullptr;
    this->CancelAttempts();
  }

 private:
  bool Idempotent() const {
    return this->call.kind != nullptr && this->call.kind->idempotent;
  }

  WorkLength Length() const {
    return this->call.kind != nullptr ? this->call.kind->length
                                      : WorkLength::kShort;
  }

  /// For a non-idempotent call the owner of the key's shard if known, otherwise
  /// any endpoint.
  TargetChoice ChooseTarget() {
    once::Deduplicator* deduplicator = this->environment.deduplicator;
    if (!this->Idempotent() && this->reported_owner) {
      const NodeId owner = *std::exchange(this->reported_owner, std::nullopt);
      auto choice = this->environment.pools.Find(this->call.service, owner);
      if (choice.target) {
        return choice;
      }
    }
    if (deduplicator != nullptr && !this->Idempotent() &&
        this->call.context.key) {
      const auto owner =
          deduplicator->OwnerOf(this->call.service, *this->call.context.key);
      if (!owner) {
        deduplicator->Watch(this->call.service);
      } else {
        auto choice =
            this->environment.pools.Find(this->call.service, owner->node);
        if (!choice.target) {
          deduplicator->Refresh(this->call.service);
          choice.reason = Reason::kNoAuthority;
        }
        return choice;
      }
    }
    auto choice = this->SelectExcluding(this->tried);
    if (!choice.target && choice.reason == Reason::kNoEndpoint) {
      // All endpoints were tried; a retry may use one of them again.
      choice = this->SelectExcluding({});
    }
    return choice;
  }

  TargetChoice SelectExcluding(std::span<const NodeId> excluded) {
    routing::SelectionRequest request;
    request.request_class = this->call.request_class;
    request.length = this->Length();
    request.tried = excluded;
    return this->environment.pools.Select(this->call.service, request,
                                          this->environment.clock.Now(),
                                          this->thread.rng());
  }

  void SendAttempt() {
    if (this->finished) {
      return;
    }
    const auto choice = this->ChooseTarget();
    if (!choice.target) {
      CallResult refusal = MakeErrorResult(choice.reason, "select endpoint");
      refusal.retry_after = std::chrono::seconds(1);
      this->RetryOrFinish(std::move(refusal), NodeId());
      return;
    }
    this->SendTo(*choice.target);
    this->ArmHedge();
  }

  void SendTo(const Target& target) {
    auto attempt = std::make_shared<Attempt>();
    attempt->node = target.node;
    attempt->id = AttemptId(RandomHex(kAttemptIdBytes, this->thread.rng()));
    attempt->sent = this->environment.clock.Now();
    attempt->delegation = routing::Delegate(this->budget);
    this->tried.push_back(attempt->node);
    this->attempts.push_back(attempt);
    this->environment.pools.OnDispatch(this->call.service, attempt->node,
                                       attempt->sent);
    if (attempt->node == this->environment.self) {
      this->SendLocal(attempt);
    } else {
      this->SendRemote(attempt, target.address);
    }
  }

  Call CallForAttempt(const Attempt& attempt) const {
    Call copy = this->call;
    copy.retries = attempt.delegation.given;
    copy.context.attempt = attempt.id;
    return copy;
  }

  void SendLocal(const std::shared_ptr<Attempt>& attempt) {
    auto self = this->shared_from_this();
    attempt->cancel = this->environment.serving.Serve(
        this->thread, this->CallForAttempt(*attempt),
        this->ExclusiveSink(attempt), [self, attempt](CallResult result) {
          self->OnAnswer(attempt, std::move(result));
        });
  }

  void SendRemote(const std::shared_ptr<Attempt>& attempt,
                  const PeerAddress& address) {
    const Call copy = this->CallForAttempt(*attempt);
    http::ClientRequest request;
    request.method = copy.method;
    request.peer = address;
    request.target =
        "/cassiakeel/v1/call/" + copy.service.Value() + copy.path + copy.query;
    request.body = copy.body;
    request.timeout =
        TimeLeft(copy.deadline, attempt->sent) + kTimeoutReportMargin;
    request.headers = copy.headers;
    routing::RequestContext context = copy.context;
    context.request_class = copy.request_class;
    context.time_left = TimeLeft(copy.deadline, attempt->sent);
    context.retries = copy.retries;
    for (auto& field : routing::FormatContext(context, this->thread.rng())) {
      request.headers.push_back(std::move(field));
    }
    auto self = this->shared_from_this();
    const auto id = StartExchange(
        this->thread, std::move(request),
        this->Length() == WorkLength::kLong ? this->ExclusiveSink(attempt)
                                            : nullptr,
        [](int status, const http::HeaderList& headers) {
          return ParseResponse(status, headers);
        },
        [self, attempt, address](http::ExchangeResult result, bool streamed) {
          self->OnExchangeEnd(attempt, address, std::move(result), streamed);
        });
    // Capturing `self`, which owns the attempt, would make a reference cycle.
    attempt->cancel = [&thread = this->thread, id] {
      thread.client().Cancel(id);
    };
    this->ArmProbe(attempt);
  }

  void ArmProbe(const std::shared_ptr<Attempt>& attempt) {
    auto self = this->shared_from_this();
    this->thread.RunAfter(kProbeInterval, [self, attempt] {
      if (self->finished || attempt->ended || self->streaming) {
        return;
      }
      self->environment.query_attempt(
          attempt->node, attempt->id, [self, attempt](Outcome outcome) {
            self->thread.Post(
                [self, attempt, outcome] { self->OnProbe(attempt, outcome); });
          });
    });
  }

  /// Handles the result of a query about an attempt without response.
  void OnProbe(const std::shared_ptr<Attempt>& attempt, Outcome outcome) {
    if (this->finished || attempt->ended || this->streaming) {
      return;
    }
    if (outcome == Outcome::kUnknown) {
      this->ArmProbe(attempt);
      return;
    }
    // The attempt ended there or never arrived. Its response has one more
    // interval to arrive; after that its connection is considered lost.
    const bool already_reported = std::exchange(attempt->end_reported, true);
    if (!already_reported) {
      this->ArmProbe(attempt);
      return;
    }
    this->CancelAttempt(attempt);
    CallResult result =
        MakeErrorResult(Reason::kConnectionLost, "ask for attempt");
    result.outcome =
        outcome == Outcome::kNotRun ? Outcome::kNotRun : Outcome::kUnknown;
    this->OnFailedAttempt(*attempt, std::move(result));
  }

  static CallResult ParseResponse(int status, const http::HeaderList& headers) {
    CallResult result;
    result.status = status;
    ReadOutcomeHeaders(headers, result);
    result.headers = ForwardableHeaders(headers);
    return result;
  }

  /// Returns a sink that passes on the response of the first attempt that
  /// starts to stream and cancels all other attempts.
  std::shared_ptr<const StreamSink> ExclusiveSink(
      const std::shared_ptr<Attempt>& attempt) {
    if (!this->sink) {
      return nullptr;
    }
    auto self = this->shared_from_this();
    auto exclusive = std::make_shared<StreamSink>();
    exclusive->start = [self, attempt](const CallResult& head,
                                       std::size_t length) {
      for (const auto& other : self->attempts) {
        if (other != attempt && !other->ended) {
          self->CancelAttempt(other);
        }
      }
      self->streaming = true;
      self->sink->start(head, length);
    };
    exclusive->write = self->sink->write;
    return exclusive;
  }

  void OnExchangeEnd(const std::shared_ptr<Attempt>& attempt,
                     const PeerAddress& address,
                     http::ExchangeResult exchange,
                     bool streamed) {
    if (attempt->ended || this->finished) {
      return;
    }
    if (exchange.end == http::ExchangeEnd::kComplete) {
      CallResult result = ParseResponse(exchange.status, exchange.headers);
      result.body = std::move(exchange.body);
      result.streamed = streamed;
      this->OnAnswer(attempt, std::move(result));
      return;
    }
    Reason reason = Reason::kConnectionLost;
    if (exchange.end == http::ExchangeEnd::kNotSent) {
      reason = Reason::kConnectFailed;
    } else if (exchange.end == http::ExchangeEnd::kTimeout) {
      reason = Reason::kTimeout;
    }
    CallResult result = MakeErrorResult(reason, "forward to node");
    result.peer = address;
    result.streamed = streamed;
    if (reason != Reason::kConnectFailed) {
      result.outcome = Outcome::kUnknown;
    }
    attempt->ended = true;
    this->environment.pools.OnFailure(this->call.service, attempt->node, reason,
                                      this->environment.clock.Now());
    if (reason == Reason::kConnectFailed) {
      routing::ReclaimUnspent(this->budget, attempt->delegation,
                              attempt->delegation.given);
    } else {
      routing::Abandon(attempt->delegation);
    }
    this->OnFailedAttempt(*attempt, std::move(result));
  }

  void OnAnswer(const std::shared_ptr<Attempt>& attempt, CallResult result) {
    if (attempt->ended || this->finished) {
      return;
    }
    attempt->ended = true;
    const SteadyTime now = this->environment.clock.Now();
    routing::ResponseInfo answer;
    answer.outcome = result.outcome;
    answer.reason = result.reason;
    answer.length = this->Length();
    answer.latency = now - attempt->sent;
    answer.load = result.load;
    this->environment.pools.OnAnswer(this->call.service, attempt->node, answer,
                                     now);
    routing::ReclaimUnspent(this->budget, attempt->delegation,
                            result.unspent_retries);
    if (result.outcome == Outcome::kRan) {
      this->Finish(std::move(result));
      return;
    }
    if (!result.shard_owner.empty()) {
      this->reported_owner = NodeId(result.shard_owner);
      if (once::Deduplicator* deduplicator = this->environment.deduplicator) {
        deduplicator->Refresh(this->call.service);
      }
    }
    this->OnFailedAttempt(*attempt, std::move(result));
  }

  void OnFailedAttempt(const Attempt& attempt, CallResult result) {
    this->may_have_run =
        this->may_have_run || result.outcome == Outcome::kUnknown;
    const bool other_running =
        std::any_of(this->attempts.begin(), this->attempts.end(),
                    [](const auto& other) { return !other->ended; });
    if (other_running) {
      return;
    }
    this->RetryOrFinish(std::move(result), attempt.node);
  }

  void RetryOrFinish(CallResult result, const NodeId& node) {
    if (this->streaming || result.streamed) {
      this->Finish(std::move(result));
      return;
    }
    const SteadyTime now = this->environment.clock.Now();
    const auto delay = routing::RetryDelay(static_cast<int>(this->tried.size()),
                                           this->MinRetryDelay(result.reason),
                                           this->thread.rng());
    routing::AttemptResult failed;
    failed.outcome = this->may_have_run ? Outcome::kUnknown : result.outcome;
    failed.reason = result.reason;
    failed.idempotent = this->Idempotent();
    failed.time_left = this->call.deadline - now - delay;
    if (node.Value().empty() ||
        !this->environment.pools.TakeRetry(this->call.service, node, failed,
                                           this->budget)) {
      this->Finish(std::move(result));
      return;
    }
    this->environment.metrics.CountRetry(this->call.service);
    auto self = this->shared_from_this();
    this->thread.RunAfter(delay, [self] { self->SendAttempt(); });
  }

  /// Lets a key shard finish moving to another node before the retry; 0 in all
  /// other cases.
  milliseconds MinRetryDelay(Reason reason) const {
    const bool moving =
        reason == Reason::kNoAuthority || reason == Reason::kLeaving;
    return moving && !this->Idempotent() && !this->reported_owner
               ? kShardMoveDelay
               : milliseconds(0);
  }

  void ArmHedge() {
    if (this->attempts.size() != 1 || !this->Idempotent()) {
      return;
    }
    const auto now = this->environment.clock.Now();
    const auto after = this->environment.pools.HedgeAfter(
        this->call.service, this->Length(), true, this->call.deadline - now,
        this->budget);
    if (!after) {
      return;
    }
    auto self = this->shared_from_this();
    this->thread.RunAfter(*after, [self] { self->SendHedge(); });
  }

  void SendHedge() {
    if (this->finished || this->attempts.size() != 1 ||
        this->attempts.front()->ended || this->streaming) {
      return;
    }
    const auto choice = this->SelectExcluding(this->tried);
    if (!choice.target ||
        !this->environment.pools.TakeHedge(
            this->call.service, this->attempts.front()->node, this->budget)) {
      return;
    }
    this->environment.metrics.CountRetry(this->call.service);
    this->SendTo(*choice.target);
  }

  void OnDeadline() {
    if (this->finished) {
      return;
    }
    const bool running =
        std::any_of(this->attempts.begin(), this->attempts.end(),
                    [](const auto& attempt) { return !attempt->ended; });
    CallResult result = MakeErrorResult(Reason::kDeadline, "wait for answer");
    if (running) {
      result.outcome = Outcome::kUnknown;
    }
    result.streamed = this->streaming;
    this->Finish(std::move(result));
  }

  void CancelAttempt(const std::shared_ptr<Attempt>& attempt) {
    attempt->ended = true;
    this->environment.pools.OnFailure(this->call.service, attempt->node,
                                      Reason::kCancelled,
                                      this->environment.clock.Now());
    routing::Abandon(attempt->delegation);
    attempt->cancel();
  }

  void CancelAttempts() {
    for (const auto& attempt : this->attempts) {
      if (!attempt->ended) {
        this->CancelAttempt(attempt);
      }
    }
  }

  void Finish(CallResult result) {
    if (this->finished) {
      return;
    }
    this->finished = true;
    // A pending timer would keep this call and its body in memory until the
    // deadline.
    this->deadline_timer->cancel();
    this->CancelAttempts();
    // An earlier attempt may have run although the last one did not.
    if (result.outcome == Outcome::kNotRun && this->may_have_run) {
      result.outcome = Outcome::kUnknown;
    }
    result.unspent_retries = routing::CloseBudget(this->budget);
    // Released here: the callback usually owns the cancel function of this
    // call, which would make a reference cycle.
    std::exchange(this->on_end, nullptr)(std::move(result));
  }

  const ForwardEnvironment& environment;
  TrafficThread& thread;
  Call call;
  std::shared_ptr<const StreamSink> sink;
  CallCallback on_end;
  routing::RetryBudget budget;
  std::shared_ptr<asio::steady_timer> deadline_timer;
  std::vector<std::shared_ptr<Attempt>> attempts;
  std::vector<NodeId> tried;
  /// Owner of the key's shard as reported by a node that refused the call
  /// because it is not the owner.
  std::optional<NodeId> reported_owner;
  bool may_have_run = false;
  bool streaming = false;
  bool finished = false;
};

}  // namespace

CancelCall Forward(const ForwardEnvironment& environment,
                   TrafficThread& thread,
                   Call call,
                   std::shared_ptr<const StreamSink> sink,
                   CallCallback on_end) {
  auto forwarded = std::make_shared<ForwardedCall>(
      environment, thread, std::move(call), std::move(sink), std::move(on_end));
  forwarded->Start();
  return [forwarded] { forwarded->Cancel(); };
}

}  // namespace cassiakeel::node
