#include "traffic.h"

#include <fmt/format.h>

#include <utility>

namespace cassiakeel::history {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRetryBudget = 2;
constexpr seconds kAttemptTimeout{3};
constexpr milliseconds kResolveTimeout{1500};
/// Largest error of a caller's clock; exceeds what the nodes accept for the
/// issue time of a key.
constexpr milliseconds kMaxCallerClockError{2500};
constexpr seconds kMaxRunDuration{3};
constexpr seconds kServerTimeout{5};
/// Requests are submitted until this long after the end of a schedule and no
/// later, so that every request has been answered when the run ends.
constexpr seconds kSubmitGracePeriod{70};

}  // namespace

std::string NodeLabel(const Process& process) {
  return process.ref.node.Value() + "/" +
         std::to_string(process.ref.incarnation.Value());
}

void Traffic::Start() {
  const Nanos length = seconds(this->simulation.schedule.duration_s - 5);
  for (int i = 0; i < this->simulation.schedule.submissions; ++i) {
    this->simulation.loop.ScheduleAt(
        seconds(5) + this->simulation.RandomDuration(length),
        [this] { this->SubmitNewKey(); });
  }
}

void Traffic::SubmitNewKey() {
  const Nanos now = this->simulation.loop.Now();
  const Nanos error =
      this->simulation.options.clock_errors
          ? this->simulation.RandomDuration(2 * kMaxCallerClockError) -
                kMaxCallerClockError
          : Nanos(0);
  const IdempotencyKey key(
      this->simulation.Chance(this->simulation.options.untimed_key_percent)
          ? RandomHex(8, this->simulation.rng)
          : MakeUuid7(TrueWallTime(now + error), this->simulation.rng));
  this->Submit(key, 1);
  for (int repeat = 0; repeat < 3; ++repeat) {
    if (!this->simulation.Chance(this->simulation.options.repeat_percent)) {
      break;
    }
    const Nanos delay = this->simulation.RandomDuration(
        this->simulation.Chance(50) ? Nanos(seconds(4)) : seconds(120));
    const std::uint64_t fingerprint = this->simulation.Chance(5) ? 2 : 1;
    this->simulation.loop.ScheduleAt(
        now + delay, [=, this] { this->Submit(key, fingerprint); });
  }
}

void Traffic::Submit(const IdempotencyKey& key, std::uint64_t fingerprint) {
  const int slot = static_cast<int>(
      this->simulation
          .RandomDuration(Nanos(this->simulation.schedule.nodes * 1000))
          .count() /
      1000);
  const auto ingress = this->simulation.CurrentProcess(slot);
  const Nanos last =
      seconds(this->simulation.schedule.duration_s) + kSubmitGracePeriod;
  if (!ingress || !ingress->alive || this->simulation.loop.Now() > last) {
    return;
  }
  auto pending = std::make_shared<PendingRequest>();
  pending->ingress = ingress;
  pending->request.key = key;
  pending->request.fingerprint = fingerprint;
  pending->retries_left = kRetryBudget;
  Event& submit = pending->submit;
  submit.type = EventType::kSubmit;
  submit.caller = fmt::format("c{}", this->next_id);
  submit.request = fmt::format("r{}", this->next_id++);
  submit.service = kService;
  submit.key = key.Value();
  submit.fingerprint = fingerprint;
  submit.node = NodeLabel(*ingress);
  submit.retries = kRetryBudget;
  this->simulation.Record(submit);
  this->simulation.Deliver(ingress,
                           this->simulation.loop.Now() + milliseconds(1),
                           [=, this] { this->TryAttempt(pending, false); });
  this->AnswerIfIngressCrashes(pending);
}

void Traffic::AnswerIfIngressCrashes(const PendingRequestPtr& pending) {
  this->simulation.loop.ScheduleAt(
      this->simulation.loop.Now() + seconds(2), [=, this] {
        if (pending->answered) {
          return;
        }
        if (!pending->ingress->alive) {
          this->Answer(pending, Outcome::kUnknown, Reason::kConnectionLost, "");
          return;
        }
        this->AnswerIfIngressCrashes(pending);
      });
}

