#include "serving_endpoint.h"

#include <algorithm>
#include <utility>

#include "cassiakeel/base/hash.h"

namespace cassiakeel::node {
namespace {

using std::chrono::milliseconds;

std::int64_t NanosecondsOf(SteadyTime time) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             time.time_since_epoch())
      .count();
}

// Whether a backend server says that it has not run the call.
bool IsRefusal(const http::HeaderList& headers) {
  const auto* outcome = http::FindHeader(headers, routing::kOutcomeHeader);
  return outcome != nullptr && *outcome == OutcomeName(Outcome::kNotRun);
}

}  // namespace

struct ServingEndpoint::ServedCall {
  TrafficThread* thread = nullptr;
  Call call;
  std::shared_ptr<const StreamSink> sink;
  CallCallback on_end;
  admission::TicketId ticket;
  PeerAddress backend;
  SteadyTime dispatched;
  /// From this time on the backend server must refuse the call, because this
  /// node may no longer own the key's shard.
  SteadyTime expires = SteadyTime::max();
  /// Set if the deduplicator tracks this run and its end must be reported.
  std::optional<once::ShardEpoch> run_epoch;
  http::ExchangeId exchange = 0;
  /// Admission counts the call as running.
  bool started = false;
  /// The attempt was fenced or is a duplicate; its registry entry stays as it
  /// is.
  bool refused_on_arrival = false;
  bool cancelled = false;
  bool ended = false;
};

ServingEndpoint::ServingEndpoint(const Clock& clock,
                                 TrafficThread& timer_thread)
    : clock(clock),
      timer_thread(timer_thread),
      admission(admission::MakeState(admission::Config{}, clock.Now())) {}

void ServingEndpoint::SetDeduplicator(once::Deduplicator* deduplicator) {
  this->deduplicator = deduplicator;
}

CancelCall ServingEndpoint::Serve(TrafficThread& thread,
                                  Call call,
                                  std::shared_ptr<const StreamSink> sink,
                                  CallCallback on_end) {
  auto served = std::make_shared<ServedCall>();
  served->thread = &thread;
  served->call = std::move(call);
  served->sink = std::move(sink);
  served->on_end = std::move(on_end);
  Arrival arrival = Arrival::kNew;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->active_calls;
    arrival = RegisterAttempt(this->attempts, *served->call.context.attempt,
                              this->clock.Now());
  }
  if (arrival != Arrival::kNew) {
    served->refused_on_arrival = true;
    CallResult refusal = MakeErrorResult(Reason::kCancelled, "receive attempt");
    if (arrival == Arrival::kDuplicate) {
      refusal.outcome = Outcome::kUnknown;
    }
    this->Complete(served, std::move(refusal));
  } else if (this->Deduplicate(served)) {
    this->Admit(served);
  }
  return [this, served] { this->Cancel(served); };
}

once::Request ServingEndpoint::DeduplicationRequest(const Call& call) const {
  once::Request request;
  request.key = call.context.key.value_or(IdempotencyKey());
  request.attempt = call.context.attempt.value_or(AttemptId());
  request.fingerprint = StableHash(call.method + " " + call.path + call.query +
                                   "\n" + (call.body ? *call.body : ""));
  return request;
}

