#include "backend_gate.h"

#include <algorithm>

#include "cassiakeel/base/hash.h"
#include "peer_result.h"

namespace cassiakeel::mesh::pvt {
namespace {

using std::chrono::milliseconds;

// A server on the same machine answers a connection attempt within a
// millisecond unless it is gone.
constexpr milliseconds kConnectTimeout{150};
// Backend servers close connections that were idle for some seconds.
constexpr milliseconds kIdleTimeout{4000};
// A connection idle for longer may be closed by the server just as a request
// that must not run twice is written, and its outcome would be unknown.
constexpr milliseconds kMaxIdleOnce{500};
constexpr milliseconds kDeadPeerTimeout{1500};
constexpr int kFailuresToPause = 3;
constexpr milliseconds kPause{300};
// Time for the server's own answer at the deadline to arrive.
constexpr milliseconds kAnswerSlack{40};
// With less time left no server finishes anything.
constexpr milliseconds kLeastTime{2};
// Some servers slow down when they are nearly full, so that they finish less
// than with a few slots free; others lose this share of their capacity.
constexpr double kUsedSlotShare = 0.95;
// With fewer slots, a free one would be a larger share.
constexpr int kLeastSlotsToSpare = 10;
// Share of the target latency that a call may wait in the queue.
constexpr double kWaitShare = 0.5;
// Differences between the deadline of a run and of its calls: the way to the
// server and back, and rounding to milliseconds.
constexpr milliseconds kDeadlineMatch{4};

}  // namespace

struct BackendGate::Call {
  ServeRequest request;
  ServeHandler handler;
  std::optional<h1::FetchId> fetch;
  /// As the backend server was told; set while running.
  SteadyTime told_deadline;
  double child_shed_level = 0;
  bool child_failed = false;
  /// Id of the caller's attempt, for the log.
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
      client(h1::Client::Create(
          io_context,
          this->timers,
          {kConnectTimeout, kIdleTimeout, kDeadPeerTimeout, 512, {}})),
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
      slots >= kLeastSlotsToSpare) {
    config.max_in_flight = static_cast<int>(slots * kUsedSlotShare);
  }
  config.short_reserved = Slots(0);
  config.long_share = Percent(100);
  config.queue_capacity = std::max(64, next.report.slots.Value() * 4);
  config.ramp_time = std::chrono::nanoseconds(0);
  config.adaptive = false;
  if (same) {
    admission::Reconfigure(this->admission, config, now);
  } else {
    // Calls that wait for the predecessor never reached it.
    admission::SetLeaving(this->admission, true);
    this->Apply(admission::Advance(this->admission, now));
    if (this->backend.present) {
      this->client->DropKept(this->backend.report.address);
    }
    this->admission = admission::MakeState(config, now);
    this->connect_failures = 0;
    this->down_until = SteadyTime();
  }
  this->backend = next;
  admission::SetLeaving(this->admission, !next.present || next.report.leaving);
  this->Apply(admission::Advance(this->admission, now));
}

bool BackendGate::Serves(const ServiceName& service) const {
  return this->backend.present && this->backend.report.service == service;
}

admission::Load BackendGate::LoadNow() const {
  return admission::LoadOf(this->admission, this->timers->Now());
}

std::optional<Reason> BackendGate::RefusalBeforeQueue(
    const ServeRequest& request) const {
  if (!this->Serves(request.info.service)) {
    return Reason::kNoEndpoint;
  }
  if (this->backend.report.leaving) {
    return Reason::kLeaving;
  }
  const auto now = this->timers->Now();
  if (now < this->down_until) {
    return Reason::kConnectFailed;
  }
  if (request.deadline - now < kLeastTime) {
    return Reason::kDeadline;
  }
  return std::nullopt;
}

ServeId BackendGate::Submit(ServeRequest request, ServeHandler handler) {
  const auto id = this->next_id++;
  if (const auto reason = this->RefusalBeforeQueue(request)) {
    Count(this->statistics.gate_refusals, *reason);
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
      static_cast<double>(request.info.target_latency.count()) * kWaitShare));
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
    this->Apply({decision});
  }
  this->Arm();
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
  this->Apply(admission::Cancel(this->admission, admission::TicketId(id),
                                this->timers->Now()));
}

