#include "backend_gate.h"

#include <algorithm>
#include <array>

#include "cassiakeel/base/hash.h"
#include "memory_limits.h"
#include "peer_result.h"

namespace cassiakeel::mesh::pvt {
namespace {

using std::chrono::milliseconds;

// A running server on the same machine accepts a connection within 1 ms.
constexpr milliseconds kConnectTimeout{150};
// Backend servers close connections that have been idle for some seconds.
constexpr milliseconds kIdleTimeout{4000};
// Maximum idle time of a connection that is reused for a non-idempotent
// request. The server may close a connection that was idle for longer just as
// the request is written, and the outcome would be unknown.
constexpr milliseconds kMaxIdleNonIdempotent{500};
constexpr milliseconds kDeadPeerTimeout{1500};
// More than the slots of a server, so that no connection of a peak is closed.
constexpr std::size_t kMaxIdleConnections = 512;
// After this number of consecutive connect failures, calls are refused for
// kConnectPause.
constexpr int kMaxConnectFailures = 3;
constexpr milliseconds kConnectPause{300};
// Time after the deadline for a response that the server sends at the deadline
// to arrive.
constexpr milliseconds kResponseMargin{40};
// With less time left, no backend server can complete a request.
constexpr milliseconds kMinTimeLeft{2};
// Some servers slow down when nearly all slots are in use, and complete less
// work than with a few slots free. Other servers lose the unused share of their
// capacity.
constexpr double kUsableSlotShare = 0.95;
// With fewer slots, one unused slot would be more than a tenth of the capacity.
constexpr int kMinSlotsToReserve = 10;
constexpr int kFirstServerError = 500;
// Statuses that tell a client that its request has not run and never will.
constexpr std::array<int, 4> kNotRunStatuses = {408, 421, 429, 503};
// Share of the target latency that a call may spend in the queue.
constexpr double kMaxQueueWaitShare = 0.5;
// Tolerance when a call is matched to its parent by deadline: the time to the
// server and back, and rounding to milliseconds.
constexpr milliseconds kDeadlineTolerance{4};

}  // namespace

struct BackendGate::Call {
  ServeRequest request;
  ServeHandler handler;
  std::optional<h1::FetchId> fetch;
  /// Deadline as sent to the backend server; set while the call is running.
  SteadyTime sent_deadline;
  double downstream_shed_level = 0;
  bool downstream_failed = false;
  /// Attempt id of the request.
  std::string attempt;
};

std::unique_ptr<BackendGate> BackendGate::Create(
    asio::io_context& io_context,
    std::shared_ptr<h1::TimerQueue> timers,
    const FieldNames& fields,
    DecisionLog& log,
    Statistics& statistics) {
  return std::unique_ptr<BackendGate>(
      new BackendGate(io_context, std::move(timers), fields, log, statistics));
}

BackendGate::BackendGate(asio::io_context& io_context,
                         std::shared_ptr<h1::TimerQueue> timers,
                         const FieldNames& fields,
                         DecisionLog& log,
                         Statistics& statistics)
    : timers(std::move(timers)),
      fields(fields),
      log(log),
      statistics(statistics),
      client(h1::Client::Create(io_context,
                                this->timers,
                                {kConnectTimeout,
                                 kIdleTimeout,
                                 kDeadPeerTimeout,
                                 kMaxIdleConnections,
                                 {kMaxResponseHeader, kMaxResponseBody},
                                 kMaxBufferedResponses})),
      timer(this->timers) {}

BackendGate::~BackendGate() = default;

void BackendGate::SetBackend(const LocalBackend& next) {
  const auto now = this->timers->Now();
  const bool same =
      this->backend.present && next.present &&
      this->backend.report.instance == next.report.instance &&
      this->backend.report.started_at_ms == next.report.started_at_ms &&
      this->backend.report.address == next.report.address;
  admission::Config config;
  config.slots = next.report.slots;
  if (const int slots = next.report.slots.Value();
      slots >= kMinSlotsToReserve) {
    config.max_in_flight = static_cast<int>(slots * kUsableSlotShare);
  }
  config.short_reserved = Slots(0);
  config.long_share = Percent(100);
  config.queue_capacity = std::max(64, next.report.slots.Value() * 4);
  config.ramp_time = std::chrono::nanoseconds(0);
  config.adaptive = false;
  if (same) {
    admission::Reconfigure(this->admission, config, now);
  } else {
    // Queued calls were meant for the previous server process and never reached
    // it.
    admission::SetLeaving(this->admission, true);
    this->ApplyDecisions(admission::Advance(this->admission, now));
    if (this->backend.present) {
      this->client->CloseIdleConnections(this->backend.report.address);
    }
    this->admission = admission::MakeState(config, now);
    this->service_times = {};
    this->connect_failures = 0;
    this->paused_until = SteadyTime();
  }
  this->backend = next;
  admission::SetLeaving(this->admission, !next.present || next.report.leaving);
  this->ApplyDecisions(admission::Advance(this->admission, now));
}

bool BackendGate::Serves(const ServiceName& service) const {
  return this->backend.present && this->backend.report.service == service;
}

admission::Load BackendGate::CurrentLoad() const {
  return admission::LoadOf(this->admission, this->timers->Now());
}

std::optional<Reason> BackendGate::CheckBeforeQueue(
    const ServeRequest& request) const {
  if (!this->Serves(request.info.service)) {
    return Reason::kNoEndpoint;
  }
  if (this->backend.report.leaving) {
    return Reason::kLeaving;
  }
  const auto now = this->timers->Now();
  if (now < this->paused_until) {
    return Reason::kConnectFailed;
  }
  if (request.deadline - now < kMinTimeLeft) {
    return Reason::kDeadline;
  }
  return std::nullopt;
}

ServeId BackendGate::Submit(ServeRequest request, ServeHandler handler) {
  const auto id = this->next_id++;
  if (const auto reason = this->CheckBeforeQueue(request)) {
    CountReason(this->statistics.gate_refusals, *reason);
    handler(this->Refusal(*reason, milliseconds(50)));
    return id;
  }
  const auto now = this->timers->Now();
  admission::Work work;
  work.ticket = admission::TicketId(id);
  work.shed_rank = request.info.tree_rank;
  work.request_class = ClassOfPriority(request.info.priority);
  work.kind = StableHash(request.info.route);
  work.deadline = request.deadline;
  work.max_wait = milliseconds(static_cast<milliseconds::rep>(
      static_cast<double>(request.info.target_latency.count()) *
      kMaxQueueWaitShare));
  auto call = std::make_unique<Call>();
  if (const auto* attempt =
          h1::FindHeader(request.request.headers, this->fields.attempt_id)) {
    call->attempt = *attempt;
  }
  call->request = std::move(request);
  call->handler = std::move(handler);
  this->calls.emplace(id, std::move(call));
  const auto decision = admission::Offer(this->admission, work, now);
  if (decision.verdict != admission::Verdict::kQueue) {
    this->ApplyDecisions({decision});
  }
  this->ScheduleAdvance();
  return id;
}

void BackendGate::Withdraw(ServeId id) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) {
    return;
  }
  auto& call = *found->second;
  if (call.fetch && !call.request.info.idempotent) {
    call.handler = [](const ServeResult&) {};
    return;
  }
  if (call.fetch) {
    this->client->Cancel(*call.fetch);
  }
  this->Extract(id);
  this->ApplyDecisions(admission::Cancel(
      this->admission, admission::TicketId(id), this->timers->Now()));
}