bool ServingEndpoint::Deduplicate(const ServedCallPtr& served) {
  once::Deduplicator* deduplicator = this->deduplicator;
  const auto* kind = served->call.kind;
  if (kind != nullptr && kind->idempotent) {
    return true;
  }
  if (deduplicator == nullptr) {
    this->Complete(
        served, MakeErrorResult(Reason::kNoAuthority, "check idempotency key"));
    return false;
  }
  const auto on_finished = [this, served](const once::AttemptResult& finished) {
    CallResult result;
    result.outcome = finished.outcome;
    result.reason = finished.reason;
    result.status = HttpStatusFor(finished.reason);
    if (finished.response) {
      result.status = finished.response->status;
      result.headers = finished.response->headers;
      result.body = finished.response->body;
    }
    served->thread->Post([this, served, result = std::move(result)]() mutable {
      this->Complete(served, std::move(result));
    });
  };
  const auto decision = deduplicator->Begin(
      this->DeduplicationRequest(served->call), on_finished);
  switch (decision.action) {
    case once::Action::kRun:
      served->expires = decision.expires;
      served->run_epoch = decision.epoch;
      return true;
    case once::Action::kJoin:
      return false;
    case once::Action::kReplay:
      on_finished(
          once::AttemptResult{Outcome::kRan, Reason::kNone, decision.response});
      return false;
    case once::Action::kReject:
      break;
  }
  CallResult result = MakeErrorResult(decision.reason, "check idempotency key");
  result.outcome = decision.outcome;
  const auto& key = served->call.context.key;
  const auto owner =
      key ? deduplicator->OwnerOf(served->call.service, *key) : std::nullopt;
  if (owner) {
    result.shard_owner = owner->node.Value();
  }
  this->Complete(served, std::move(result));
  return false;
}

void ServingEndpoint::Admit(const ServedCallPtr& served) {
  const Call& call = served->call;
  admission::Work work;
  work.shed_rank = StableUnit(call.context.request.Value());
  work.request_class = call.request_class;
  work.deadline = call.deadline;
  if (call.kind != nullptr) {
    work.length = call.kind->length;
    work.max_wait = call.kind->max_wait;
    work.kind = StableHash(call.kind->kind.Value());
    work.kind_share = call.kind->slot_share;
  }
  admission::Decision decision;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->unavailable || !this->backend ||
        this->backend->service != call.service) {
      decision.reason = this->unavailable && this->backend
                            ? Reason::kLeaving
                            : Reason::kNoEndpoint;
    } else {
      work.ticket = admission::TicketId(this->next_ticket++);
      served->ticket = work.ticket;
      served->backend = this->backend->address;
      decision = admission::Offer(this->admission, work, this->clock.Now());
      if (decision.verdict == admission::Verdict::kQueue) {
        this->waiting[work.ticket] = served;
      }
      served->started = decision.verdict == admission::Verdict::kStart;
      this->ArmTimer();
    }
  }
  if (decision.verdict == admission::Verdict::kStart) {
    this->Dispatch(served);
  } else if (decision.verdict == admission::Verdict::kRefuse) {
    CallResult result = MakeErrorResult(decision.reason, "admit");
    result.retry_after = decision.retry_after;
    this->Complete(served, std::move(result));
  }
}

void ServingEndpoint::ApplyDecisions(
    const std::vector<admission::Decision>& decisions) {
  for (const auto& decision : decisions) {
    auto node = this->waiting.extract(decision.ticket);
    if (node.empty()) {
      continue;
    }
    const ServedCallPtr served = std::move(node.mapped());
    if (decision.verdict == admission::Verdict::kStart) {
      served->started = true;
      served->thread->Post([this, served] { this->Dispatch(served); });
    } else {
      CallResult result = MakeErrorResult(decision.reason, "wait for a slot");
      result.retry_after = decision.retry_after;
      served->thread->Post(
          [this, served, result = std::move(result)]() mutable {
            this->Complete(served, std::move(result));
          });
    }
  }
  this->ArmTimer();
}

void ServingEndpoint::ArmTimer() {
  const auto next = admission::NextEvent(this->admission);
  if (!next || (this->timer_due && *this->timer_due <= *next)) {
    return;
  }
  this->timer_due = next;
  const auto delay =
      std::max(std::chrono::nanoseconds(0),
               std::chrono::nanoseconds(*next - this->clock.Now()));
  const SteadyTime due = *next;
  this->timer_thread.Post([this, delay, due] {
    this->timer_thread.RunAfter(delay, [this, due] {
      const std::lock_guard<std::mutex> lock(this->mutex);
      if (this->timer_due == due) {
        this->timer_due.reset();
      }
      this->ApplyDecisions(
          admission::Advance(this->admission, this->clock.Now()));
    });
  });
}