void BackendGate::Apply(const std::vector<admission::Decision>& decisions) {
  for (const auto& decision : decisions) {
    const auto id = decision.ticket.Value();
    if (!this->calls.contains(id)) {
      continue;
    }
    if (decision.verdict == admission::Verdict::kStart) {
      this->Start(id);
    } else {
      Count(this->statistics.gate_refusals, decision.reason);
      this->LogRefusal(*this->calls.at(id), decision.reason);
      this->Finish(id, this->Refusal(decision.reason, decision.retry_after));
    }
  }
  this->Arm();
}

void BackendGate::LogRefusal(const Call& call, Reason reason) const {
  if (!this->log.Admit()) {
    return;
  }
  const auto load = this->LoadNow();
  this->log.Write(
      "call_refused",
      Text("attempt", call.attempt) + "," +
          Text("route", call.request.info.route) + "," +
          Text("reason", ReasonName(reason)) + "," +
          Num("priority", call.request.info.priority) + "," +
          Num("rank_permille", Permille(call.request.info.tree_rank)) + "," +
          Num("level_permille", Permille(this->admission.shed.level)) + "," +
          Num("in_flight", load.in_flight) + "," + Num("limit", load.limit) +
          "," + Num("queued", load.queued));
}

void BackendGate::Start(ServeId id) {
  auto& call = *this->calls.at(id);
  const auto now = this->timers->Now();
  const auto left = std::max(
      milliseconds(1),
      std::chrono::duration_cast<milliseconds>(call.request.deadline - now));
  call.told_deadline = now + left;
  this->by_deadline.emplace(call.told_deadline, id);
  if (!call.attempt.empty()) {
    this->by_attempt[call.attempt] = id;
  }
  h1::Fetch fetch;
  fetch.peer = this->backend.report.address;
  fetch.request = std::move(call.request.request);
  fetch.deadline = call.request.deadline + kAnswerSlack;
  fetch.echo_field = call.attempt.empty() ? "" : this->fields.attempt_id;
  fetch.echo_value = call.attempt;
  auto& headers = fetch.request.headers;
  headers.emplace_back(this->fields.timeout_ms, std::to_string(left.count()));
  headers.emplace_back(this->fields.expected_instance,
                       this->backend.report.instance.Value());
  headers.emplace_back(this->fields.caller_service,
                       call.request.info.caller.Value());
  if (!call.request.info.idempotent) {
    fetch.max_idle = kMaxIdleOnce;
  }
  ++this->statistics.served;
  call.fetch = this->client->Start(std::move(fetch),
                                   [this, id, now](h1::FetchResult result) {
                                     this->OnAnswer(id, std::move(result), now);
                                   });
}

void BackendGate::OnAnswer(ServeId id,
                           h1::FetchResult fetch,
                           SteadyTime started) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) {
    return;
  }
  const auto now = this->timers->Now();
  this->NoteBackendHealth(fetch);
  auto result = this->Interpret(std::move(fetch), *found->second);
  result.service_time = now - started;
  admission::Completion completion;
  completion.service_time = result.service_time;
  completion.counts_for_limit = result.outcome == Outcome::kRan;
  completion.refused_by_server = result.reason == Reason::kServerRefused;
  if (result.outcome == Outcome::kRan) {
    this->statistics.service_time.Add(
        std::chrono::duration<double>(result.service_time).count());
  }
  const auto decisions = admission::Finish(
      this->admission, admission::TicketId(id), completion, now);
  result.load = admission::LoadOf(this->admission, now);
  result.shed_level =
      std::max(this->admission.shed.level, found->second->child_shed_level);
  result.call_failed =
      found->second->child_failed && result.response.status >= 500;
  this->Finish(id, std::move(result));
  this->Apply(decisions);
}