void BackendGate::ApplyDecisions(
    const std::vector<admission::Decision>& decisions) {
  for (const auto& decision : decisions) {
    const auto id = decision.ticket.Value();
    if (!this->calls.contains(id)) {
      continue;
    }
    if (decision.verdict == admission::Verdict::kStart) {
      this->Start(id);
    } else {
      CountReason(this->statistics.gate_refusals, decision.reason);
      this->LogRefusal(*this->calls.at(id), decision.reason);
      this->Finish(id, this->Refusal(decision.reason, decision.retry_after));
    }
  }
  this->ScheduleAdvance();
}

void BackendGate::LogRefusal(const Call& call, Reason reason) const {
  if (!this->log.TakeToken()) {
    return;
  }
  const auto load = this->CurrentLoad();
  this->log.Write(
      "call_refused",
      JsonString("attempt", call.attempt) + "," +
          JsonString("route", call.request.info.route) + "," +
          JsonString("reason", ReasonName(reason)) + "," +
          JsonNumber("priority", call.request.info.priority) + "," +
          JsonNumber("rank_permille", Permille(call.request.info.tree_rank)) +
          "," +
          JsonNumber("level_permille", Permille(this->admission.shed.level)) +
          "," + JsonNumber("in_flight", load.in_flight) + "," +
          JsonNumber("limit", load.limit) + "," +
          JsonNumber("queued", load.queued));
}

