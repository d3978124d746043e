#include "dispatched_call.h"

#include <algorithm>

#include "cassiakeel/base/hash.h"
#include "header_values.h"
#include "peer_result.h"

namespace cassiakeel::mesh::pvt {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// The least wait that lets a wave of demand pass.
constexpr milliseconds kEntryRetryAfter{300};
// Time of a caller that names none.
constexpr milliseconds kDefaultTimeout{15000};
// After the deadline an answer may still be on its way from the other node.
constexpr milliseconds kAnswerSlack{80};
// Nodes to ask for one attempt before the refusal is passed on.
constexpr int kMaxReroutes = 2;
// Arrivals of one request at backend servers, refusals of the servers included.
constexpr int kMaxArrivals = 4;
// A repeat with less of its time left hardly succeeds.
constexpr double kLeastShareForRepeat = 0.2;

}  // namespace

Dispatcher::Call::Call(Dispatcher& owner,
                       std::shared_ptr<h1::Exchange> exchange,
                       std::shared_ptr<const TrafficPolicy> policy,
                       const Route& route,
                       std::optional<milliseconds> caller_timeout,
                       std::optional<SteadyTime> latest_end)
    : owner(owner),
      exchange(std::move(exchange)),
      policy(std::move(policy)),
      route(route),
      received(this->exchange->received()),
      caller_deadline(this->received +
                      caller_timeout.value_or(kDefaultTimeout)),
      deadline(this->caller_deadline),
      timer(owner.timers) {
  if (route.timeout.count() > 0) {
    this->deadline = std::min(this->deadline, this->received + route.timeout);
  }
  if (latest_end) {
    this->deadline = std::min(this->deadline, *latest_end);
  }
  auto& headers = this->exchange->request().headers;
  if (const auto* id =
          h1::FindHeader(headers, owner.settings.fields.attempt_id)) {
    this->attempt_id = *id;
  }
  RemoveHopFields(headers, owner.settings.fields);
}

void Dispatcher::Call::Run() {
  this->parent =
      this->owner.gate.FindParent(this->attempt_id, this->caller_deadline);
  this->priority = this->parent ? this->parent->priority : route.priority;
  this->tree_rank =
      this->parent
          ? this->parent->tree_rank
          : StableUnit(RootId(this->attempt_id,
                              this->owner.settings.fields.id_separator));
  if (!this->parent && this->ShedAtEntry()) {
    return;
  }
  this->service = DrawService(this->route, this->owner.rng);
  this->exchange->OnPeerClosed(
      [self = this->shared_from_this()] { self->OnCallerGone(); });
  this->timer.Set(this->deadline + kAnswerSlack,
                  [self = this->shared_from_this()] { self->OnDeadline(); });
  this->Attempt();
}

bool Dispatcher::Call::ShedAtEntry() {
  const auto now = this->owner.timers->Now();
  const double level =
      this->owner.entry_levels.LevelOf(this->route.name.Value(), now);
  if (this->Position() >= level) {
    return false;
  }
  this->retry_after = kEntryRetryAfter;
  this->Refuse(Reason::kOverload);
  return true;
}

void Dispatcher::Call::Attempt() {
  const auto now = this->owner.timers->Now();
  auto& pool = this->owner.pools.Of(this->service);
  const routing::SelectionRequest request{RequestClass::kCritical,
                                          WorkLength::kShort, this->tried};
  const auto selection =
      routing::SelectEndpoint(pool, request, now, this->owner.rng);
  if (!selection.endpoint) {
    this->Refuse(selection.reason);
    return;
  }
  this->tried.push_back(pool.endpoints[*selection.endpoint].node);
  this->SendToEndpoint(pool, *selection.endpoint);
}