http::ClientRequest ServingEndpoint::BackendRequest(
    const ServedCall& served) const {
  const Call& call = served.call;
  http::ClientRequest request;
  request.method = call.method;
  request.peer = served.backend;
  request.target = call.path + call.query;
  request.body = call.body;
  request.timeout = TimeLeft(call.deadline, served.dispatched);
  request.headers = call.headers;
  routing::RequestContext context = call.context;
  context.request_class = call.request_class;
  context.time_left = request.timeout;
  context.retries = call.retries;
  for (auto& field : routing::FormatContext(context, served.thread->rng())) {
    request.headers.push_back(std::move(field));
  }
  request.headers.emplace_back(
      routing::kExpiresHeader,
      std::to_string(NanosecondsOf(std::min(call.deadline, served.expires))));
  // A server that sends its refusal once more can't reach the next call.
  request.keeps_connection = [](const http::HeaderList& headers) {
    return !IsRefusal(headers);
  };
  return request;
}

void ServingEndpoint::Dispatch(const ServedCallPtr& served) {
  served->dispatched = this->clock.Now();
  if (served->cancelled) {
    this->Complete(served,
                   MakeErrorResult(Reason::kCancelled, "wait for a slot"));
    return;
  }
  if (served->dispatched >= std::min(served->call.deadline, served->expires)) {
    this->Complete(served,
                   MakeErrorResult(Reason::kDeadline, "wait for a slot"));
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    routing::OpenEntry(this->budgets, *served->call.context.attempt,
                       served->call.retries, served->call.deadline);
  }
  const bool is_long = served->call.kind != nullptr &&
                       served->call.kind->length == WorkLength::kLong;
  served->exchange = StartExchange(
      *served->thread, this->BackendRequest(*served),
      is_long ? served->sink : nullptr,
      [this, served](int status, const http::HeaderList& headers) {
        return this->ResultFromResponse(*served, status, headers);
      },
      [this, served](http::ExchangeResult result, bool streamed) {
        this->OnDispatchEnd(served, std::move(result), streamed);
      });
}

CallResult ServingEndpoint::ResultFromResponse(
    const ServedCall&,
    int status,
    const http::HeaderList& headers) const {
  CallResult result;
  result.outcome = Outcome::kRan;
  result.status = status;
  result.headers = ForwardableHeaders(headers);
  if (IsRefusal(headers)) {
    result.outcome = Outcome::kNotRun;
    result.reason = Reason::kServerRefused;
  }
  const auto* outcome = http::FindHeader(headers, routing::kOutcomeHeader);
  if (outcome != nullptr && *outcome == OutcomeName(Outcome::kUnknown)) {
    // The backend server does not know, for example because a call that it made
    // itself has an unknown outcome.
    result.outcome = Outcome::kUnknown;
  }
  result.load = this->CurrentLoad();
  return result;
}

void ServingEndpoint::OnDispatchEnd(const ServedCallPtr& served,
                                    http::ExchangeResult exchange,
                                    bool streamed) {
  CallResult result;
  switch (exchange.end) {
    case http::ExchangeEnd::kComplete:
      result =
          this->ResultFromResponse(*served, exchange.status, exchange.headers);
      result.body = std::move(exchange.body);
      break;
    case http::ExchangeEnd::kNotSent:
      result =
          MakeErrorResult(Reason::kConnectFailed, "connect to backend server");
      break;
    case http::ExchangeEnd::kTimeout:
      result = MakeErrorResult(Reason::kTimeout, "wait for backend server");
      result.outcome = Outcome::kUnknown;
      break;
    case http::ExchangeEnd::kNoResponse:
    case http::ExchangeEnd::kCancelled:
      result = MakeErrorResult(exchange.end == http::ExchangeEnd::kNoResponse
                                   ? Reason::kConnectionLost
                                   : Reason::kCancelled,
                               "wait for backend server");
      result.outcome = Outcome::kUnknown;
      break;
  }
  if (result.outcome != Outcome::kRan) {
    result.peer = served->backend;
  }
  result.streamed = streamed;
  this->Complete(served, std::move(result));
}

