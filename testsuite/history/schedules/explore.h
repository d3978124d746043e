#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include "check.h"
#include "schedule.h"
#include "simulation.h"

namespace cassiakeel::history {

/// Totals over all generated schedules, excluding those run to shrink a
/// finding.
struct ExploreCounts {
  std::int64_t schedules = 0;
  std::int64_t events = 0;
  std::int64_t submissions = 0;
  std::int64_t runs = 0;
  std::array<std::int64_t, kFaultKindCount> faults{};
};

/// The smallest schedule found that violates an invariant.
struct Finding {
  Schedule schedule;
  Violation violation;
};

/// Which schedules are generated.
enum class Profile {
  /// Runs of a few minutes with up to four faults, alone, overlapping or
  /// starting at the same time.
  kFaults,
  /// Store outages of hours, after which any node may expire a lease.
  kOutages,
};

/// Generates `count` schedules from `seed`, runs them and checks their
/// histories. Stops at the first violation and shrinks its schedule.
std::optional<Finding> Explore(Profile profile,
                               int count,
                               std::uint64_t seed,
                               const RunOptions& options,
                               ExploreCounts& counts);

/// How many first submissions of a key are answered as run during a store
/// outage of one hour, where `crashed` of `nodes` nodes crash at its start.
struct OutageResult {
  std::int64_t submitted = 0;
  std::int64_t accepted = 0;
  Violations violations;
};
OutageResult MeasureOutage(int nodes, int crashed, std::uint32_t seed);

}  // namespace cassiakeel::history
