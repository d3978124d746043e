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
/// Difference of the clocks of callers, beyond what is accepted of keys.
constexpr milliseconds kCallerWallError{2500};
constexpr seconds kLongestRun{3};
constexpr seconds kServerTimeout{5};
/// Nothing is submitted later than this after the end of a schedule, so that
/// every request has been answered when the run ends.
constexpr seconds kRepeatsEnd{70};

}  // namespace

std::string NodeLabel(const Process& process) {
  return process.ref.node.Value() + "/" +
         std::to_string(process.ref.incarnation.Value());
}

void Traffic::Start() {
  const Nanos length = seconds(this->world.schedule.duration_s - 5);
  for (int i = 0; i < this->world.schedule.submissions; ++i) {
    this->world.agenda.At(seconds(5) + this->world.Random(length),
                          [this] { this->SubmitNewKey(); });
  }
}

void Traffic::SubmitNewKey() {
  const Nanos now = this->world.agenda.Now();
  const Nanos error =
      this->world.options.clock_errors
          ? this->world.Random(2 * kCallerWallError) - kCallerWallError
          : Nanos(0);
  const IdempotencyKey key(
      this->world.Chance(this->world.options.plain_keys)
          ? RandomHex(8, this->world.rng)
          : MakeUuid7(TrueWall(now + error), this->world.rng));
  this->Submit(key, 1);
  for (int repeat = 0; repeat < 3; ++repeat) {
    if (!this->world.Chance(this->world.options.repeats)) {
      break;
    }
    const Nanos delay = this->world.Random(
        this->world.Chance(50) ? Nanos(seconds(4)) : seconds(120));
    const std::uint64_t fingerprint = this->world.Chance(5) ? 2 : 1;
    this->world.agenda.At(now + delay,
                          [=, this] { this->Submit(key, fingerprint); });
  }
}

void Traffic::Submit(const IdempotencyKey& key, std::uint64_t fingerprint) {
  const int slot = static_cast<int>(
      this->world.Random(Nanos(this->world.schedule.nodes * 1000)).count() /
      1000);
  const auto ingress = this->world.Current(slot);
  const Nanos last = seconds(this->world.schedule.duration_s) + kRepeatsEnd;
  if (!ingress || !ingress->alive || this->world.agenda.Now() > last) {
    return;
  }
  auto asked = std::make_shared<Asked>();
  asked->ingress = ingress;
  asked->work.key = key;
  asked->work.fingerprint = fingerprint;
  asked->retries_left = kRetryBudget;
  Event& submit = asked->submit;
  submit.type = EventType::kSubmit;
  submit.caller = fmt::format("c{}", this->next_id);
  submit.request = fmt::format("r{}", this->next_id++);
  submit.service = kService;
  submit.key = key.Value();
  submit.fingerprint = fingerprint;
  submit.node = NodeLabel(*ingress);
  submit.retries = kRetryBudget;
  this->world.Record(submit);
  this->world.Deliver(ingress, this->world.agenda.Now() + milliseconds(1),
                      [=, this] { this->TryAttempt(asked, false); });
  this->WatchIngress(asked);
}

void Traffic::WatchIngress(const AskedPtr& asked) {
  this->world.agenda.At(this->world.agenda.Now() + seconds(2), [=, this] {
    if (asked->answered) {
      return;
    }
    if (!asked->ingress->alive) {
      this->Answer(asked, Outcome::kUnknown, Reason::kConnectionLost, "");
      return;
    }
    this->WatchIngress(asked);
  });
}

void Traffic::TryAttempt(const AskedPtr& asked, bool retry) {
  const std::string attempt = fmt::format("a{}", this->next_id++);
  asked->current = attempt;
  asked->work.attempt = AttemptId(attempt);
  Event event = asked->submit;
  event.type = EventType::kAttempt;
  event.attempt = attempt;
  event.retry = retry;
  const auto owner = asked->ingress->deduplicator->OwnerOf(
      ServiceName(std::string(kService)), asked->work.key);
  const auto to = owner ? this->world.AtAddress(owner->node) : nullptr;
  event.peer = to ? NodeLabel(*to) : "";
  this->world.Record(event);
  if (!to) {
    this->OnAnswer(asked, attempt, Outcome::kNotRun, Reason::kNoEndpoint, "");
    return;
  }
  const Reply reply = [=, this](Outcome outcome, Reason reason,
                                const std::string& payload) {
    this->Send(to, asked->ingress, [=, this] {
      this->OnAnswer(asked, attempt, outcome, reason, payload);
    });
  };
  const once::Request work = asked->work;
  if (this->world.Active(FaultKind::kMessages) && this->world.Chance(15)) {
    // A connection that broke before an answer makes the client send again.
    this->Send(asked->ingress, to, [=, this] {
      this->Serve(to, work, asked->submit, [](auto&&...) {});
      this->world.Deliver(
          to, this->world.agenda.Now() + this->world.Random(seconds(1)),
          [=, this] { this->Serve(to, work, asked->submit, reply); });
    });
  } else {
    this->Send(asked->ingress, to,
               [=, this] { this->Serve(to, work, asked->submit, reply); });
  }
  this->world.Deliver(
      asked->ingress, this->world.agenda.Now() + kAttemptTimeout,
      [=, this] { this->OnTimeout(asked, attempt, owner->node); });
}

void Traffic::Send(const ProcessPtr& from,
                   const ProcessPtr& to,
                   const std::function<void()>& action) {
  const bool disturbed = this->world.Active(FaultKind::kMessages);
  if (!this->world.Reachable(*from, *to) ||
      (disturbed && this->world.Chance(15))) {
    return;
  }
  const Nanos delay =
      milliseconds(1) + this->world.Random(disturbed && this->world.Chance(50)
                                               ? Nanos(seconds(6))
                                               : Nanos(milliseconds(10)));
  this->world.Deliver(to, this->world.agenda.Now() + delay, action);
}

