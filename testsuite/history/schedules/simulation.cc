#include "simulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "traffic.h"

namespace cassiakeel::history {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kMaintainInterval{1};
constexpr seconds kClockMeasureInterval{5};
constexpr seconds kGrantTimeout{1};
/// Time until the other nodes detect that a process has ended.
constexpr seconds kFailureDetectionTime{6};
/// Time after the last fault within which every request must be answered.
constexpr seconds kSettleTime{100};
/// Largest relative error of a clock's rate, far above that of a quartz clock.
constexpr double kMaxClockRateError = 0.01;
constexpr milliseconds kMaxWallClockError{800};
constexpr milliseconds kMaxClockMeasureError{400};

}  // namespace

void EventLoop::ScheduleAt(Nanos when, std::function<void()> action) {
  this->tasks.push(
      {std::max(when, this->now), this->next_order++, std::move(action)});
}

void EventLoop::RunUntil(Nanos end) {
  while (!this->tasks.empty() && this->tasks.top().when <= end) {
    const Task task = this->tasks.top();
    this->tasks.pop();
    this->now = task.when;
    task.action();
  }
  this->now = end;
}

InstanceClock::InstanceClock(const EventLoop& loop,
                             double rate,
                             Nanos wall_offset)
    : loop(loop), rate(rate), wall_offset(wall_offset) {}

SteadyTime InstanceClock::Now() const {
  const auto own = static_cast<std::int64_t>(
      static_cast<double>(this->loop.Now().count()) * this->rate);
  return SteadyTime(std::chrono::hours(1) + Nanos(own));
}

WallTime InstanceClock::WallNow() const {
  return TrueWallTime(this->loop.Now() + this->wall_offset);
}

WallTime TrueWallTime(Nanos now) {
  constexpr std::chrono::hours kYears{24 * 365 * 50};
  return WallTime(kYears + now);
}

Simulation::Simulation(const Schedule& schedule, const RunOptions& options)
    : rng(schedule.seed), schedule(schedule), options(options) {}

Simulation::~Simulation() = default;

Nanos Simulation::RandomDuration(Nanos limit) {
  return Nanos(static_cast<std::int64_t>(UniformUnit(this->rng) *
                                         static_cast<double>(limit.count())));
}

bool Simulation::Chance(int percent) {
  return UniformUnit(this->rng) * 100 < percent;
}

void Simulation::Record(Event event) {
  event.at_us =
      std::chrono::duration_cast<std::chrono::microseconds>(this->loop.Now())
          .count();
  this->history.push_back(std::move(event));
}

void Simulation::RecordNode(EventType type,
                            const std::string& node,
                            const std::string& detail) {
  Event event;
  event.type = type;
  event.node = node;
  event.detail = detail;
  this->Record(event);
}

bool Simulation::FaultActive(FaultKind kind) const {
  return this->fault_end[static_cast<std::size_t>(kind)] > this->loop.Now();
}

bool Simulation::CallsCannotBlock(const Process& process) const {
  return this->StoreReachable(process) &&
         !this->FaultActive(FaultKind::kStoreSlow) &&
         !this->FaultActive(FaultKind::kAnswersLost) &&
         !this->FaultActive(FaultKind::kMessageFaults) &&
         process.calls_to_pause < 0;
}

bool Simulation::StoreReachable(const Process& process) const {
  return !this->FaultActive(FaultKind::kStoreDown) &&
         this->store_cut_until.at(process.slot) <= this->loop.Now() &&
         !(this->FaultActive(FaultKind::kPartition) && process.slot % 2 == 1);
}

bool Simulation::Reachable(const Process& from, const Process& to) const {
  return !this->FaultActive(FaultKind::kPartition) ||
         from.slot % 2 == to.slot % 2;
}

void Simulation::Deliver(const std::shared_ptr<Process>& process,
                         Nanos when,
                         std::function<void()> action) {
  this->loop.ScheduleAt(when, [this, process, action = std::move(action)] {
    if (!process->alive) {
      return;
    }
    if (process->paused_until > this->loop.Now()) {
      this->Deliver(process, process->paused_until, action);
      return;
    }
    action();
  });
}