void BackendGate::Start(ServeId id) {
  auto& call = *this->calls.at(id);
  const auto now = this->timers->Now();
  const auto left = std::max(
      milliseconds(1),
      std::chrono::duration_cast<milliseconds>(call.request.deadline - now));
  call.sent_deadline = now + left;
  this->by_deadline.emplace(call.sent_deadline, id);
  if (!call.attempt.empty()) {
    this->by_attempt[call.attempt] = id;
  }
  h1::Fetch fetch;
  fetch.peer = this->backend.report.address;
  fetch.request = std::move(call.request.request);
  fetch.deadline = call.request.deadline + kResponseMargin;
  fetch.echo_field = this->fields.attempt_id;
  fetch.echo_value = call.attempt;
  auto& headers = fetch.request.headers;
  headers.emplace_back(this->fields.timeout_ms, std::to_string(left.count()));
  headers.emplace_back(this->fields.expected_instance,
                       this->backend.report.instance.Value());
  headers.emplace_back(this->fields.caller_service,
                       call.request.info.caller.Value());
  if (!call.request.info.idempotent) {
    fetch.max_idle = kMaxIdleNonIdempotent;
  }
  ++this->statistics.served;
  call.fetch = this->client->Start(
      std::move(fetch), [this, id, now](h1::FetchResult result) {
        this->OnResponse(id, std::move(result), now);
      });
}

void BackendGate::OnResponse(ServeId id,
                             h1::FetchResult fetch,
                             SteadyTime started) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) {
    return;
  }
  const auto now = this->timers->Now();
  this->RecordConnectResult(fetch);
  auto result = this->DecodeResponse(std::move(fetch), *found->second);
  const auto service_time = now - started;
  admission::Completion completion;
  completion.service_time = service_time;
  completion.counts_for_limit = result.outcome == Outcome::kRan;
  completion.refused_by_server = result.reason == Reason::kServerRefused;
  if (result.outcome == Outcome::kRan) {
    this->statistics.service_time.Add(
        std::chrono::duration<double>(service_time).count());
    result.typical_service_time = this->service_times.Add(
        StableHash(found->second->request.info.route), service_time,
        result.response.status >= kFirstServerError);
  }
  const auto decisions = admission::Finish(
      this->admission, admission::TicketId(id), completion, now);
  result.load = admission::LoadOf(this->admission, now);
  result.shed_level = std::max(this->admission.shed.level,
                               found->second->downstream_shed_level);
  result.downstream_failed =
      found->second->downstream_failed && result.response.status >= 500;
  this->Finish(id, std::move(result));
  this->ApplyDecisions(decisions);
}

ServeResult BackendGate::DecodeResponse(h1::FetchResult fetch,
                                        const Call& call) const {
  if (fetch.end == h1::FetchEnd::kNotSent) {
    return ResultWithoutResponse(fetch.end);
  }
  if (fetch.end != h1::FetchEnd::kComplete) {
    this->log.WriteLimited(
        "backend_lost",
        JsonString("attempt", call.attempt) + "," +
            JsonString("route", call.request.info.route) + "," +
            JsonString("instance", this->backend.report.instance.Value()) +
            "," + JsonString("cause", fetch.message));
    return ResultWithoutResponse(fetch.end);
  }
  ServeResult result;
  result.reached_backend = true;
  auto& headers = fetch.response.headers;
  if (h1::FindHeader(headers, this->fields.not_run) != nullptr ||
      fetch.response.status == 421) {
    result.outcome = Outcome::kNotRun;
    result.reason = Reason::kServerRefused;
    return result;
  }
  // Before the signature is looked for: a field that `Connection` lists does
  // not reach the caller.
  h1::RemoveConnectionFields(headers);
  // A success response without the signature, or with a content encoding that
  // was not requested, was not produced by the backend server.
  const bool is_signed =
      h1::FindHeader(headers, this->fields.signature) != nullptr &&
      h1::FindHeader(headers, "Content-Encoding") == nullptr;
  if (fetch.response.status / 100 == 2 && !is_signed) {
    return ResultWithoutResponse(fetch.end);
  }
  // Only the field above says that the call has not run.
  const bool promises_not_run =
      std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(),
                fetch.response.status) != kNotRunStatuses.end();
  if (promises_not_run && !call.request.info.idempotent) {
    return ResultWithoutResponse(fetch.end);
  }
  result.outcome = Outcome::kRan;
  result.response = std::move(fetch.response);
  return result;
}

