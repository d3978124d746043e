#include "dispatched_call.h"

#include <algorithm>

#include "cassiakeel/base/hash.h"
#include "header_values.h"
#include "peer_result.h"

namespace cassiakeel::mesh::pvt {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// Minimum delay before a retry of a request that was shed at entry; lets a
// short peak in demand pass.
constexpr milliseconds kEntryRetryAfter{300};
// Delay before a retry of a request that a stopping node refused; another node
// takes it at once.
constexpr milliseconds kStoppingRetryAfter{200};
// Timeout of requests without the timeout header field.
constexpr milliseconds kDefaultTimeout{15000};
// At the deadline, a response from another node may still be in transit.
constexpr milliseconds kResponseMargin{80};
// Number of times that a refused request is sent to another node before the
// refusal is returned to the caller.
constexpr int kMaxReroutes = 2;
// Maximum number of times that one request arrives at backend servers
// if the servers refuse it; includes the refused attempts.
constexpr int kMaxArrivals = 4;
// Minimum share of the request's total time that must be left for a retry. With
// less time a retry rarely succeeds.
constexpr double kMinTimeShareForRetry = 0.2;

}  // namespace

Dispatcher::Call::Call(Dispatcher& owner,
                       std::shared_ptr<h1::Exchange> exchange,
                       std::shared_ptr<const TrafficPolicy> policy,
                       const Route& route,
                       std::optional<tenancy::Caller> caller,
                       std::optional<milliseconds> caller_timeout)
    : owner(owner),
      exchange(std::move(exchange)),
      policy(std::move(policy)),
      route(route),
      received(this->exchange->received()),
      caller_deadline(this->received +
                      caller_timeout.value_or(kDefaultTimeout)),
      deadline(this->caller_deadline),
      caller(std::move(caller)),
      kind(StableHash(route.name.Value())),
      timer(owner.timers) {
  if (route.timeout.count() > 0) {
    this->deadline = std::min(this->deadline, this->received + route.timeout);
  }
  auto& headers = this->exchange->request().headers;
  if (const auto* id =
          h1::FindHeader(headers, owner.settings.fields.attempt_id)) {
    this->attempt_id = *id;
  }
  RemoveHopByHopFields(headers, owner.settings.fields);
}

void Dispatcher::Call::Run(std::optional<SteadyTime> latest_end) {
  this->parent =
      this->owner.gate.FindParent(this->attempt_id, this->caller_deadline);
  this->priority =
      this->parent ? this->parent->priority
                   : tenancy::EffectivePriority(
                         this->caller ? this->caller->priority : std::nullopt,
                         route.priority);
  this->tree_rank = this->TreeRank();
  if (this->owner.timers->Now() >= this->deadline) {
    this->FinishWithError(Reason::kDeadline);
    return;
  }
  if (latest_end && this->deadline > *latest_end) {
    this->retry_after = kStoppingRetryAfter;
    this->FinishWithError(Reason::kLeaving);
    return;
  }
  if (!this->parent && this->ShedAtEntry()) {
    return;
  }
  this->service = DrawService(this->route, this->owner.rng);
  this->exchange->OnPeerClosed(
      [self = this->shared_from_this()] { self->OnCallerDisconnected(); });
  this->timer.Set(this->deadline + kResponseMargin,
                  [self = this->shared_from_this()] { self->OnDeadline(); });
  this->Attempt();
}

double Dispatcher::Call::TreeRank() const {
  if (this->parent) {
    return this->parent->tree_rank;
  }
  const double hash = StableUnit(
      RootId(this->attempt_id, this->owner.settings.fields.id_separator));
  return this->caller
             ? this->owner.allotments->RankOf(this->caller->tenant, hash)
             : hash;
}

bool Dispatcher::Call::ShedAtEntry() {
  const auto now = this->owner.timers->Now();
  const double level =
      this->owner.entry_shed_levels.LevelFor(this->route.name.Value(), now);
  if (this->ShedOrderPosition() >= level) {
    return false;
  }
  this->retry_after = kEntryRetryAfter;
  this->FinishWithError(Reason::kOverload);
  return true;
}

bool Dispatcher::Call::KeyIsWithdrawn() const {
  return this->caller &&
         !tenancy::IsHeld(this->owner.policy->tenants(), *this->caller);
}