void Traffic::TryAttempt(const PendingRequestPtr& pending, bool retry) {
  const std::string attempt = fmt::format("a{}", this->next_id++);
  pending->current_attempt = attempt;
  pending->request.attempt = AttemptId(attempt);
  Event event = pending->submit;
  event.type = EventType::kAttempt;
  event.attempt = attempt;
  event.retry = retry;
  const auto owner = pending->ingress->deduplicator->OwnerOf(
      ServiceName(std::string(kService)), pending->request.key);
  const auto to = owner ? this->simulation.ProcessAt(owner->node) : nullptr;
  event.peer = to ? NodeLabel(*to) : "";
  this->simulation.Record(event);
  if (!to) {
    this->OnAnswer(pending, attempt, Outcome::kNotRun, Reason::kNoEndpoint, "");
    return;
  }
  const Reply reply = [=, this](Outcome outcome, Reason reason,
                                const std::string& payload) {
    this->Send(to, pending->ingress, [=, this] {
      this->OnAnswer(pending, attempt, outcome, reason, payload);
    });
  };
  const once::Request request = pending->request;
  if (this->simulation.FaultActive(FaultKind::kMessageFaults) &&
      this->simulation.Chance(15)) {
    // The connection breaks before the answer, so the client resends the
    // request.
    this->Send(pending->ingress, to, [=, this] {
      this->Serve(to, request, pending->submit, [](auto&&...) {});
      this->simulation.Deliver(
          to,
          this->simulation.loop.Now() +
              this->simulation.RandomDuration(seconds(1)),
          [=, this] { this->Serve(to, request, pending->submit, reply); });
    });
  } else {
    this->Send(pending->ingress, to,
               [=, this] { this->Serve(to, request, pending->submit, reply); });
  }
  this->simulation.Deliver(
      pending->ingress, this->simulation.loop.Now() + kAttemptTimeout,
      [=, this] { this->OnTimeout(pending, attempt, owner->node); });
}

void Traffic::Send(const ProcessPtr& from,
                   const ProcessPtr& to,
                   const std::function<void()>& action) {
  const bool faulty = this->simulation.FaultActive(FaultKind::kMessageFaults);
  if (!this->simulation.Reachable(*from, *to) ||
      (faulty && this->simulation.Chance(15))) {
    return;
  }
  const Nanos delay =
      milliseconds(1) +
      this->simulation.RandomDuration(faulty && this->simulation.Chance(50)
                                          ? Nanos(seconds(6))
                                          : Nanos(milliseconds(10)));
  this->simulation.Deliver(to, this->simulation.loop.Now() + delay, action);
}

void Traffic::OnTimeout(const PendingRequestPtr& pending,
                        const std::string& attempt,
                        const NodeId& owner) {
  if (pending->answered || pending->current_attempt != attempt) {
    return;
  }
  const auto to = this->simulation.ProcessAt(owner);
  if (!to || this->simulation.Chance(30)) {
    this->OnAnswer(pending, attempt, Outcome::kUnknown, Reason::kTimeout, "");
    return;
  }
  const once::Request request = pending->request;
  this->Send(pending->ingress, to, [=, this] {
    const Outcome outcome = to->deduplicator->ResolveAttempt(request);
    this->Send(to, pending->ingress, [=, this] {
      this->OnAnswer(pending, attempt, outcome, Reason::kTimeout, "");
    });
  });
  this->simulation.Deliver(pending->ingress,
                           this->simulation.loop.Now() + kResolveTimeout,
                           [=, this] {
                             this->OnAnswer(pending, attempt, Outcome::kUnknown,
                                            Reason::kTimeout, "");
                           });
}

void Traffic::OnAnswer(const PendingRequestPtr& pending,
                       const std::string& attempt,
                       Outcome outcome,
                       Reason reason,
                       const std::string& payload) {
  if (pending->answered || pending->current_attempt != attempt) {
    return;
  }
  if (outcome == Outcome::kNotRun) {
    Event refuse = pending->submit;
    refuse.type = EventType::kRefuse;
    refuse.attempt = attempt;
    refuse.outcome = outcome;
    refuse.reason = reason;
    this->simulation.Record(refuse);
    if (pending->retries_left > 0 && reason != Reason::kKeyConflict) {
      --pending->retries_left;
      // Ignore late answers to this attempt.
      pending->current_attempt.clear();
      this->simulation.Deliver(pending->ingress,
                               this->simulation.loop.Now() +
                                   this->simulation.RandomDuration(seconds(1)),
                               [=, this] { this->TryAttempt(pending, true); });
      return;
    }
  }
  this->Answer(pending, outcome, reason, payload);
}