std::shared_ptr<Process> Simulation::SharedPtrTo(const Process& process) const {
  for (const auto& shared : this->processes) {
    if (shared.get() == &process) {
      return shared;
    }
  }
  return nullptr;
}

void Simulation::WaitFor(Process& process, Nanos duration) {
  const auto shared = this->SharedPtrTo(process);
  this->Deliver(shared, this->loop.Now() + duration,
                [shared] { shared->worker->Resume(); });
  process.worker->Yield();
}

void Simulation::PauseIfDue(Process& process) {
  if (process.calls_to_pause < 0 || process.calls_to_pause-- > 0) {
    return;
  }
  process.paused_until = this->loop.Now() + process.call_pause;
  this->WaitFor(process, process.call_pause);
}

bool Simulation::RequestGrant(Process& from,
                              const once::GrantRequest& request) {
  struct GrantExchange {
    bool granted = false;
    bool done = false;
  };
  this->PauseIfDue(from);
  const auto to = this->ProcessAt(request.grantor.node);
  if (from.maintain_inline) {
    return to && this->Reachable(from, *to) &&
           to->paused_until <= this->loop.Now() &&
           to->deduplicator->HandleGrant(request);
  }
  const auto exchange = std::make_shared<GrantExchange>();
  const auto requester = this->SharedPtrTo(from);
  const auto delay = [this] {
    return milliseconds(1) +
           this->RandomDuration(this->FaultActive(FaultKind::kMessageFaults)
                                    ? Nanos(seconds(2))
                                    : Nanos(milliseconds(4)));
  };
  const auto lost = [this] {
    return this->FaultActive(FaultKind::kMessageFaults) && this->Chance(30);
  };
  if (to && this->Reachable(from, *to) && !lost()) {
    this->Deliver(to, this->loop.Now() + delay(), [=, this] {
      const bool granted = to->deduplicator->HandleGrant(request);
      if (!this->Reachable(*to, *requester) || lost()) {
        return;
      }
      this->Deliver(requester, this->loop.Now() + delay(), [=] {
        if (!exchange->done) {
          exchange->granted = granted;
          exchange->done = true;
          requester->worker->Resume();
        }
      });
    });
  }
  this->Deliver(requester, this->loop.Now() + kGrantTimeout, [=] {
    if (!exchange->done) {
      exchange->done = true;
      requester->worker->Resume();
    }
  });
  from.worker->Yield();
  this->PauseIfDue(from);
  return exchange->granted;
}

std::shared_ptr<Process> Simulation::CurrentProcess(int slot) const {
  std::shared_ptr<Process> current;
  for (const auto& process : this->processes) {
    if (process->slot == slot) {
      current = process;
    }
  }
  return current;
}

std::shared_ptr<Process> Simulation::ProcessAt(const NodeId& node) const {
  for (int slot = 0; slot < this->schedule.nodes; ++slot) {
    auto process = this->CurrentProcess(slot);
    if (process && process->ref.node == node && process->alive) {
      return process;
    }
  }
  return nullptr;
}

std::vector<once::ServiceNode> Simulation::VisibleMembers(
    const Process& observer) const {
  std::vector<once::ServiceNode> members;
  const Nanos now = this->loop.Now();
  for (int slot = 0; slot < this->schedule.nodes; ++slot) {
    const auto process = this->CurrentProcess(slot);
    if (!process || process->leaving ||
        (!process->alive && now - process->ended > kFailureDetectionTime) ||
        (process.get() != &observer && process->suspected_until > now)) {
      continue;
    }
    members.push_back(
        {process->ref, ZoneName(fmt::format("zone{}", slot % 2))});
  }
  return members;
}

