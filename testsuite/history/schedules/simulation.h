#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

#include "cassiakeel/base/random.h"
#include "cassiakeel/once/deduplicator.h"
#include "event.h"
#include "schedule.h"
#include "worker.h"

namespace cassiakeel::history {

using Nanos = std::chrono::nanoseconds;

/// Simulated time and the actions scheduled in it, executed in order of time.
class EventLoop {
 public:
  Nanos Now() const { return this->now; }
  void ScheduleAt(Nanos when, std::function<void()> action);
  /// Runs all actions due up to and including `end`.
  void RunUntil(Nanos end);

 private:
  struct Task {
    Nanos when;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Task& other) const {
      return std::tie(other.when, other.order) <
             std::tie(this->when, this->order);
    }
  };
  std::priority_queue<Task> tasks;
  std::uint64_t next_order = 0;
  Nanos now{0};
};

/// Clock of an instance, with its own rate and wall clock offset.
class InstanceClock final : public Clock {
 public:
  InstanceClock(const EventLoop& loop, double rate, Nanos wall_offset);
  SteadyTime Now() const override;
  WallTime WallNow() const override;
  void JumpWall(Nanos by) { this->wall_offset += by; }

 private:
  const EventLoop& loop;
  double rate;
  Nanos wall_offset;
};

/// Error-free wall time at simulated time `now`.
WallTime TrueWallTime(Nanos now);

/// Contents of the table service and the object store.
struct StoreState {
  std::map<std::string, platform::Row> rows;
  std::map<std::string, std::string> objects;
  platform::Commit Apply(const std::vector<platform::Write>& writes);
};

inline constexpr int kMaxNodes = 32;

class Simulation;

/// One simulated node process with its instance. Its environment for the
/// deduplicator is implemented in simulation.cc and fake_platform.cc.
struct Process {
  once::NodeRef ref;
  /// Index of the node; its successive processes have the same slot and
  /// address.
  int slot = 0;
  std::shared_ptr<InstanceClock> clock;
  std::unique_ptr<platform::Table> table;
  std::unique_ptr<platform::ObjectStore> objects;
  std::unique_ptr<once::Deduplicator> deduplicator;
  std::unique_ptr<Worker> worker;
  std::optional<once::WallOffset> wall_offset;
  Nanos started{0};
  Nanos ended{-1};
  Nanos paused_until{0};
  /// Number of further `PauseIfDue` calls before the one that pauses, or -1 for
  /// none, and the length of that pause.
  int calls_to_pause = -1;
  Nanos call_pause{0};
  Nanos dispatch_pause{0};
  Nanos server_answers_lost_until{0};
  Nanos suspected_until{0};
  bool leaving = false;
  bool alive = true;
  /// The current round of maintenance runs on the test's thread, not on
  /// `worker`.
  bool maintain_inline = false;
  int in_flight = 0;
};

struct RunOptions {
  once::Variant variant = once::Variant::kCorrect;
  /// Percentage of the keys without an issue time.
  int untimed_key_percent = 10;
  /// Probability of each of up to three repetitions of a submission, in
  /// percent.
  int repeat_percent = 60;
  /// Gives the wall clocks of nodes and callers different errors.
  bool clock_errors = true;
  /// Shrinks a schedule that violates an invariant.
  bool shrink = true;
};

/// Discrete-event simulation that runs a schedule with real `Deduplicator`
/// objects and records its history. Nodes, network, platform and backend
/// servers are fakes.
class Simulation {
 public:
  Simulation(const Schedule& schedule, const RunOptions& options);
  ~Simulation();
  History Run();

  EventLoop loop;
  Rng rng;
  StoreState store;
  const Schedule schedule;
  const RunOptions options;
  History history;

  /// End of the fault of each kind that affects all nodes.
  std::array<Nanos, kFaultKindCount> fault_end{};
  std::array<Nanos, kMaxNodes> store_cut_until{};

  bool FaultActive(FaultKind kind) const;
  /// True if no call to the platform or to a peer by the process can block now,
  /// so that its maintenance needs no thread switch.
  bool CallsCannotBlock(const Process& process) const;
  bool StoreReachable(const Process& process) const;
  bool Reachable(const Process& from, const Process& to) const;
  /// Uniform in [0, limit).
  Nanos RandomDuration(Nanos limit);
  bool Chance(int percent);
  void Record(Event event);
  void RecordNode(EventType type,
                  const std::string& node,
                  const std::string& detail = "");

  /// Runs `action` on the process at `when`: after the pause if the process is
  /// paused then, and not at all if it has ended.
  void Deliver(const std::shared_ptr<Process>& process,
               Nanos when,
               std::function<void()> action);
  /// Blocks for `duration` of simulated time. Called on the process's worker.
  void WaitFor(Process& process, Nanos duration);
  /// Called before and after each call to the platform or a peer takes effect;
  /// pauses the process if kPauseAtCall asks for it here.
  void PauseIfDue(Process& process);
  /// Sends a request to the lease grantor of another node. Called on the
  /// process's worker, except while `maintain_inline` is set.
  bool RequestGrant(Process& from, const once::GrantRequest& request);

  std::vector<once::ServiceNode> VisibleMembers(const Process& observer) const;
  std::shared_ptr<Process> ProcessAt(const NodeId& node) const;
  std::shared_ptr<Process> SharedPtrTo(const Process& process) const;

  /// All processes that were ever started, in order of their start.
  std::vector<std::shared_ptr<Process>> processes;

  /// Starts a process on the slot, on the instance with `clock`, or on a new
  /// instance if `clock` is null.
  void StartProcess(int slot, std::shared_ptr<InstanceClock> clock);
  void EndProcess(Process& process, EventType event);
  void Maintain(const std::shared_ptr<Process>& process);
  void MeasureClock(Process& process);
  void ApplyFault(const Fault& fault);
  std::shared_ptr<Process> CurrentProcess(int slot) const;
};

inline constexpr std::string_view kService = "intake";

std::unique_ptr<platform::Table> MakeFakeTable(Simulation& simulation,
                                               Process& process);
std::unique_ptr<platform::ObjectStore> MakeFakeObjects(Simulation& simulation,
                                                       Process& process);

}  // namespace cassiakeel::history