void Dispatcher::Call::Attempt() {
  if (this->KeyIsWithdrawn()) {
    this->FinishWithError(Reason::kUnauthenticated);
    return;
  }
  const auto now = this->owner.timers->Now();
  auto& pool = this->owner.pools.PoolFor(this->service);
  routing::SelectionRequest request{RequestClass::kCritical, WorkLength::kShort,
                                    this->kind, !this->route.idempotent,
                                    this->tried};
  request.target_latency = this->route.target_latency;
  const auto selection =
      this->owner.pools.Select(this->service, request, now, this->owner.rng);
  if (!selection.endpoint) {
    this->FinishWithError(selection.reason);
    return;
  }
  this->tried.push_back(pool.endpoints[*selection.endpoint].node);
  this->SendToEndpoint(pool, *selection.endpoint);
}

void Dispatcher::Call::RetrySameServer() {
  auto& pool = this->owner.pools.PoolFor(this->service);
  const auto found = pool.index.find(this->node);
  if (found == pool.index.end()) {
    this->FinishWithError(Reason::kServerRefused);
    return;
  }
  this->SendToEndpoint(pool, found->second);
}

void Dispatcher::Call::SendToEndpoint(routing::Pool& pool, std::size_t index) {
  const auto& endpoint = pool.endpoints[index];
  const auto now = this->owner.timers->Now();
  this->node = endpoint.node;
  this->sent_at = now;
  routing::OnDispatch(pool, this->node, now);
  if (this->owner.settings.zone_crossing_cost.count() > 0) {
    auto& counts = this->owner.statistics.zone_calls[this->service];
    ++(endpoint.zone == this->owner.settings.zone ? counts.stayed
                                                  : counts.left);
  }
  CallInfo info{this->service,
                this->owner.settings.service,
                this->route.name.Value(),
                this->priority,
                this->tree_rank,
                this->route.idempotent,
                this->route.target_latency,
                this->arrivals > 0 || this->ParentIsRetry(),
                this->owner.versions};
  if (this->node == this->owner.settings.node) {
    this->SendLocally(std::move(info));
  } else {
    this->SendToNode(endpoint.address, info);
  }
}

void Dispatcher::Call::SendLocally(CallInfo info) {
  ServeRequest serve{std::move(info), this->exchange->request(),
                     this->deadline};
  const auto attempt_number = ++this->attempts;
  const auto id = this->owner.gate.Submit(
      std::move(serve),
      [self = this->shared_from_this(), attempt_number](ServeResult result) {
        self->OnResult(attempt_number, std::move(result));
      });
  if (this->attempts == attempt_number && !this->done) {
    this->local_call = id;
  }
}

void Dispatcher::Call::SendToNode(const PeerAddress& address,
                                  const CallInfo& info) {
  const auto left = std::chrono::duration_cast<milliseconds>(
      this->deadline - this->owner.timers->Now());
  h1::Fetch fetch;
  fetch.peer = address;
  fetch.request = this->exchange->request();
  fetch.request.headers.emplace_back(kCallField, FormatCall(info));
  fetch.request.headers.emplace_back(
      this->owner.settings.fields.timeout_ms,
      std::to_string(std::max<std::int64_t>(1, left.count())));
  fetch.deadline = this->deadline + kResponseMargin;
  fetch.echo_field = this->owner.settings.fields.attempt_id;
  fetch.echo_value = this->attempt_id;
  const auto attempt_number = ++this->attempts;
  this->remote_fetch = this->owner.client->Start(
      std::move(fetch), [self = this->shared_from_this(),
                         attempt_number](h1::FetchResult result) {
        self->remote_fetch.reset();
        self->OnResult(attempt_number, DecodePeerResult(std::move(result)));
      });
}

void Dispatcher::Call::OnResult(int attempt_number, ServeResult result) {
  if (this->done || attempt_number != this->attempts) {
    return;
  }
  this->local_call.reset();
  this->RecordResult(result);
  if (result.outcome == Outcome::kRan) {
    this->OnResponse(std::move(result));
  } else if (result.outcome == Outcome::kNotRun && !result.reached_backend) {
    this->OnRefused(result);
  } else {
    this->OnFailure(result);
  }
}

