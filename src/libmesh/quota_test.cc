#include <rapidcheck.h>

#include "entry_shed_level.h"
#include "mesh_test_support.h"
#include "retry_quota.h"

namespace cassiakeel::mesh {
namespace {

using std::chrono::milliseconds;

// Simulates one second of work at two positions in the shedding order that
// requests a retry for every call. Returns the retries granted to each
// position.
std::pair<int, int> TakeRetriesForOneSecond(pvt::RetryQuota& quota,
                                            SteadyTime start) {
  const ServiceName service("s");
  std::pair<int, int> granted;
  for (int i = 0; i < 100; ++i) {
    const auto now = start + milliseconds(10) * i;
    quota.RecordFirstAttempt(service, now);
    quota.RecordFirstAttempt(service, now);
    granted.first += quota.TakeRetry(service, 3.5, now) ? 1 : 0;
    granted.second += quota.TakeRetry(service, 1.5, now) ? 1 : 0;
  }
  return granted;
}

}  // namespace

TEST_CASE("retries of all nodes together stay below the bound in any window") {
  rc::check("the sum of all shares is at most the bound", [] {
    const int nodes = *rc::gen::inRange(1, 12);
    const RetryBounds bounds{0.2, std::chrono::seconds(10),
                             static_cast<double>(*rc::gen::inRange(0, 60))};
    std::vector<pvt::RetryQuota> quotas(static_cast<std::size_t>(nodes));
    for (auto& quota : quotas) {
      quota.SetBounds(bounds, static_cast<std::size_t>(nodes));
    }
    const ServiceName service("s");
    SteadyTime now{std::chrono::hours(1)};
    std::deque<std::pair<SteadyTime, bool>> events;
    const auto steps =
        *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 1000));
    for (const int step : steps) {
      now += milliseconds(step % 97);
      auto& quota = quotas[static_cast<std::size_t>(step % nodes)];
      quota.RecordFirstAttempt(service, now);
      events.emplace_back(now, false);
      if (quota.TakeRetry(service, (step % 30) / 10.0, now)) {
        events.emplace_back(now, true);
      }
      // First attempts may be counted up to half a window earlier.
      int retries = 0;
      int first_attempts = 0;
      for (const auto& [at, is_retry] : events) {
        if (is_retry && now - at < bounds.window) {
          ++retries;
        }
        if (!is_retry && now - at < bounds.window * 3 / 2) {
          ++first_attempts;
        }
      }
      RC_ASSERT(retries <= first_attempts * bounds.ratio + bounds.slack);
    }
  });
}

TEST_CASE("scarce retries go to the most important work") {
  pvt::RetryQuota quota;
  quota.SetBounds({0.2, std::chrono::seconds(10), 0}, 1);
  int important = 0;
  int other = 0;
  SteadyTime now{std::chrono::hours(1)};
  for (int i = 0; i < 20; ++i) {
    const auto granted = TakeRetriesForOneSecond(quota, now);
    now += std::chrono::seconds(1);
    important += granted.first;
    other += granted.second;
  }
  // One retry per ten first attempts is allowed, at 200 first attempts per
  // second.
  CHECK(important > 250);
  CHECK(other < 20);
}

TEST_CASE("downstream calls of a retried call count against the quota") {
  pvt::RetryQuota quota;
  quota.SetBounds({0.2, std::chrono::seconds(10), 0}, 1);
  const ServiceName service("s");
  const SteadyTime now{std::chrono::hours(1)};
  for (int i = 0; i < 100; ++i) {
    quota.RecordFirstAttempt(service, now);
  }
  for (int i = 0; i < 9; ++i) {
    quota.RecordInheritedRetry(service, now);
  }
  CHECK(quota.TakeRetry(service, 3.5, now));
  CHECK_FALSE(quota.TakeRetry(service, 3.5, now));
}

TEST_CASE(
    "an entry shed level rises with reported levels and decays over time") {
  pvt::EntryShedLevels levels;
  SteadyTime now{std::chrono::hours(1)};
  CHECK(levels.LevelFor("r", now) == 0);
  for (int i = 0; i < 20; ++i) {
    levels.Record("r", 1.6, NodeId("n"), now);
  }
  CHECK(levels.LevelFor("r", now) == Approx(1.6).margin(0.1));
  CHECK(levels.LevelFor("other", now) == 0);
  CHECK(levels.LastRaisedBy("r") == NodeId("n"));
  CHECK(levels.LastRaisedBy("other") == NodeId());
  now += std::chrono::seconds(1);
  const double later = levels.LevelFor("r", now);
  CHECK(later < 1.4);
  CHECK(later > 0.8);
  CHECK(levels.LevelFor("r", now + std::chrono::seconds(10)) == 0);
}

// Guards against requests refused at entry because one of several servers is
// delayed: after a restart of all servers of a service, the last one to recover
// kept the level up for seconds although the others had free slots.
TEST_CASE("an entry shed level stays below that of the most delayed server") {
  pvt::EntryShedLevels levels;
  SteadyTime now{std::chrono::hours(1)};
  double sum = 0;
  for (int i = 0; i < 300; ++i) {
    now += std::chrono::milliseconds(50);
    levels.Record("r", i % 3 == 0 ? 2.0 : 0.0,
                  NodeId(i % 3 == 0 ? "delayed" : "idle"), now);
    sum += levels.LevelFor("r", now) / 300;
  }
  CHECK(sum > 0.6);
  CHECK(sum < 1.4);
  CHECK(levels.LastRaisedBy("r") == NodeId("delayed"));
  // Once it has recovered, the next two dozen results clear the level.
  for (int i = 0; i < 24; ++i) {
    levels.Record("r", 0, NodeId("delayed"), now);
  }
  CHECK(levels.LevelFor("r", now) < 0.2);
}

}  // namespace cassiakeel::mesh
