#include <rapidcheck.h>

#include "entry_level.h"
#include "mesh_test_support.h"
#include "retry_quota.h"

namespace cassiakeel::mesh {
namespace {

using std::chrono::milliseconds;

// One second of work at two positions, all of which wants a repeat; returns how
// many each position got.
std::pair<int, int> TakeForASecond(pvt::RetryQuota& quota, SteadyTime start) {
  const ServiceName service("s");
  std::pair<int, int> got;
  for (int i = 0; i < 100; ++i) {
    const auto now = start + milliseconds(10) * i;
    quota.NoteFirst(service, now);
    quota.NoteFirst(service, now);
    got.first += quota.Take(service, 3.5, now) ? 1 : 0;
    got.second += quota.Take(service, 1.5, now) ? 1 : 0;
  }
  return got;
}

}  // namespace

TEST_CASE("repeats of all nodes together stay below the bound in any window") {
  rc::check("shares add up to less than the bound", [] {
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
      quota.NoteFirst(service, now);
      events.emplace_back(now, false);
      if (quota.Take(service, (step % 30) / 10.0, now)) {
        events.emplace_back(now, true);
      }
      // The bound's requests may be counted up to half a window earlier.
      int repeats = 0;
      int firsts = 0;
      for (const auto& [at, repeat] : events) {
        if (repeat && now - at < bounds.window) {
          ++repeats;
        }
        if (!repeat && now - at < bounds.window * 3 / 2) {
          ++firsts;
        }
      }
      RC_ASSERT(repeats <= firsts * bounds.ratio + bounds.slack);
    }
  });
}

TEST_CASE("scarce repeats go to the most important work") {
  pvt::RetryQuota quota;
  quota.SetBounds({0.2, std::chrono::seconds(10), 0}, 1);
  int important = 0;
  int other = 0;
  SteadyTime now{std::chrono::hours(1)};
  for (int i = 0; i < 20; ++i) {
    const auto got = TakeForASecond(quota, now);
    now += std::chrono::seconds(1);
    important += got.first;
    other += got.second;
  }
  // A tenth of 200 first arrivals a second is allowed.
  CHECK(important > 250);
  CHECK(other < 20);
}

TEST_CASE("calls of a repeated run use up the share of the next hop") {
  pvt::RetryQuota quota;
  quota.SetBounds({0.2, std::chrono::seconds(10), 0}, 1);
  const ServiceName service("s");
  const SteadyTime now{std::chrono::hours(1)};
  for (int i = 0; i < 100; ++i) {
    quota.NoteFirst(service, now);
  }
  for (int i = 0; i < 9; ++i) {
    quota.NoteInherited(service, now);
  }
  CHECK(quota.Take(service, 3.5, now));
  CHECK_FALSE(quota.Take(service, 3.5, now));
}

TEST_CASE("an entry level rises with what requests meet and falls by itself") {
  pvt::EntryLevels levels;
  SteadyTime now{std::chrono::hours(1)};
  CHECK(levels.LevelOf("r", now) == 0);
  for (int i = 0; i < 20; ++i) {
    levels.Note("r", 1.6, now);
  }
  CHECK(levels.LevelOf("r", now) == Approx(1.6).margin(0.1));
  CHECK(levels.LevelOf("other", now) == 0);
  now += std::chrono::seconds(1);
  const double later = levels.LevelOf("r", now);
  CHECK(later < 1.4);
  CHECK(later > 0.8);
  CHECK(levels.LevelOf("r", now + std::chrono::seconds(10)) == 0);
}

}  // namespace cassiakeel::mesh