ServeResult BackendGate::Interpret(h1::FetchResult fetch,
                                   const Call& call) const {
  if (fetch.end == h1::FetchEnd::kNotSent) {
    return ResultWithoutResponse(fetch.end);
  }
  if (fetch.end != h1::FetchEnd::kComplete) {
    this->log.Request(
        "backend_lost",
        Text("attempt", call.attempt) + "," +
            Text("route", call.request.info.route) + "," +
            Text("instance", this->backend.report.instance.Value()) + "," +
            Text("cause", fetch.message));
    return ResultWithoutResponse(fetch.end);
  }
  ServeResult result;
  result.reached_backend = true;
  const auto& headers = fetch.response.headers;
  if (h1::FindHeader(headers, this->fields.not_run) != nullptr ||
      fetch.response.status == 421) {
    result.outcome = Outcome::kNotRun;
    result.reason = Reason::kServerRefused;
    return result;
  }
  // Success without proof, or with an encoding that nobody asked for, is not
  // the server's own response.
  const bool proven =
      h1::FindHeader(headers, this->fields.signature) != nullptr &&
      h1::FindHeader(headers, "Content-Encoding") == nullptr;
  if (fetch.response.status / 100 == 2 && !proven) {
    return ResultWithoutResponse(fetch.end);
  }
  result.outcome = Outcome::kRan;
  result.response = std::move(fetch.response);
  h1::RemoveConnectionFields(result.response.headers);
  return result;
}

void BackendGate::NoteBackendHealth(const h1::FetchResult& fetch) {
  if (fetch.end != h1::FetchEnd::kNotSent) {
    this->connect_failures = 0;
    return;
  }
  if (++this->connect_failures < kFailuresToPause) {
    return;
  }
  this->connect_failures = 0;
  this->down_until = this->timers->Now() + kPause;
  this->log.Request("backend_unreachable",
                    Text("address", this->backend.report.address.Value()) +
                        "," + Text("cause", fetch.message));
}

std::unique_ptr<BackendGate::Call> BackendGate::Extract(ServeId id) {
  const auto found = this->calls.find(id);
  auto call = std::move(found->second);
  this->calls.erase(found);
  const auto [first, last] = this->by_deadline.equal_range(call->told_deadline);
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

Parent BackendGate::ParentOf(ServeId id) const {
  const auto& info = this->calls.at(id)->request.info;
  return {id, info.priority, info.tree_rank, info.repeat};
}

std::optional<Parent> BackendGate::FindParent(const std::string& attempt,
                                              SteadyTime deadline) {
  const auto named = this->by_attempt.find(
      std::string(ParentId(attempt, this->fields.id_separator)));
  if (named != this->by_attempt.end()) {
    this->ids_extend = true;
    return this->ParentOf(named->second);
  }
  if (this->ids_extend) {
    return std::nullopt;
  }
  auto entry = this->by_deadline.lower_bound(deadline - kDeadlineMatch);
  std::optional<ServeId> best;
  auto best_distance = SteadyTime::duration::max();
  for (; entry != this->by_deadline.end() &&
         entry->first <= deadline + kDeadlineMatch;
       ++entry) {
    const auto distance = std::chrono::abs(entry->first - deadline);
    if (distance < best_distance) {
      best_distance = distance;
      best = entry->second;
    }
  }
  return best ? std::optional(this->ParentOf(*best)) : std::nullopt;
}

void BackendGate::NoteChild(ServeId parent, double shed_level) {
  const auto found = this->calls.find(parent);
  if (found != this->calls.end()) {
    auto& level = found->second->child_shed_level;
    level = std::max(level, shed_level);
  }
}

void BackendGate::NoteChildFailed(ServeId parent) {
  const auto found = this->calls.find(parent);
  if (found != this->calls.end()) {
    found->second->child_failed = true;
  }
}

ServeResult BackendGate::Refusal(Reason reason,
                                 milliseconds retry_after) const {
  ServeResult result;
  result.outcome = Outcome::kNotRun;
  result.reason = reason;
  result.retry_after = retry_after;
  result.load = this->LoadNow();
  result.load.leaving = result.load.leaving || reason == Reason::kNoEndpoint;
  result.shed_level = this->admission.shed.level;
  return result;
}

void BackendGate::Arm() {
  const auto next = admission::NextEvent(this->admission);
  if (!next) {
    return;
  }
  const auto due = std::max(*next, this->timers->Now());
  if (this->timer.pending() && this->armed_for <= due) {
    return;
  }
  this->armed_for = due;
  this->timer.Set(due, [this] {
    this->Apply(admission::Advance(this->admission, this->timers->Now()));
  });
}

}  // namespace cassiakeel::mesh::pvt