void Traffic::OnTimeout(const AskedPtr& asked,
                        const std::string& attempt,
                        const NodeId& owner) {
  if (asked->answered || asked->current != attempt) {
    return;
  }
  const auto to = this->world.AtAddress(owner);
  if (!to || this->world.Chance(30)) {
    this->OnAnswer(asked, attempt, Outcome::kUnknown, Reason::kTimeout, "");
    return;
  }
  const once::Request work = asked->work;
  this->Send(asked->ingress, to, [=, this] {
    const Outcome outcome = to->deduplicator->ResolveAttempt(work);
    this->Send(to, asked->ingress, [=, this] {
      this->OnAnswer(asked, attempt, outcome, Reason::kTimeout, "");
    });
  });
  this->world.Deliver(
      asked->ingress, this->world.agenda.Now() + kResolveTimeout, [=, this] {
        this->OnAnswer(asked, attempt, Outcome::kUnknown, Reason::kTimeout, "");
      });
}

void Traffic::OnAnswer(const AskedPtr& asked,
                       const std::string& attempt,
                       Outcome outcome,
                       Reason reason,
                       const std::string& payload) {
  if (asked->answered || asked->current != attempt) {
    return;
  }
  if (outcome == Outcome::kNotRun) {
    Event refuse = asked->submit;
    refuse.type = EventType::kRefuse;
    refuse.attempt = attempt;
    refuse.outcome = outcome;
    refuse.reason = reason;
    this->world.Record(refuse);
    if (asked->retries_left > 0 && reason != Reason::kKeyConflict) {
      --asked->retries_left;
      // Late answers of this attempt no longer count.
      asked->current.clear();
      this->world.Deliver(
          asked->ingress,
          this->world.agenda.Now() + this->world.Random(seconds(1)),
          [=, this] { this->TryAttempt(asked, true); });
      return;
    }
  }
  this->Answer(asked, outcome, reason, payload);
}

void Traffic::Answer(const AskedPtr& asked,
                     Outcome outcome,
                     Reason reason,
                     const std::string& payload) {
  asked->answered = true;
  Event answer = asked->submit;
  answer.type = EventType::kAnswer;
  answer.outcome = outcome;
  answer.reason = reason;
  answer.payload = payload;
  this->world.Record(answer);
}

void Traffic::Serve(const ProcessPtr& process,
                    const once::Request& work,
                    const Event& submit,
                    const Reply& reply) {
  const once::Decision decision = process->deduplicator->Begin(
      work, [reply](const once::AttemptResult& finished) {
        reply(finished.outcome, finished.reason,
              finished.response ? finished.response->body : "");
      });
  switch (decision.action) {
    case once::Action::kRun:
      ++process->in_flight;
      if (process->dispatch_pause > Nanos(0)) {
        process->paused_until =
            this->world.agenda.Now() + process->dispatch_pause;
        process->dispatch_pause = Nanos(0);
      }
      this->world.Deliver(
          process,
          this->world.agenda.Now() + this->world.Random(milliseconds(2)),
          [=, this] {
            this->Dispatch(process, work, submit, decision, reply);
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
                       const once::Request& work,
                       const Event& submit,
                       const once::Decision& decision,
                       const Reply& reply) {
  Event dispatch = submit;
  dispatch.type = EventType::kDispatch;
  dispatch.node = NodeLabel(*process);
  dispatch.attempt = work.attempt.Value();
  this->world.Record(dispatch);
  const auto done = [=, this](const once::AttemptResult& finished) {
    const bool lost = finished.outcome == Outcome::kRan &&
                      process->server_silent_until > this->world.agenda.Now();
    const once::AttemptResult seen =
        lost ? once::AttemptResult{Outcome::kUnknown, Reason::kTimeout, nullptr}
             : finished;
    this->world.Deliver(process,
                        this->world.agenda.Now() +
                            (lost ? Nanos(kServerTimeout) : milliseconds(1)),
                        [=] {
                          --process->in_flight;
                          process->deduplicator->Complete(work, decision.epoch,
                                                          seen);
                          reply(seen.outcome, seen.reason,
                                seen.response ? seen.response->body : "");
                        });
  };
  this->world.agenda.At(
      this->world.agenda.Now() + this->world.Random(milliseconds(2)),
      [=, this] {
        // The backend server reads the clock of its instance.
        if (process->clock->Now() >= decision.expires) {
          done({Outcome::kNotRun, Reason::kServerRefused, nullptr});
          return;
        }
        this->RunAtServer(process, work, submit, decision.epoch, done);
      });
}

void Traffic::RunAtServer(
    const ProcessPtr& process,
    const once::Request& work,
    const Event& submit,
    once::ShardEpoch epoch,
    const std::function<void(const once::AttemptResult&)>& done) {
  Event run = submit;
  run.type = EventType::kRunStart;
  run.node = NodeLabel(*process);
  run.attempt = work.attempt.Value();
  run.shard = once::ShardOf(work.key).Value();
  run.version = epoch.Value();
  this->world.Record(run);
  const Nanos duration = this->world.Random(
      this->world.Chance(20) ? Nanos(kLongestRun) : milliseconds(50));
  this->world.agenda.At(this->world.agenda.Now() + duration, [=, this] {
    auto response = std::make_shared<once::StoredResponse>();
    response->status = 201;
    response->body = "result of " + run.key + " by " + run.attempt;
    Event end = run;
    end.type = EventType::kRunEnd;
    end.payload = response->body;
    this->world.Record(end);
    done({Outcome::kRan, Reason::kNone, response});
  });
}

}  // namespace cassiakeel::history