void Dispatcher::Call::RecordResult(const ServeResult& result) {
  const auto now = this->owner.timers->Now();
  auto& pool = this->owner.pools.PoolFor(this->service);
  if (result.reached_backend && this->arrivals++ == 0) {
    this->RecordFirstArrival(now);
  }
  // Without a response there is no observed level either.
  const bool failed = result.reason == Reason::kConnectFailed ||
                      result.reason == Reason::kConnectionLost ||
                      result.reason == Reason::kTimeout;
  if (this->parent) {
    this->owner.gate.RecordChildShedLevel(this->parent->id, result.shed_level);
  } else if (!failed) {
    this->owner.entry_shed_levels.Record(this->route.name.Value(),
                                         result.shed_level, this->node, now);
  }
  if (this->owner.on_peer_versions) {
    this->owner.on_peer_versions(result.sender);
  }
  if (result.needs_state && this->owner.on_state_request) {
    const auto known = pool.index.find(this->node);
    if (known != pool.index.end()) {
      this->owner.on_state_request(pool.endpoints[known->second].address);
    }
  }
  if (failed) {
    routing::OnFailure(pool, this->node, result.reason, now);
    return;
  }
  routing::ResponseInfo answer;
  answer.outcome = result.outcome;
  answer.reason = result.reason;
  answer.kind = this->kind;
  answer.latency = now - this->sent_at;
  answer.typical_service_time = result.typical_service_time;
  answer.load = result.load;
  answer.server_failed =
      result.reason == Reason::kServerRefused ||
      (result.outcome == Outcome::kRan && result.response.status >= 500 &&
       !result.downstream_failed);
  routing::OnResponse(pool, this->node, answer, now);
}

bool Dispatcher::Call::ParentIsRetry() const {
  return this->parent && this->parent->is_retry;
}

void Dispatcher::Call::RecordFirstArrival(SteadyTime now) {
  if (this->ParentIsRetry()) {
    this->owner.quota.RecordInheritedRetry(this->service, now);
  } else {
    this->owner.quota.RecordFirstAttempt(this->service, now);
  }
}

double Dispatcher::Call::ShedOrderPosition() const {
  return admission::ShedPosition(ClassOfPriority(this->priority),
                                 this->tree_rank);
}

void Dispatcher::Call::OnResponse(ServeResult result) {
  this->may_have_run = true;
  const bool server_error = result.response.status >= 500;
  if (server_error && !result.downstream_failed &&
      this->TakeRetry(this->route.max_attempts)) {
    this->fallback_response = std::move(result.response);
    this->Attempt();
    return;
  }
  ++this->owner.statistics.answered;
  this->Respond(std::move(result.response));
}

void Dispatcher::Call::OnRefused(const ServeResult& result) {
  const auto now = this->owner.timers->Now();
  this->retry_after = std::max(this->retry_after, result.retry_after);
  if (result.reason != Reason::kDeadline && this->reroutes < kMaxReroutes &&
      this->arrivals < this->route.max_attempts && now < this->deadline) {
    ++this->reroutes;
    ++this->owner.statistics.reroutes;
    this->Attempt();
    return;
  }
  this->FinishWithError(result.reason);
}

void Dispatcher::Call::OnFailure(const ServeResult& result) {
  if (result.outcome != Outcome::kNotRun) {
    this->may_have_run = true;
  }
  const bool may_use_other_server = this->arrivals < this->route.max_attempts;
  const int max_arrivals =
      result.reason == Reason::kServerRefused
          ? std::max(kMaxArrivals, this->route.max_attempts)
          : this->route.max_attempts;
  if (this->TakeRetry(max_arrivals)) {
    if (may_use_other_server) {
      this->Attempt();
    } else {
      this->RetrySameServer();
    }
    return;
  }
  this->FinishWithError(result.reason);
}

bool Dispatcher::Call::TakeRetry(int max_arrivals) {
  if (this->may_have_run && !this->route.idempotent) {
    return false;
  }
  if (this->arrivals >= max_arrivals) {
    return false;
  }
  const auto now = this->owner.timers->Now();
  const auto total_time = this->deadline - this->received;
  if (this->deadline - now < std::chrono::duration_cast<nanoseconds>(
                                 total_time * kMinTimeShareForRetry)) {
    return false;
  }
  if (!this->owner.quota.TakeRetry(this->service, this->ShedOrderPosition(),
                                   now)) {
    ++this->owner.statistics.retries_denied;
    return false;
  }
  ++this->owner.statistics.retries;
  if (this->owner.log.TakeToken()) {
    this->owner.log.Write("request_repeated",
                          JsonString("attempt", this->attempt_id) + "," +
                              JsonString("route", this->route.name.Value()) +
                              "," +
                              JsonString("failed_at", this->node.Value()) +
                              "," + JsonNumber("arrivals", this->arrivals));
  }
  return true;
}