void Traffic::Answer(const PendingRequestPtr& pending,
                     Outcome outcome,
                     Reason reason,
                     const std::string& payload) {
  pending->answered = true;
  Event answer = pending->submit;
  answer.type = EventType::kAnswer;
  answer.outcome = outcome;
  answer.reason = reason;
  answer.payload = payload;
  this->simulation.Record(answer);
}

void Traffic::Serve(const ProcessPtr& process,
                    const once::Request& request,
                    const Event& submit,
                    const Reply& reply) {
  const once::Decision decision = process->deduplicator->Begin(
      request, [reply](const once::AttemptResult& finished) {
        reply(finished.outcome, finished.reason,
              finished.response ? finished.response->body : "");
      });
  switch (decision.action) {
    case once::Action::kRun:
      ++process->in_flight;
      if (process->dispatch_pause > Nanos(0)) {
        process->paused_until =
            this->simulation.loop.Now() + process->dispatch_pause;
        process->dispatch_pause = Nanos(0);
      }
      this->simulation.Deliver(
          process,
          this->simulation.loop.Now() +
              this->simulation.RandomDuration(milliseconds(2)),
          [=, this] {
            this->Dispatch(process, request, submit, decision, reply);
          });
      break;
    case once::Action::kJoin:
      break;
    case once::Action::kReplay:
    case once::Action::kReject:
      reply(decision.outcome, decision.reason,
            decision.response ? decision.response->body : "");
      break;
  }
}

void Traffic::Dispatch(const ProcessPtr& process,
                       const once::Request& request,
                       const Event& submit,
                       const once::Decision& decision,
                       const Reply& reply) {
  Event dispatch = submit;
  dispatch.type = EventType::kDispatch;
  dispatch.node = NodeLabel(*process);
  dispatch.attempt = request.attempt.Value();
  this->simulation.Record(dispatch);
  const auto done = [=, this](const once::AttemptResult& finished) {
    const bool lost =
        finished.outcome == Outcome::kRan &&
        process->server_answers_lost_until > this->simulation.loop.Now();
    const once::AttemptResult observed =
        lost ? once::AttemptResult{Outcome::kUnknown, Reason::kTimeout, nullptr}
             : finished;
    this->simulation.Deliver(
        process,
        this->simulation.loop.Now() +
            (lost ? Nanos(kServerTimeout) : milliseconds(1)),
        [=] {
          --process->in_flight;
          process->deduplicator->Complete(request, decision.epoch, observed);
          reply(observed.outcome, observed.reason,
                observed.response ? observed.response->body : "");
        });
  };
  this->simulation.loop.ScheduleAt(
      this->simulation.loop.Now() +
          this->simulation.RandomDuration(milliseconds(2)),
      [=, this] {
        // The backend server checks the expiry on the clock of its instance,
        // which it shares with the node.
        if (process->clock->Now() >= decision.expires) {
          done({Outcome::kNotRun, Reason::kServerRefused, nullptr});
          return;
        }
        this->RunAtServer(process, request, submit, decision.epoch, done);
      });
}

void Traffic::RunAtServer(
    const ProcessPtr& process,
    const once::Request& request,
    const Event& submit,
    once::ShardEpoch epoch,
    const std::function<void(const once::AttemptResult&)>& done) {
  Event run = submit;
  run.type = EventType::kRunStart;
  run.node = NodeLabel(*process);
  run.attempt = request.attempt.Value();
  run.shard = once::ShardOf(request.key).Value();
  run.version = epoch.Value();
  this->simulation.Record(run);
  const Nanos duration = this->simulation.RandomDuration(
      this->simulation.Chance(20) ? Nanos(kMaxRunDuration) : milliseconds(50));
  this->simulation.loop.ScheduleAt(
      this->simulation.loop.Now() + duration, [=, this] {
        auto response = std::make_shared<once::StoredResponse>();
        response->status = 201;
        response->body = "result of " + run.key + " by " + run.attempt;
        Event end = run;
        end.type = EventType::kRunEnd;
        end.payload = response->body;
        this->simulation.Record(end);
        done({Outcome::kRan, Reason::kNone, response});
      });
}

}  // namespace cassiakeel::history