void BackendGate::RecordConnectResult(const h1::FetchResult& fetch) {
  if (fetch.end != h1::FetchEnd::kNotSent) {
    this->connect_failures = 0;
    return;
  }
  if (++this->connect_failures < kMaxConnectFailures) {
    return;
  }
  this->connect_failures = 0;
  this->paused_until = this->timers->Now() + kConnectPause;
  this->log.WriteLimited(
      "backend_unreachable",
      JsonString("address", this->backend.report.address.Value()) + "," +
          JsonString("cause", fetch.message));
}

std::unique_ptr<BackendGate::Call> BackendGate::Extract(ServeId id) {
  const auto found = this->calls.find(id);
  auto call = std::move(found->second);
  this->calls.erase(found);
  const auto [first, last] = this->by_deadline.equal_range(call->sent_deadline);
  for (auto entry = first; entry != last; ++entry) {
    if (entry->second == id) {
      this->by_deadline.erase(entry);
      break;
    }
  }
  const auto named = this->by_attempt.find(call->attempt);
  if (named != this->by_attempt.end() && named->second == id) {
    this->by_attempt.erase(named);
  }
  return call;
}

void BackendGate::Finish(ServeId id, ServeResult result) {
  this->Extract(id)->handler(std::move(result));
}

ParentCall BackendGate::MakeParentCall(ServeId id) const {
  const auto& info = this->calls.at(id)->request.info;
  return {id, info.priority, info.tree_rank, info.is_retry};
}

std::optional<ParentCall> BackendGate::FindParent(const std::string& attempt,
                                                  SteadyTime deadline) {
  const auto named = this->by_attempt.find(
      std::string(ParentId(attempt, this->fields.id_separator)));
  if (named != this->by_attempt.end()) {
    this->backend_derives_ids = true;
    return this->MakeParentCall(named->second);
  }
  if (this->backend_derives_ids) {
    return std::nullopt;
  }
  auto entry = this->by_deadline.lower_bound(deadline - kDeadlineTolerance);
  std::optional<ServeId> best;
  auto best_distance = SteadyTime::duration::max();
  for (; entry != this->by_deadline.end() &&
         entry->first <= deadline + kDeadlineTolerance;
       ++entry) {
    const auto distance = std::chrono::abs(entry->first - deadline);
    if (distance < best_distance) {
      best_distance = distance;
      best = entry->second;
    }
  }
  return best ? std::optional(this->MakeParentCall(*best)) : std::nullopt;
}

void BackendGate::RecordChildShedLevel(ServeId parent, double shed_level) {
  const auto found = this->calls.find(parent);
  if (found != this->calls.end()) {
    auto& level = found->second->downstream_shed_level;
    level = std::max(level, shed_level);
  }
}

void BackendGate::RecordChildFailure(ServeId parent) {
  const auto found = this->calls.find(parent);
  if (found != this->calls.end()) {
    found->second->downstream_failed = true;
  }
}

ServeResult BackendGate::Refusal(Reason reason,
                                 milliseconds retry_after) const {
  ServeResult result;
  result.outcome = Outcome::kNotRun;
  result.reason = reason;
  result.retry_after = retry_after;
  result.load = this->CurrentLoad();
  result.load.leaving = result.load.leaving || reason == Reason::kNoEndpoint;
  result.shed_level = this->admission.shed.level;
  return result;
}

void BackendGate::ScheduleAdvance() {
  const auto next = admission::NextEvent(this->admission);
  if (!next) {
    return;
  }
  const auto due = std::max(*next, this->timers->Now());
  if (this->timer.pending() && this->timer_due <= due) {
    return;
  }
  this->timer_due = due;
  this->timer.Set(due, [this] {
    this->ApplyDecisions(
        admission::Advance(this->admission, this->timers->Now()));
  });
}

}  // namespace cassiakeel::mesh::pvt