void Dispatcher::Call::AttemptAgain() {
  auto& pool = this->owner.pools.Of(this->service);
  const auto found = pool.index.find(this->node);
  if (found == pool.index.end()) {
    this->Refuse(Reason::kServerRefused);
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
  CallInfo info{this->service,
                this->owner.settings.service,
                this->route.name.Value(),
                this->priority,
                this->tree_rank,
                this->route.idempotent,
                this->route.target_latency,
                this->arrivals > 0 || this->InRepeatedRun(),
                this->owner.versions};
  if (this->node == this->owner.settings.node) {
    this->SendLocally(std::move(info));
  } else {
    this->SendTo(endpoint.address, info);
  }
}

void Dispatcher::Call::SendLocally(CallInfo info) {
  ServeRequest serve{std::move(info), this->exchange->request(),
                     this->deadline};
  const auto number = ++this->sends;
  const auto id = this->owner.gate.Submit(
      std::move(serve),
      [self = this->shared_from_this(), number](ServeResult result) {
        self->OnResult(number, std::move(result));
      });
  if (this->sends == number && !this->done) {
    this->local = id;
  }
}

void Dispatcher::Call::SendTo(const PeerAddress& address,
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
  fetch.deadline = this->deadline + kAnswerSlack;
  const auto number = ++this->sends;
  this->remote = this->owner.client->Start(
      std::move(fetch),
      [self = this->shared_from_this(), number](h1::FetchResult result) {
        self->remote.reset();
        self->OnResult(number, DecodePeerResult(std::move(result)));
      });
}

void Dispatcher::Call::OnResult(int number, ServeResult result) {
  if (this->done || number != this->sends) {
    return;
  }
  this->local.reset();
  this->Observe(result);
  if (result.outcome == Outcome::kRan) {
    this->OnAnswered(std::move(result));
  } else if (result.outcome == Outcome::kNotRun && !result.reached_backend) {
    this->OnRefused(result);
  } else {
    this->OnFailed(result);
  }
}

void Dispatcher::Call::Observe(const ServeResult& result) {
  const auto now = this->owner.timers->Now();
  auto& pool = this->owner.pools.Of(this->service);
  if (result.reached_backend && this->arrivals++ == 0) {
    this->CountFirst(now);
  }
  if (this->parent) {
    this->owner.gate.NoteChild(this->parent->id, result.shed_level);
  } else {
    this->owner.entry_levels.Note(this->route.name.Value(), result.shed_level,
                                  now);
  }
  if (this->owner.on_peer_versions) {
    this->owner.on_peer_versions(result.sender);
  }
  if (result.wants_state && this->owner.on_state_wanted) {
    const auto known = pool.index.find(this->node);
    if (known != pool.index.end()) {
      this->owner.on_state_wanted(pool.endpoints[known->second].address);
    }
  }
  const bool failed = result.reason == Reason::kConnectFailed ||
                      result.reason == Reason::kConnectionLost ||
                      result.reason == Reason::kTimeout;
  if (failed) {
    routing::OnFailure(pool, this->node, result.reason, now);
    return;
  }
  routing::Answer answer;
  answer.outcome = result.outcome;
  answer.reason = result.reason;
  answer.latency = now - this->sent_at;
  answer.load = result.load;
  answer.server_failed = result.reason == Reason::kServerRefused ||
                         (result.outcome == Outcome::kRan &&
                          result.response.status >= 500 && !result.call_failed);
  routing::OnAnswer(pool, this->node, answer, now);
}

bool Dispatcher::Call::InRepeatedRun() const {
  return this->parent && this->parent->repeat;
}

void Dispatcher::Call::CountFirst(SteadyTime now) {
  if (this->InRepeatedRun()) {
    this->owner.quota.NoteInherited(this->service, now);
  } else {
    this->owner.quota.NoteFirst(this->service, now);
  }
}

double Dispatcher::Call::Position() const {
  return admission::ShedPosition(ClassOfPriority(this->priority),
                                 this->tree_rank);
}

void Dispatcher::Call::OnAnswered(ServeResult result) {
  this->may_have_run = true;
  const bool server_error = result.response.status >= 500;
  if (server_error && !result.call_failed &&
      this->MayRepeat(this->route.max_attempts)) {
    this->fallback = std::move(result.response);
    this->Attempt();
    return;
  }
  ++this->owner.statistics.answered;
  this->Answer(std::move(result.response));
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
  this->Refuse(result.reason);
}

void Dispatcher::Call::OnFailed(const ServeResult& result) {
  if (result.outcome != Outcome::kNotRun) {
    this->may_have_run = true;
  }
  const bool more_servers = this->arrivals < this->route.max_attempts;
  const int most = result.reason == Reason::kServerRefused
                       ? std::max(kMaxArrivals, this->route.max_attempts)
                       : this->route.max_attempts;
  if (this->MayRepeat(most)) {
    if (more_servers) {
      this->Attempt();
    } else {
      this->AttemptAgain();
    }
    return;
  }
  this->Refuse(result.reason);
}

bool Dispatcher::Call::MayRepeat(int most_arrivals) {
  if (this->may_have_run && !this->route.idempotent) {
    return false;
  }
  if (this->arrivals >= most_arrivals) {
    return false;
  }
  const auto now = this->owner.timers->Now();
  const auto whole = this->deadline - this->received;
  if (this->deadline - now <
      std::chrono::duration_cast<nanoseconds>(whole * kLeastShareForRepeat)) {
    return false;
  }
  if (!this->owner.quota.Take(this->service, this->Position(), now)) {
    ++this->owner.statistics.repeats_denied;
    return false;
  }
  ++this->owner.statistics.repeats;
  if (this->owner.log.Admit()) {
    this->owner.log.Write("request_repeated",
                          Text("attempt", this->attempt_id) + "," +
                              Text("route", this->route.name.Value()) + "," +
                              Text("failed_at", this->node.Value()) + "," +
                              Num("arrivals", this->arrivals));
  }
  return true;
}

void Dispatcher::Call::OnDeadline() {
  if (this->done) {
    return;
  }
  this->may_have_run =
      this->may_have_run || this->remote.has_value() || this->local.has_value();
  this->CancelAttempt();
  this->Refuse(Reason::kTimeout);
}

void Dispatcher::Call::OnCallerGone() {
  ++this->owner.statistics.caller_gone;
  this->CancelAttempt();
  this->End();
}

void Dispatcher::Call::CancelAttempt() {
  if (this->remote) {
    this->owner.client->Cancel(*this->remote);
  } else if (this->local) {
    this->owner.gate.Withdraw(*this->local);
  } else {
    return;
  }
  this->remote.reset();
  this->local.reset();
  routing::OnFailure(this->owner.pools.Of(this->service), this->node,
                     Reason::kCancelled, this->owner.timers->Now());
}

void Dispatcher::Call::Refuse(Reason reason) {
  Count(this->owner.statistics.failures, reason);
  const auto now = this->owner.timers->Now();
  this->LogFailure(reason, now);
  if (this->fallback) {
    this->Answer(std::move(*this->fallback));
    return;
  }
  h1::Response response;
  if (this->may_have_run) {
    response.status = reason == Reason::kTimeout ? 504 : 502;
  } else {
    response.status = 503;
    const auto left =
        std::chrono::duration_cast<milliseconds>(this->caller_deadline - now);
    const auto wait = std::clamp(this->retry_after, milliseconds(20),
                                 std::max(milliseconds(20), left / 3));
    response.headers.emplace_back("Retry-After", Seconds(wait));
  }
  this->Answer(std::move(response));
}

void Dispatcher::Call::LogFailure(Reason reason, SteadyTime now) {
  if (!this->owner.log.Admit()) {
    return;
  }
  const double level =
      this->owner.entry_levels.LevelOf(this->route.name.Value(), now);
  this->owner.log.Write(
      "request_failed",
      Text("attempt", this->attempt_id) + "," +
          Text("route", this->route.name.Value()) + "," +
          Text("service", this->service.Value()) + "," +
          Text("node", this->node.Value()) + "," +
          Text("reason", ReasonName(reason)) + "," +
          Num("ran", static_cast<int>(this->may_have_run)) + "," +
          Num("called", static_cast<int>(this->parent.has_value())) + "," +
          Num("reroutes", this->reroutes) + "," +
          Num("arrivals", this->arrivals) + "," +
          Num("rank_permille", Permille(this->tree_rank)) + "," +
          Num("level_permille", Permille(level)) + "," +
          Num("age_ms", (now - this->received) / milliseconds(1)) + "," +
          Num("policy",
              static_cast<std::int64_t>(this->policy->version().Value())));
}

void Dispatcher::Call::Answer(h1::Response response) {
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
    this->owner.gate.NoteChildFailed(this->parent->id);
  }
  const auto target = this->exchange;
  this->End();
  target->Respond(std::move(response));
}

void Dispatcher::Call::End() {
  this->done = true;
  this->timer.Cancel();
  this->exchange->OnPeerClosed(nullptr);
}

}  // namespace cassiakeel::mesh::pvt