void Dispatcher::Call::OnDeadline() {
  if (this->done) {
    return;
  }
  this->may_have_run = this->may_have_run || this->remote_fetch.has_value() ||
                       this->local_call.has_value();
  this->CancelAttempt();
  this->FinishWithError(Reason::kTimeout);
}

void Dispatcher::Call::OnCallerDisconnected() {
  ++this->owner.statistics.caller_disconnects;
  this->CancelAttempt();
  this->Finish();
}

void Dispatcher::Call::CancelAttempt() {
  if (this->remote_fetch) {
    this->owner.client->Cancel(*this->remote_fetch);
  } else if (this->local_call) {
    this->owner.gate.Withdraw(*this->local_call);
  } else {
    return;
  }
  this->remote_fetch.reset();
  this->local_call.reset();
  routing::OnFailure(this->owner.pools.PoolFor(this->service), this->node,
                     Reason::kCancelled, this->owner.timers->Now());
}

void Dispatcher::Call::FinishWithError(Reason reason) {
  CountReason(this->owner.statistics.failures, reason);
  const auto now = this->owner.timers->Now();
  this->LogFailure(reason, now);
  if (this->fallback_response) {
    this->Respond(std::move(*this->fallback_response));
    return;
  }
  h1::Response response;
  if (this->may_have_run) {
    response.status = reason == Reason::kTimeout ? 504 : 502;
  } else if (reason == Reason::kUnauthenticated) {
    response = {401, {{"WWW-Authenticate", "Bearer"}}, {}};
  } else {
    response.status = 503;
    const auto left =
        std::chrono::duration_cast<milliseconds>(this->caller_deadline - now);
    const auto wait = std::clamp(this->retry_after, milliseconds(20),
                                 std::max(milliseconds(20), left / 3));
    response.headers.emplace_back("Retry-After", FormatSeconds(wait));
  }
  this->Respond(std::move(response));
}

void Dispatcher::Call::LogFailure(Reason reason, SteadyTime now) {
  if (!this->owner.log.TakeToken()) {
    return;
  }
  const double level =
      this->owner.entry_shed_levels.LevelFor(this->route.name.Value(), now);
  this->owner.log.Write(
      "request_failed",
      JsonString("attempt", this->attempt_id) + "," +
          JsonString("route", this->route.name.Value()) + "," +
          JsonString("service", this->service.Value()) + "," +
          JsonString("node", this->node.Value()) + "," +
          JsonString("reason", ReasonName(reason)) + "," +
          JsonNumber("ran", static_cast<int>(this->may_have_run)) + "," +
          JsonNumber("called", static_cast<int>(this->parent.has_value())) +
          "," + JsonNumber("reroutes", this->reroutes) + "," +
          JsonNumber("arrivals", this->arrivals) + "," +
          JsonNumber("rank_permille", Permille(this->tree_rank)) + "," +
          JsonNumber("level_permille", Permille(level)) + "," +
          JsonString("level_from",
                     level > 0 ? this->owner.entry_shed_levels
                                     .LastRaisedBy(this->route.name.Value())
                                     .Value()
                               : "") +
          "," + JsonNumber("age_ms", (now - this->received) / milliseconds(1)) +
          "," +
          JsonNumber("policy", static_cast<std::int64_t>(
                                   this->policy->version().Value())));
}

void Dispatcher::Call::Respond(h1::Response response) {
  if (this->done) {
    return;
  }
  this->owner.statistics.request_latency.Add(
      std::chrono::duration<double>(this->owner.timers->Now() - this->received)
          .count());
  if (!this->attempt_id.empty() &&
      h1::FindHeader(response.headers,
                     this->owner.settings.fields.attempt_id) == nullptr) {
    response.headers.emplace_back(this->owner.settings.fields.attempt_id,
                                  this->attempt_id);
  }
  if (this->parent && response.status >= 400) {
    this->owner.gate.RecordChildFailure(this->parent->id);
  }
  const auto responder = this->exchange;
  this->Finish();
  responder->Respond(std::move(response));
}

void Dispatcher::Call::Finish() {
  this->done = true;
  this->timer.Cancel();
  this->exchange->OnPeerClosed(nullptr);
}

}  // namespace cassiakeel::mesh::pvt
