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

/// Time of a run and what is to happen in it, in order.
class Agenda {
 public:
  Nanos Now() const { return this->now; }
  void At(Nanos when, std::function<void()> action);
  /// Runs everything due up to `end`.
  void RunUntil(Nanos end);

 private:
  struct Entry {
    Nanos when;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Entry& other) const {
      return std::tie(other.when, other.order) <
             std::tie(this->when, this->order);
    }
  };
  std::priority_queue<Entry> entries;
  std::uint64_t next_order = 0;
  Nanos now{0};
};

/// Clock of an instance: runs at its own rate, with its own wall time.
class InstanceClock final : public Clock {
 public:
  InstanceClock(const Agenda& agenda, double rate, Nanos wall_offset);
  SteadyTime Now() const override;
  WallTime WallNow() const override;
  void JumpWall(Nanos by) { this->wall_offset += by; }

 private:
  const Agenda& agenda;
  double rate;
  Nanos wall_offset;
};

/// True wall time of a run at a time of its agenda.
WallTime TrueWall(Nanos now);

/// Rows and objects of the platform.
struct StoreState {
  std::map<std::string, platform::Row> rows;
  std::map<std::string, std::string> objects;
  platform::Commit Apply(const std::vector<platform::Write>& writes);
};

/// Most nodes of a run.
inline constexpr int kMaxNodes = 32;

class World;

/// One process of a node with its instance. Its functions for the library are
/// in world.cc and fake_platform.cc.
struct Process {
  once::NodeRef ref;
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
  /// Calls to the platform until the next pause, and its length.
  int calls_to_pause = -1;
  Nanos call_pause{0};
  Nanos dispatch_pause{0};
  Nanos server_silent_until{0};
  Nanos suspected_until{0};
  bool leaving = false;
  bool alive = true;
  /// The present round of maintenance runs without its worker.
  bool direct = false;
  int in_flight = 0;
};

struct RunOptions {
  once::Variant variant = once::Variant::kCorrect;
  /// Share of the keys that carry no issue time, in percent.
  int plain_keys = 10;
  /// Share of the submissions that are repeated, in percent.
  int repeats = 60;
  /// Wall clocks of nodes and callers differ.
  bool clock_errors = true;
  /// Look for the smallest schedule once one breaks an invariant.
  bool shrink = true;
};

/// Runs a schedule over real `Deduplicator` objects and records its history.
/// Nodes, messages, the platform and the backend servers are small fakes.
class World {
 public:
  World(const Schedule& schedule, const RunOptions& options);
  ~World();
  History Run();

  Agenda agenda;
  Rng rng;
  StoreState store;
  const Schedule schedule;
  const RunOptions options;
  History history;

  /// Windows of faults that concern all nodes.
  std::array<Nanos, kFaultKindCount> until{};
  std::array<Nanos, kMaxNodes> cut_until{};

  bool Active(FaultKind kind) const;
  /// No call to the platform by the process can wait now, so that its
  /// maintenance needs no switch of threads.
  bool Undisturbed(const Process& process) const;
  bool StoreReachable(const Process& process) const;
  bool Reachable(const Process& from, const Process& to) const;
  /// Uniform in [0, limit).
  Nanos Random(Nanos limit);
  bool Chance(int percent);
  void Record(Event event);
  void RecordNode(EventType type,
                  const std::string& node,
                  const std::string& detail = "");

  /// Runs `action` on the process at `when`, later if it is paused then, and
  /// never if it has ended.
  void Deliver(const std::shared_ptr<Process>& process,
               Nanos when,
               std::function<void()> action);
  /// For code on a worker: lets time pass for this process.
  void WaitFor(Process& process, Nanos duration);
  /// A call to the platform is about to take effect or has taken effect.
  void CallPoint(Process& process);
  /// Asks another node's lease grantor; for code on a worker.
  bool RequestGrant(Process& from, const once::GrantRequest& request);

  std::vector<once::ServiceNode> Members(const Process& observer) const;
  std::shared_ptr<Process> AtAddress(const NodeId& node) const;
  std::shared_ptr<Process> Shared(const Process& process) const;

  /// Every process that ever ran, the current one of a slot last.
  std::vector<std::shared_ptr<Process>> processes;

  /// Starts a process on the slot; on the instance `clock` where given.
  void StartProcess(int slot, std::shared_ptr<InstanceClock> clock);
  void EndProcess(Process& process, EventType event);
  void Maintain(const std::shared_ptr<Process>& process);
  void MeasureClock(Process& process);
  void ApplyFault(const Fault& fault);
  std::shared_ptr<Process> Current(int slot) const;
};

inline constexpr std::string_view kService = "intake";

std::unique_ptr<platform::Table> MakeFakeTable(World& world, Process& process);
std::unique_ptr<platform::ObjectStore> MakeFakeObjects(World& world,
                                                       Process& process);

}  // namespace cassiakeel::history
