#include "explore.h"

#include <rapidcheck.h>

#include <cstdlib>
#include <set>
#include <sstream>
#include <tuple>

namespace cassiakeel::history {
namespace {

/// Random choices for one fault: kind, index of the start time that it shares
/// with other faults of the schedule, delay after that time, duration, node and
/// amount.
using FaultChoice = std::tuple<int, int, int, int, int, int>;

rc::Gen<FaultChoice> GenFault(Profile profile) {
  const auto duration =
      profile == Profile::kFaults
          ? rc::gen::oneOf(rc::gen::inRange(1, 12), rc::gen::inRange(12, 90))
          : rc::gen::oneOf(rc::gen::inRange(1, 90),
                           rc::gen::inRange(6000, 8000));
  return rc::gen::tuple(
      rc::gen::inRange(0, kFaultKindCount), rc::gen::inRange(0, 3),
      rc::gen::oneOf(rc::gen::just(0), rc::gen::inRange(0, 25)), duration,
      rc::gen::inRange(0, 5), rc::gen::inRange(0, 100));
}

rc::Gen<Schedule> GenSchedule(Profile profile) {
  const auto start_time = rc::gen::inRange(20, 110);
  const auto faults =
      rc::gen::mapcat(rc::gen::inRange(1, 5), [profile](int count) {
        return rc::gen::container<std::vector<FaultChoice>>(count,
                                                            GenFault(profile));
      });
  // RapidCheck narrows ranges for small test cases; the nominal size gives the
  // full ranges to every case.
  return rc::gen::resize(
      rc::kNominalSize,
      rc::gen::map(
          rc::gen::tuple(rc::gen::inRange(2, 6),
                         rc::gen::noShrink(rc::gen::arbitrary<std::uint32_t>()),
                         rc::gen::tuple(start_time, start_time, start_time),
                         faults),
          [profile](const auto& choices) {
            const auto& [nodes, seed, start_times, chosen] = choices;
            const std::array<int, 3> at = {std::get<0>(start_times),
                                           std::get<1>(start_times),
                                           std::get<2>(start_times)};
            Schedule schedule;
            schedule.nodes = nodes;
            schedule.seed = seed;
            for (const auto& [kind, start_index, jitter, duration, node,
                              amount] : chosen) {
              schedule.faults.push_back({static_cast<FaultKind>(kind),
                                         at[start_index] + jitter, duration,
                                         node, amount});
            }
            if (profile == Profile::kOutages) {
              // At least one long fault; the rest of the run lets the system
              // recover.
              schedule.duration_s = 8400;
              schedule.submissions = 600;
              schedule.faults.push_back(
                  {static_cast<FaultKind>(seed % 2 == 0
                                              ? FaultKind::kStoreDown
                                              : FaultKind::kPartition),
                   at[0], 7800, 0, 0});
            }
            return schedule;
          }));
}

bool InsertIfNew(std::set<std::string>& seen, const std::string& key) {
  return seen.insert(key).second;
}

}  // namespace

std::optional<Finding> Explore(Profile profile,
                               int count,
                               std::uint64_t seed,
                               const RunOptions& options,
                               ExploreCounts& counts) {
  std::optional<Finding> found;
  const rc::detail::TestParams params = [&] {
    rc::detail::TestParams chosen;
    chosen.seed = seed;
    chosen.maxSuccess = count;
    chosen.disableShrinking = !options.shrink;
    return chosen;
  }();
  const auto property = [&] {
    const Schedule schedule = *GenSchedule(profile);
    const History history = Simulation(schedule, options).Run();
    if (!found) {
      ++counts.schedules;
      counts.events += static_cast<std::int64_t>(history.size());
      for (const Event& event : history) {
        counts.submissions += event.type == EventType::kSubmit ? 1 : 0;
        counts.runs += event.type == EventType::kRunStart ? 1 : 0;
      }
      for (const Fault& fault : schedule.faults) {
        ++counts.faults.at(static_cast<std::size_t>(fault.kind));
      }
    }
    const Violations violations = CheckAll(history);
    if (!violations.empty()) {
      found = Finding{schedule, violations.front()};
      RC_FAIL(violations.front().message);
    }
  };
  rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
  return found;
}

OutageResult MeasureOutage(int nodes, int crashed, std::uint32_t seed) {
  constexpr int kOutageStartSeconds = 300;
  constexpr int kOutageSeconds = 3600;
  Schedule schedule;
  schedule.nodes = nodes;
  schedule.seed = seed;
  schedule.duration_s = kOutageStartSeconds + kOutageSeconds;
  schedule.submissions = 6000;
  schedule.faults.push_back(
      {FaultKind::kStoreDown, kOutageStartSeconds, kOutageSeconds + 10, 0, 0});
  for (int node = 0; node < crashed; ++node) {
    schedule.faults.push_back(
        {FaultKind::kCrash, kOutageStartSeconds + 1, kOutageSeconds, node, 0});
  }
  RunOptions options;
  options.untimed_key_percent = 0;
  options.repeat_percent = 0;
  options.clock_errors = false;
  const History history = Simulation(schedule, options).Run();
  OutageResult result;
  std::set<std::string> counted;
  std::set<std::string> seen;
  for (const Event& event : history) {
    if (event.type == EventType::kSubmit && InsertIfNew(seen, event.key) &&
        event.at_us >= (kOutageStartSeconds + 1) * 1'000'000LL) {
      ++result.submitted;
      counted.insert(event.request);
    }
    if (event.type == EventType::kAnswer && counted.contains(event.request) &&
        event.outcome == Outcome::kRan) {
      ++result.accepted;
    }
  }
  result.violations = CheckAll(history);
  return result;
}

}  // namespace cassiakeel::history