void ServingEndpoint::Complete(const ServedCallPtr& served, CallResult result) {
  if (served->ended) {
    return;
  }
  served->ended = true;
  const SteadyTime now = this->clock.Now();
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    --this->active_calls;
    if (!served->refused_on_arrival) {
      RecordAttemptEnd(this->attempts, *served->call.context.attempt,
                       result.outcome);
    }
    if (served->started) {
      admission::Completion completion;
      completion.service_time = now - served->dispatched;
      completion.counts_for_limit =
          result.outcome == Outcome::kRan || result.reason == Reason::kTimeout;
      completion.refused_by_server = result.reason == Reason::kServerRefused;
      this->ApplyDecisions(
          admission::Finish(this->admission, served->ticket, completion, now));
      result.unspent_retries =
          routing::CloseEntry(this->budgets, *served->call.context.attempt);
    } else {
      result.unspent_retries = served->call.retries;
    }
  }
  if (result.reason == Reason::kConnectFailed) {
    // Nothing listens on the address. The next heartbeat makes the backend
    // server available again.
    this->MarkUnavailable();
  }
  if (!result.load) {
    result.load = this->CurrentLoad();
  }
  once::Deduplicator* deduplicator = this->deduplicator;
  if (served->run_epoch && deduplicator != nullptr) {
    once::AttemptResult finished;
    finished.outcome = result.outcome;
    finished.reason = result.reason;
    if (result.outcome == Outcome::kRan && !result.streamed) {
      auto stored = std::make_shared<once::StoredResponse>();
      stored->status = result.status;
      stored->headers = result.headers;
      stored->body = result.body;
      finished.response = std::move(stored);
    }
    deduplicator->Complete(this->DeduplicationRequest(served->call),
                           *served->run_epoch, finished);
  }
  // Released because the callbacks may own the cancel function of this call,
  // which would make a reference cycle.
  served->sink.reset();
  const CallCallback on_end = std::exchange(served->on_end, nullptr);
  if (!served->cancelled) {
    on_end(std::move(result));
  }
}

void ServingEndpoint::Cancel(const ServedCallPtr& served) {
  if (served->ended || served->cancelled) {
    return;
  }
  served->cancelled = true;
  if (served->exchange != 0) {
    // Closing the connection asks the backend server to stop. A non-idempotent
    // call continues, so that its outcome becomes known.
    if (!served->run_epoch) {
      served->thread->client().Cancel(served->exchange);
    }
    return;
  }
  bool was_waiting = false;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    was_waiting = this->waiting.erase(served->ticket) > 0;
    if (was_waiting) {
      this->ApplyDecisions(admission::Cancel(this->admission, served->ticket,
                                             this->clock.Now()));
    }
  }
  if (was_waiting) {
    this->Complete(served,
                   MakeErrorResult(Reason::kCancelled, "wait for a slot"));
  }
}

routing::Delegation ServingEndpoint::TakeRetryBudget(const AttemptId& attempt) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  auto* budget = routing::FindEntry(this->budgets, attempt);
  return budget != nullptr ? routing::Delegate(*budget) : routing::Delegation{};
}

void ServingEndpoint::ReturnRetryBudget(const AttemptId& attempt,
                                        routing::Delegation delegation,
                                        int unspent) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (auto* budget = routing::FindEntry(this->budgets, attempt)) {
    routing::ReclaimUnspent(*budget, delegation, unspent);
  }
}

}  // namespace cassiakeel::node
