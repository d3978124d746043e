#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <sstream>

#include "explore.h"
#include "worker.h"

namespace cassiakeel::history {
namespace {

// Sanitizers make a schedule about ten times slower; only the release build
// runs all of them.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::int64_t kSchedules = 40;
#else
constexpr std::int64_t kSchedules = 200;
#endif

/// Fails the test with all that is needed to reproduce the finding, if any.
void FailOnFinding(const std::optional<Finding>& finding) {
  if (finding) {
    std::ostringstream text;
    text << finding->violation.invariant << ": " << finding->violation.message
         << "\n"
         << FormatHistory(finding->violation.excerpt) << finding->schedule;
    FAIL_CHECK(text.str());
  }
}

}  // namespace

// Guards against simulated processes, each with a thread, that stay to the end
// of the program because their worker keeps the last job, which owns them.
TEST_CASE("a worker releases a job that has ended or was killed") {
  Worker worker;
  const auto owned = std::make_shared<int>(0);
  worker.Start([owned] {});
  CHECK(owned.use_count() == 1);
  worker.Start([owned, &worker] { worker.Yield(); });
  CHECK(owned.use_count() == 2);
  worker.Resume();
  CHECK(owned.use_count() == 1);
  worker.Start([owned, &worker] { worker.Yield(); });
  worker.Kill();
  CHECK(owned.use_count() == 1);
}

// Guards against protocol errors that show only in combinations of leases,
// handoffs, lost answers, pauses and clock errors.
TEST_CASE("no generated fault schedule violates an invariant") {
  ExploreCounts counts;
  FailOnFinding(Explore(Profile::kFaults, static_cast<int>(kSchedules),
                        20261204, RunOptions(), counts));
  CHECK(counts.schedules == kSchedules);
  CHECK(counts.runs > 50 * kSchedules);
}

// Guards against two owners of a shard after an outage that is long enough for
// any node to expire a lease.
TEST_CASE("no store outage of hours violates an invariant") {
  ExploreCounts counts;
  FailOnFinding(Explore(Profile::kOutages, 4, 20261204, RunOptions(), counts));
}

// Guards against a simulation that does not detect wrong variants of the
// protocol.
TEST_CASE("generated schedules detect wrong variants of the protocol") {
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

// Generated schedules need more than a thousand runs to detect these two
// variants.
TEST_CASE("hand-written schedules detect wrong variants of the protocol") {
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
  bool detected = false;
  for (std::uint32_t seed = 1; seed <= 100 && !detected; ++seed) {
    schedule.seed = seed;
    for (int call = 0; call < 6 && !detected; ++call) {
      schedule.faults.front().amount = call;
      const Violations found = CheckAll(Simulation(schedule, options).Run());
      detected = !found.empty() && found.front().invariant == "I5";
    }
  }
  CHECK(detected);
}

}  // namespace cassiakeel::history
