// Fake table and object store of the platform, as seen by one process. Calls
// can time out, be slow, or lose the answer to a write that was applied at once
// or is applied later.

#include "simulation.h"

namespace cassiakeel::history {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kCallTimeout{2};
/// Longest delay of a write whose answer was lost.
constexpr seconds kMaxLostWriteDelay{45};
/// Longest one-way delay of a slow call; the round trip may exceed
/// `kCallTimeout`.
constexpr milliseconds kMaxSlowOneWay{1200};

[[noreturn]] void ThrowTimeout(bool may_have_applied) {
  throw platform::PlatformException({"call store", PeerAddress(), "timeout"},
                                    may_have_applied);
}

/// Runs `operation` with the faults that are active. Only the answer to a write
/// can be lost after the operation took effect.
template <typename Operation>
auto CallWithFaults(Simulation& simulation,
                    Process& process,
                    bool is_write,
                    Operation operation) {
  simulation.PauseIfDue(process);
  if (!simulation.StoreReachable(process)) {
    simulation.WaitFor(process, kCallTimeout);
    ThrowTimeout(is_write);
  }
  if (is_write && simulation.FaultActive(FaultKind::kAnswersLost) &&
      simulation.Chance(60)) {
    if (simulation.Chance(50)) {
      operation();
    } else if (simulation.Chance(70)) {
      simulation.loop.ScheduleAt(
          simulation.loop.Now() + simulation.RandomDuration(kMaxLostWriteDelay),
          [operation] { operation(); });
    }
    simulation.WaitFor(process, kCallTimeout);
    ThrowTimeout(true);
  }
  const bool slow = simulation.FaultActive(FaultKind::kStoreSlow);
  const Nanos request_delay =
      slow ? simulation.RandomDuration(kMaxSlowOneWay) : Nanos(0);
  const Nanos response_delay =
      slow ? simulation.RandomDuration(kMaxSlowOneWay) : Nanos(0);
  if (slow) {
    simulation.WaitFor(process, request_delay);
  }
  auto result = operation();
  if (request_delay + response_delay > kCallTimeout) {
    simulation.WaitFor(process, kCallTimeout - request_delay);
    ThrowTimeout(is_write);
  }
  if (slow) {
    simulation.WaitFor(process, response_delay);
  }
  simulation.PauseIfDue(process);
  return result;
}

class FakeTable final : public platform::Table {
 public:
  FakeTable(Simulation& simulation, Process& process)
      : simulation(simulation), process(process) {}

  std::optional<platform::Row> Get(const std::string& key) override {
    return CallWithFaults(this->simulation, this->process, false,
                          [&]() -> std::optional<platform::Row> {
                            const auto row =
                                this->simulation.store.rows.find(key);
                            if (row == this->simulation.store.rows.end()) {
                              return std::nullopt;
                            }
                            return row->second;
                          });
  }
  platform::Commit Transact(
      const std::vector<platform::Write>& writes) override {
    // Captures `writes` by value because a delayed write outlives the call.
    return CallWithFaults(this->simulation, this->process, true,
                          [&store = this->simulation.store, writes] {
                            return store.Apply(writes);
                          });
  }
  std::vector<platform::Row> Scan(const std::string&,
                                  const std::string&,
                                  int) override {
    return {};
  }

 private:
  Simulation& simulation;
  Process& process;
};

class FakeObjects final : public platform::ObjectStore {
 public:
  FakeObjects(Simulation& simulation, Process& process)
      : simulation(simulation), process(process) {}

  std::optional<std::string> Get(const std::string& key) override {
    return CallWithFaults(this->simulation, this->process, false,
                          [&]() -> std::optional<std::string> {
                            const auto found =
                                this->simulation.store.objects.find(key);
                            if (found == this->simulation.store.objects.end()) {
                              return std::nullopt;
                            }
                            return found->second;
                          });
  }
  void Put(const std::string& key, const std::string& bytes) override {
    CallWithFaults(this->simulation, this->process, true,
                   [&store = this->simulation.store, key, bytes] {
                     store.objects[key] = bytes;
                     return true;
                   });
  }

 private:
  Simulation& simulation;
  Process& process;
};

}  // namespace

platform::Commit StoreState::Apply(const std::vector<platform::Write>& writes) {
  platform::Commit commit;
  for (const platform::Write& write : writes) {
    const auto row = this->rows.find(write.key);
    const std::uint64_t version =
        row == this->rows.end() ? 0 : row->second.version;
    if (write.expected_version && *write.expected_version != version) {
      commit.conflict_key = write.key;
      return commit;
    }
  }
  commit.applied = true;
  for (const platform::Write& write : writes) {
    if (!write.value) {
      this->rows.erase(write.key);
      commit.versions.push_back(0);
      continue;
    }
    platform::Row& row = this->rows[write.key];
    row.key = write.key;
    row.value = *write.value;
    commit.versions.push_back(++row.version);
  }
  return commit;
}

std::unique_ptr<platform::Table> MakeFakeTable(Simulation& simulation,
                                               Process& process) {
  return std::make_unique<FakeTable>(simulation, process);
}

std::unique_ptr<platform::ObjectStore> MakeFakeObjects(Simulation& simulation,
                                                       Process& process) {
  return std::make_unique<FakeObjects>(simulation, process);
}

}  // namespace cassiakeel::history