void Simulation::MeasureClock(Process& process) {
  const WallTime wall = process.clock->WallNow();
  std::vector<Nanos> differences;
  for (int slot = 0; slot < this->schedule.nodes; ++slot) {
    const auto other = this->CurrentProcess(slot);
    if (other && other->alive && other.get() != &process) {
      differences.push_back(wall - other->clock->WallNow());
    }
  }
  Nanos offset{0};
  if (!differences.empty() && this->options.clock_errors) {
    std::sort(differences.begin(), differences.end());
    offset = differences[differences.size() / 2] +
             this->RandomDuration(2 * kMaxClockMeasureError) -
             kMaxClockMeasureError;
  }
  process.wall_offset = once::WallOffset{offset, process.clock->Now(), wall};
}

void Simulation::StartProcess(int slot, std::shared_ptr<InstanceClock> clock) {
  auto process = std::make_shared<Process>();
  std::uint64_t incarnation = 1;
  for (const auto& earlier : this->processes) {
    incarnation += earlier->slot == slot ? 1 : 0;
  }
  process->slot = slot;
  process->ref = {NodeId(fmt::format("n{}", slot)), Incarnation(incarnation)};
  process->started = this->loop.Now();
  if (!clock) {
    const double rate =
        1 + (UniformUnit(this->rng) * 2 - 1) * kMaxClockRateError;
    clock = std::make_shared<InstanceClock>(
        this->loop, rate,
        this->options.clock_errors
            ? this->RandomDuration(2 * kMaxWallClockError) - kMaxWallClockError
            : Nanos(0));
  }
  process->clock = clock;
  process->worker = std::make_unique<Worker>();
  process->table = MakeFakeTable(*this, *process);
  process->objects = MakeFakeObjects(*this, *process);
  once::DeduplicatorConfig config;
  config.self = {process->ref, ZoneName(fmt::format("zone{}", slot % 2))};
  config.service = ServiceName(std::string(kService));
  config.decide.variant = this->options.variant;
  once::DeduplicatorEnvironment environment;
  Process* raw = process.get();
  environment.clock = clock.get();
  environment.table = process->table.get();
  environment.objects = process->objects.get();
  environment.nodes = [this, raw] { return this->VisibleMembers(*raw); };
  environment.wall_offset = [raw] { return raw->wall_offset; };
  environment.request_grant = [this, raw](const once::GrantRequest& request) {
    return this->RequestGrant(*raw, request);
  };
  environment.make_id = [this] { return RandomHex(8, this->rng); };
  process->deduplicator =
      std::move(once::Deduplicator::Create(config, environment).value());
  this->processes.push_back(process);
  this->RecordNode(EventType::kNodeUp, NodeLabel(*process));
  this->Maintain(process);
}

void Simulation::EndProcess(Process& process, EventType event) {
  process.alive = false;
  process.ended = this->loop.Now();
  process.worker->Kill();
  this->RecordNode(event, NodeLabel(process));
}

void Simulation::Maintain(const std::shared_ptr<Process>& process) {
  this->Deliver(process, this->loop.Now() + kMaintainInterval, [=, this] {
    if (!process->wall_offset ||
        process->clock->Now() - process->wall_offset->measured >
            kClockMeasureInterval) {
      this->MeasureClock(*process);
    }
    process->maintain_inline =
        !process->worker->Busy() && this->CallsCannotBlock(*process);
    if (process->maintain_inline) {
      process->deduplicator->Maintain();
    } else if (!process->worker->Busy()) {
      process->worker->Start([process] { process->deduplicator->Maintain(); });
    }
    if (process->leaving && process->in_flight == 0 &&
        !process->worker->Busy() && process->deduplicator->HasLeft()) {
      this->EndProcess(*process, EventType::kShutdownEnd);
      this->loop.ScheduleAt(this->loop.Now() + seconds(5), [=, this] {
        this->StartProcess(process->slot, process->clock);
      });
      return;
    }
    this->Maintain(process);
  });
}

