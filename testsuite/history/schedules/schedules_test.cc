#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <sstream>

#include "explore.h"

namespace cassiakeel::history {
namespace {

// Sanitizers make a schedule ten times as slow; the release build runs all.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::int64_t kSchedules = 40;
#else
constexpr std::int64_t kSchedules = 200;
#endif

/// Prints what is needed to repeat a finding.
void CheckNothingFound(const std::optional<Finding>& finding) {
  if (finding) {
    std::ostringstream text;
    text << finding->violation.invariant << ": " << finding->violation.message
         << "\n"
         << FormatHistory(finding->violation.part) << finding->schedule;
    FAIL_CHECK(text.str());
  }
}

}  // namespace

// Guards against faults of the protocol that show only when leases, handoffs,
// lost answers, pauses and clocks meet.
TEST_CASE("no schedule of faults breaks an invariant") {
  ExploreCounts counts;
  CheckNothingFound(Explore(Profile::kFaults, static_cast<int>(kSchedules),
                            20261204, RunOptions(), counts));
  CHECK(counts.schedules == kSchedules);
  CHECK(counts.runs > 50 * kSchedules);
}

// Guards against two owners after the time in which any node may expire a
// lease.
TEST_CASE("no outage of hours breaks an invariant") {
  ExploreCounts counts;
  CheckNothingFound(
      Explore(Profile::kOutages, 4, 20261204, RunOptions(), counts));
}

// Guards against a harness that does not notice wrong forms of the protocol.
TEST_CASE("wrong variants of the protocol are caught by generated schedules") {
  const auto variant = GENERATE(
      once::Variant::kNoIssueTimeCheck, once::Variant::kEarlyKeysKnownAfter,
      once::Variant::kExpireWithoutGrantor, once::Variant::kNoDispatchDeadline,
      once::Variant::kNoJoin, once::Variant::kHandoffWithoutTable,
      once::Variant::kGrantWhileExpiring);
  CAPTURE(static_cast<int>(variant));
  RunOptions options;
  options.variant = variant;
  options.shrink = false;
  ExploreCounts counts;
  const auto finding = Explore(Profile::kFaults, 600, 3, options, counts);
  REQUIRE(finding.has_value());
  CHECK(finding->violation.invariant == "I5");
}

// Generated schedules need more than a thousand runs to meet these two.
TEST_CASE("wrong variants of the protocol are caught by chosen schedules") {
  RunOptions options;
  Schedule schedule;
  schedule.nodes = 2;
  SECTION("the node that fails a shard over has a wrong wall clock") {
    options.variant = once::Variant::kNoOffsetCheck;
    schedule.faults = {{FaultKind::kWallJump, 59, 110, 1, 0},
                       {FaultKind::kCrash, 60, 100, 0, 0}};
  }
  SECTION("the holder is paused before it reads the answer of a renewal") {
    options.variant = once::Variant::kCountFromAnswer;
    schedule.faults = {{FaultKind::kPauseAtCall, 60, 40, 1, 1},
                       {FaultKind::kCutFromStore, 61, 110, 1, 0}};
  }
  bool caught = false;
  for (std::uint32_t seed = 1; seed <= 100 && !caught; ++seed) {
    schedule.seed = seed;
    for (int call = 0; call < 6 && !caught; ++call) {
      schedule.faults.front().amount = call;
      const Violations found = CheckAll(World(schedule, options).Run());
      caught = !found.empty() && found.front().invariant == "I5";
    }
  }
  CHECK(caught);
}

}  // namespace cassiakeel::history
