#include "forwarder.h"

#include <algorithm>
#include <span>
#include <utility>

namespace cassiakeel::node {
namespace {

using std::chrono::milliseconds;

constexpr int kAttemptIdBytes = 8;
// An attempt without an answer for so long is asked for over another
// connection, because its own may have gone silent.
constexpr milliseconds kProbeInterval{500};
constexpr milliseconds kShardMoveDelay{300};
// Time for the serving node to report its own timeout before this node gives
// the attempt up.
constexpr milliseconds kReportAllowance{20};

/// One attempt at one endpoint.
struct Attempt {
  NodeId node;
  AttemptId id;
  SteadyTime sent;
  routing::Delegation delegation;
  CancelCall cancel;
  bool ended = false;
  /// Its end is known at the serving node but did not arrive here.
  bool silent = false;
};

class ForwardedCall : public std::enable_shared_from_this<ForwardedCall> {
 public:
  ForwardedCall(const ForwardEnvironment& environment,
                TrafficThread& thread,
                Call call,
                std::shared_ptr<const StreamSink> sink,
                CallEnd on_end)
      : environment(environment),
        thread(thread),
        call(std::move(call)),
        sink(std::move(sink)),
        on_end(std::move(on_end)),
        budget(routing::OpenBudget(this->call.retries)) {}