void Simulation::ApplyFault(const Fault& fault) {
  const Nanos now = this->loop.Now();
  const Nanos end = now + seconds(fault.duration_s);
  const int slot = fault.node % this->schedule.nodes;
  const auto process = this->CurrentProcess(slot);
  this->RecordNode(EventType::kFault, fmt::format("n{}", slot),
                   std::string(FaultKindName(fault.kind)) + " for " +
                       std::to_string(fault.duration_s) + " s");
  Nanos& kind_end = this->fault_end[static_cast<std::size_t>(fault.kind)];
  switch (fault.kind) {
    case FaultKind::kStoreDown:
    case FaultKind::kStoreSlow:
    case FaultKind::kAnswersLost:
    case FaultKind::kPartition:
    case FaultKind::kMessageFaults:
      kind_end = std::max(kind_end, end);
      return;
    case FaultKind::kCutFromStore:
      this->store_cut_until.at(slot) =
          std::max(this->store_cut_until.at(slot), end);
      return;
    default:
      break;
  }
  if (!process || !process->alive) {
    return;
  }
  switch (fault.kind) {
    case FaultKind::kPause:
      process->paused_until = std::max(process->paused_until, end);
      break;
    case FaultKind::kPauseAtCall:
      process->calls_to_pause = fault.amount % 12;
      process->call_pause = seconds(fault.duration_s);
      break;
    case FaultKind::kPauseBeforeDispatch:
      process->dispatch_pause = seconds(fault.duration_s);
      break;
    case FaultKind::kCrash:
      this->EndProcess(*process, EventType::kCrash);
      this->loop.ScheduleAt(
          end, [=, this] { this->StartProcess(slot, process->clock); });
      break;
    case FaultKind::kReplacePaused:
      process->paused_until = std::max(process->paused_until, end);
      this->loop.ScheduleAt(now + seconds(2),
                            [=, this] { this->StartProcess(slot, nullptr); });
      break;
    case FaultKind::kLeave:
      this->Deliver(process, now, [=, this] {
        if (!process->leaving) {
          process->leaving = true;
          process->deduplicator->Leave();
          this->RecordNode(EventType::kShutdownBegin, NodeLabel(*process));
          this->RecordNode(EventType::kLeave, NodeLabel(*process));
        }
      });
      break;
    case FaultKind::kWallJump: {
      const Nanos jump = milliseconds((fault.amount - 50) * 600);
      process->clock->JumpWall(jump);
      this->loop.ScheduleAt(end, [=] { process->clock->JumpWall(-jump); });
      break;
    }
    case FaultKind::kServerAnswersLost:
      process->server_answers_lost_until = end;
      break;
    case FaultKind::kSuspected:
      process->suspected_until = end;
      break;
    default:
      break;
  }
}

History Simulation::Run() {
  for (int slot = 0; slot < this->schedule.nodes; ++slot) {
    this->loop.ScheduleAt(this->RandomDuration(seconds(2)),
                          [=, this] { this->StartProcess(slot, nullptr); });
  }
  Nanos end = seconds(this->schedule.duration_s);
  for (const Fault& fault : this->schedule.faults) {
    this->loop.ScheduleAt(seconds(fault.at_s),
                          [=, this] { this->ApplyFault(fault); });
    end = std::max<Nanos>(end, seconds(fault.at_s + fault.duration_s));
  }
  Traffic traffic(*this);
  traffic.Start();
  this->loop.RunUntil(end);
  // Cancel pauses at calls and dispatches that have not been reached by now.
  Nanos last_pause_end = end;
  for (const auto& process : this->processes) {
    process->calls_to_pause = -1;
    process->dispatch_pause = Nanos(0);
    last_pause_end = std::max(last_pause_end, process->paused_until);
  }
  this->loop.RunUntil(last_pause_end + kSettleTime);
  this->RecordNode(EventType::kQuiescent, "");
  for (const auto& process : this->processes) {
    process->alive = false;
    process->worker->Kill();
  }
  return std::move(this->history);
}

}  // namespace cassiakeel::history