  void Start() {
    const auto left = this->call.deadline - this->environment.clock.Now();
    auto self = this->shared_from_this();
    this->deadline_timer = this->thread.After(left + kReportAllowance,
                                              [self] { self->OnDeadline(); });
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

  /// The owner of the key's shard for work that must not run twice, otherwise
  /// any endpoint.
  TargetChoice ChooseTarget() {
    once::Deduplicator* deduplicator = this->environment.deduplicator;
    if (!this->Idempotent() && this->stated_owner) {
      const NodeId owner = *std::exchange(this->stated_owner, std::nullopt);
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
    auto choice = this->SelectWithout(this->tried);
    if (!choice.target && choice.reason == Reason::kNoEndpoint) {
      // All endpoints were tried; a retry may use one of them again.
      choice = this->SelectWithout({});
    }
    return choice;
  }

  TargetChoice SelectWithout(std::span<const NodeId> excluded) {
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
      CallResult refusal = Refuse(choice.reason, "select endpoint");
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

  Call AttemptCall(const Attempt& attempt) const {
    Call copy = this->call;
    copy.retries = attempt.delegation.given;
    copy.context.attempt = attempt.id;
    return copy;
  }

  void SendLocal(const std::shared_ptr<Attempt>& attempt) {
    auto self = this->shared_from_this();
    attempt->cancel = this->environment.serving.Serve(
        this->thread, this->AttemptCall(*attempt), this->GuardedSink(attempt),
        [self, attempt](CallResult result) {
          self->OnAnswer(attempt, std::move(result));
        });
  }

  void SendRemote(const std::shared_ptr<Attempt>& attempt,
                  const PeerAddress& address) {
    const Call copy = this->AttemptCall(*attempt);
    http::ClientRequest request;
    request.method = copy.method;
    request.peer = address;
    request.target =
        "/cassiakeel/v1/call/" + copy.service.Value() + copy.path + copy.query;
    request.body = copy.body;
    request.timeout = TimeLeft(copy.deadline, attempt->sent) + kReportAllowance;
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
        this->Length() == WorkLength::kLong ? this->GuardedSink(attempt)
                                            : nullptr,
        [](int status, const http::HeaderList& headers) {
          return ReadAnswer(status, headers);
        },
        [self, attempt, address](http::ExchangeResult result, bool streamed) {
          self->OnExchangeEnd(attempt, address, std::move(result), streamed);
        });
    // Without a reference to this call, which holds the attempt.
    attempt->cancel = [&thread = this->thread, id] {
      thread.client().Cancel(id);
    };
    this->ArmProbe(attempt);
  }

  void ArmProbe(const std::shared_ptr<Attempt>& attempt) {
    auto self = this->shared_from_this();
    this->thread.After(kProbeInterval, [self, attempt] {
      if (self->finished || attempt->ended || self->streaming) {
        return;
      }
      self->environment.ask_attempt(
          attempt->node, attempt->id, [self, attempt](Outcome outcome) {
            self->thread.Post(
                [self, attempt, outcome] { self->OnProbe(attempt, outcome); });
          });
    });
  }

  /// The serving node told the state of an attempt that has no answer here.
  void OnProbe(const std::shared_ptr<Attempt>& attempt, Outcome outcome) {
    if (this->finished || attempt->ended || this->streaming) {
      return;
    }
    if (outcome == Outcome::kUnknown) {
      this->ArmProbe(attempt);
      return;
    }
    // It ended there, or never arrived, so its connection carries nothing more.
    const bool repeated = std::exchange(attempt->silent, true);
    if (!repeated) {
      this->ArmProbe(attempt);
      return;
    }
    this->Withdraw(attempt);
    CallResult result = Refuse(Reason::kConnectionLost, "ask for attempt");
    result.outcome =
        outcome == Outcome::kNotRun ? Outcome::kNotRun : Outcome::kUnknown;
    this->OnFailedAttempt(*attempt, std::move(result));
  }

  static CallResult ReadAnswer(int status, const http::HeaderList& headers) {
    CallResult result;
    result.status = status;
    ReadOutcomeHeaders(headers, result);
    result.headers = ForwardableHeaders(headers);
    return result;
  }

  /// Lets the first attempt that starts to stream pass and withdraws others.
  std::shared_ptr<const StreamSink> GuardedSink(
      const std::shared_ptr<Attempt>& attempt) {
    if (!this->sink) {
      return nullptr;
    }
    auto self = this->shared_from_this();
    auto guarded = std::make_shared<StreamSink>();
    guarded->start = [self, attempt](const CallResult& head,
                                     std::size_t length) {
      for (const auto& other : self->attempts) {
        if (other != attempt && !other->ended) {
          self->Withdraw(other);
        }
      }
      self->streaming = true;
      self->sink->start(head, length);
    };
    guarded->write = self->sink->write;
    return guarded;
  }

  void OnExchangeEnd(const std::shared_ptr<Attempt>& attempt,
                     const PeerAddress& address,
                     http::ExchangeResult exchange,
                     bool streamed) {
    if (attempt->ended || this->finished) {
      return;
    }
    if (exchange.end == http::ExchangeEnd::kComplete) {
      CallResult result = ReadAnswer(exchange.status, exchange.headers);
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
    CallResult result = Refuse(reason, "forward to node");
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
    routing::ReclaimUnspent(this->budget, attempt->delegation, result.unspent);
    if (result.outcome == Outcome::kRan) {
      this->Finish(std::move(result));
      return;
    }
    if (!result.owner.empty()) {
      this->stated_owner = NodeId(result.owner);
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
                                           this->LeastDelay(result.reason),
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
    this->thread.After(delay, [self] { self->SendAttempt(); });
  }

  /// A key shard that moves to another node is served again after this time.
  milliseconds LeastDelay(Reason reason) const {
    const bool moving =
        reason == Reason::kNoAuthority || reason == Reason::kLeaving;
    return moving && !this->Idempotent() && !this->stated_owner
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
    this->thread.After(*after, [self] { self->SendHedge(); });
  }

  void SendHedge() {
    if (this->finished || this->attempts.size() != 1 ||
        this->attempts.front()->ended || this->streaming) {
      return;
    }
    const auto choice = this->SelectWithout(this->tried);
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
    CallResult result = Refuse(Reason::kDeadline, "wait for answer");
    if (running) {
      result.outcome = Outcome::kUnknown;
    }
    result.streamed = this->streaming;
    this->Finish(std::move(result));
  }

  void Withdraw(const std::shared_ptr<Attempt>& attempt) {
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
        this->Withdraw(attempt);
      }
    }
  }

  void Finish(CallResult result) {
    if (this->finished) {
      return;
    }
    this->finished = true;
    // The timer would keep this call and its body until the deadline.
    this->deadline_timer->cancel();
    this->CancelAttempts();
    // An earlier attempt may have run although the last one did not.
    if (result.outcome == Outcome::kNotRun && this->may_have_run) {
      result.outcome = Outcome::kUnknown;
    }
    result.unspent = routing::CloseBudget(this->budget);
    // The caller's callback usually holds the means to cancel this call.
    std::exchange(this->on_end, nullptr)(std::move(result));
  }

  const ForwardEnvironment& environment;
  TrafficThread& thread;
  Call call;
  std::shared_ptr<const StreamSink> sink;
  CallEnd on_end;
  routing::RetryBudget budget;
  std::shared_ptr<asio::steady_timer> deadline_timer;
  std::vector<std::shared_ptr<Attempt>> attempts;
  std::vector<NodeId> tried;
  /// Owner of the key's shard as named by a node that is not.
  std::optional<NodeId> stated_owner;
  bool may_have_run = false;
  bool streaming = false;
  bool finished = false;
};

}  // namespace

CancelCall Forward(const ForwardEnvironment& environment,
                   TrafficThread& thread,
                   Call call,
                   std::shared_ptr<const StreamSink> sink,
                   CallEnd on_end) {
  auto forwarded = std::make_shared<ForwardedCall>(
      environment, thread, std::move(call), std::move(sink), std::move(on_end));
  forwarded->Start();
  return [forwarded] { forwarded->Cancel(); };
}

}  // namespace cassiakeel::node
