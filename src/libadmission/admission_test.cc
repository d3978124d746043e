#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
#include <cstdio>
#include <ctime>
#include <set>

#include "cassiakeel/admission/state.h"
#include "cassiakeel/base/alter_text.h"

namespace cassiakeel::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SteadyTime kStartTime{std::chrono::hours(1)};
// A time after the end of slow start.
constexpr SteadyTime kAfterRamp = kStartTime + seconds(20);

Work MakeWork(std::uint64_t ticket, RequestClass request_class, double rank) {
  Work work;
  work.ticket = TicketId(ticket);
  work.request_class = request_class;
  work.shed_rank = rank;
  work.deadline = kAfterRamp + seconds(60);
  work.max_wait = seconds(10);
  return work;
}

Config MakeConfig(int slots, int queue_capacity = 256) {
  Config config;
  config.slots = Slots(slots);
  config.queue_capacity = queue_capacity;
  return config;
}

}  // namespace

// Guards against head-of-line blocking: long calls must neither take the
// reserved slots nor delay short calls while they are queued.
TEST_CASE("long work leaves the reserved slots free") {
  Config config = MakeConfig(4);
  config.short_reserved = Slots(2);
  config.long_share = Percent(100);
  auto state = MakeState(config, kStartTime);
  for (std::uint64_t i = 1; i <= 3; ++i) {
    auto work = MakeWork(i, RequestClass::kCritical, 0.5);
    work.length = WorkLength::kLong;
    CHECK(Offer(state, work, kAfterRamp).verdict ==
          (i <= 2 ? Verdict::kStart : Verdict::kQueue));
  }
  CHECK(Offer(state, MakeWork(4, RequestClass::kBackground, 0), kAfterRamp)
            .verdict == Verdict::kStart);
}

// Guards against shedding critical work while less important work is queued.
TEST_CASE("a full queue drops its least important call first") {
  auto state = MakeState(MakeConfig(1, 3), kStartTime);
  Offer(state, MakeWork(1, RequestClass::kInternal, 0.5), kAfterRamp);
  Offer(state, MakeWork(2, RequestClass::kInternal, 0.4), kAfterRamp);
  Offer(state, MakeWork(3, RequestClass::kBackground, 0.9), kAfterRamp);
  Offer(state, MakeWork(4, RequestClass::kInternal, 0.3), kAfterRamp);
  const auto displaced = [&](std::uint64_t ticket, RequestClass request_class,
                             double rank) -> std::uint64_t {
    if (Offer(state, MakeWork(ticket, request_class, rank), kAfterRamp)
            .verdict == Verdict::kRefuse) {
      return ticket;
    }
    REQUIRE(*NextEvent(state) <= kAfterRamp);
    const auto decisions = Advance(state, kAfterRamp);
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].reason == Reason::kQueueFull);
    CHECK(decisions[0].retry_after.count() > 0);
    return decisions[0].ticket.Value();
  };
  CHECK(displaced(5, RequestClass::kCritical, 0.0) == 3);
  CHECK(displaced(6, RequestClass::kInternal, 0.2) == 6);
  CHECK(displaced(7, RequestClass::kInternal, 0.8) == 4);
  CHECK(displaced(8, RequestClass::kInteractive, 0.0) == 2);
  CHECK(displaced(9, RequestClass::kCritical, 0.1) == 7);
  CHECK(displaced(10, RequestClass::kCritical, 0.2) == 8);
  CHECK(displaced(11, RequestClass::kCritical, 0.3) == 5);
  const auto next = Finish(state, TicketId(1), {}, kAfterRamp);
  REQUIRE(next.size() == 1);
  CHECK(next[0].verdict == Verdict::kStart);
}

// Guards against new work on a draining backend server (invariant I6) and
// against queued calls that never get a decision.
TEST_CASE("a draining endpoint refuses new and queued calls at once") {
  auto state = MakeState(MakeConfig(1), kStartTime);
  Offer(state, MakeWork(1, RequestClass::kCritical, 0.5), kAfterRamp);
  Offer(state, MakeWork(2, RequestClass::kCritical, 0.5), kAfterRamp);
  SetLeaving(state, true);
  REQUIRE(NextEvent(state).has_value());
  // Must not be near the minimum of SteadyTime, because a timer subtracts the
  // current time from it.
  CHECK(*NextEvent(state) <= kAfterRamp);
  CHECK(*NextEvent(state) >= kStartTime);
  const auto decisions = Advance(state, kAfterRamp);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].reason == Reason::kLeaving);
  CHECK(Offer(state, MakeWork(3, RequestClass::kCritical, 0.5), kAfterRamp)
            .reason == Reason::kLeaving);
  CHECK(Finish(state, TicketId(1), {}, kAfterRamp).empty());
  CHECK(LoadOf(state, kAfterRamp).in_flight == 0);
}

// Guards against a newly started server getting its full load at once.
TEST_CASE(
    "slow start grows the limit from a quarter of the slots over ten seconds") {
  const auto state = MakeState(MakeConfig(200), kStartTime);
  CHECK(LoadOf(state, kStartTime).limit == 50);
  CHECK(LoadOf(state, kStartTime + seconds(5)).limit == 125);
  CHECK(LoadOf(state, kStartTime + seconds(10)).limit == 200);
}

// Guards against refused callers retrying at once or all at the same time.
TEST_CASE("every refusal has a retry-after that varies with the shed rank") {
  std::set<milliseconds::rep> waits;
  for (int i = 0; i < 100; ++i) {
    auto state = MakeState(MakeConfig(1), kStartTime);
    auto work = MakeWork(1, RequestClass::kInternal, i / 100.0);
    work.deadline = kAfterRamp;
    const auto decision = Offer(state, work, kAfterRamp);
    REQUIRE(decision.verdict == Verdict::kRefuse);
    CHECK(decision.retry_after.count() > 0);
    waits.insert(decision.retry_after.count());
  }
  CHECK(waits.size() >= 50);
}

// Guards against starting work whose caller no longer waits, and against
// entries that stay queued past their maximum wait.
TEST_CASE("a queued call ends at its maximum wait, its deadline or on cancel") {
  auto state = MakeState(MakeConfig(1), kStartTime);
  Offer(state, MakeWork(1, RequestClass::kInternal, 0.5), kAfterRamp);
  auto work = MakeWork(2, RequestClass::kInternal, 0.5);
  work.max_wait = milliseconds(50);
  Offer(state, work, kAfterRamp);
  work.ticket = TicketId(3);
  work.deadline = kAfterRamp + milliseconds(40);
  Offer(state, work, kAfterRamp);
  Offer(state, MakeWork(4, RequestClass::kInternal, 0.5), kAfterRamp);
  CHECK(Cancel(state, TicketId(4), kAfterRamp).empty());
  const auto at_deadline = Advance(state, kAfterRamp + milliseconds(40));
  REQUIRE(at_deadline.size() == 1);
  CHECK(at_deadline[0].reason == Reason::kDeadline);
  const auto at_wait = Advance(state, kAfterRamp + milliseconds(50));
  REQUIRE(at_wait.size() == 1);
  CHECK(at_wait[0].reason == Reason::kOverload);
  CHECK_FALSE(NextEvent(state).has_value());
  CHECK(Finish(state, TicketId(99), {}, kAfterRamp).empty());
}

// Guards against one kind of work taking all slots of its endpoint.
TEST_CASE("a kind holds at most its share of the slots") {
  auto state = MakeState(MakeConfig(10), kStartTime);
  auto work = MakeWork(0, RequestClass::kCritical, 0.5);
  work.kind = 7;
  work.kind_share = Percent(30);
  for (std::uint64_t i = 1; i <= 4; ++i) {
    work.ticket = TicketId(i);
    CHECK(Offer(state, work, kAfterRamp).verdict ==
          (i <= 3 ? Verdict::kStart : Verdict::kQueue));
  }
  CHECK(Offer(state, MakeWork(5, RequestClass::kBackground, 0), kAfterRamp)
            .verdict == Verdict::kStart);
  CHECK(Finish(state, TicketId(5), {}, kAfterRamp).empty());
  CHECK(Finish(state, TicketId(1), {}, kAfterRamp).size() == 1);
}

// Guards against a limit that ignores refusals by the backend server itself.
TEST_CASE("the limit falls below what the backend server refused") {
  auto state = MakeState(MakeConfig(100), kStartTime);
  for (std::uint64_t i = 1; i <= 20; ++i) {
    Offer(state, MakeWork(i, RequestClass::kCritical, 0.5), kAfterRamp);
  }
  Completion refused;
  refused.refused_by_server = true;
  Finish(state, TicketId(1), refused, kAfterRamp);
  Advance(state, kAfterRamp + milliseconds(200));
  CHECK(LoadOf(state, kAfterRamp + milliseconds(200)).limit < 20);
}

// Guards against lost or repeated decisions and leaked slots: in any order of
// operations, every call ends exactly once and all slots are free at the end.
TEST_CASE("every call ends exactly once in any order of operations") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Rng rng(seed);
    Config config = MakeConfig(1 + static_cast<int>(rng() % 12), 6);
    config.short_reserved = Slots(static_cast<int>(rng() % 3));
    auto state = MakeState(config, kStartTime);
    auto now = kStartTime;
    std::set<std::uint64_t> queued;
    std::set<std::uint64_t> running;
    const auto apply = [&](const Decision& decision) {
      const auto id = decision.ticket.Value();
      REQUIRE(queued.erase(id) == 1);
      if (decision.verdict == Verdict::kStart) {
        running.insert(id);
      } else {
        REQUIRE(decision.verdict == Verdict::kRefuse);
        REQUIRE(decision.retry_after.count() > 0);
      }
    };
    const auto apply_all = [&](const std::vector<Decision>& decisions) {
      for (const auto& decision : decisions) {
        apply(decision);
      }
    };
    const auto pick = [&](const std::set<std::uint64_t>& from) {
      return TicketId(*std::next(
          from.begin(), static_cast<std::ptrdiff_t>(rng() % from.size())));
    };
    for (std::uint64_t i = 1; i <= 3000; ++i) {
      now += std::chrono::microseconds(rng() % 4000);
      auto work = MakeWork(i, kAllRequestClasses[rng() % 4], UniformUnit(rng));
      work.length = rng() % 3 == 0 ? WorkLength::kLong : WorkLength::kShort;
      work.deadline = now + milliseconds(rng() % 100);
      work.max_wait = milliseconds(rng() % 60);
      work.kind = rng() % 3;
      work.kind_share = Percent(work.kind == 2 ? 40 : 100);
      queued.insert(i);
      const auto decision = Offer(state, work, now);
      if (decision.verdict != Verdict::kQueue) {
        apply(decision);
      }
      if (rng() % 2 == 0 && !running.empty()) {
        const auto ticket = pick(running);
        running.erase(ticket.Value());
        Completion completion;
        completion.service_time = milliseconds(1 + rng() % 20);
        apply_all(Finish(state, ticket, completion, now));
      }
      // Decisions of Offer on other calls must be applied before the next
      // operation.
      apply_all(Advance(state, now));
      if (rng() % 20 == 0 && !queued.empty()) {
        const auto ticket = pick(queued);
        queued.erase(ticket.Value());
        apply_all(Cancel(state, ticket, now));
      }
      REQUIRE(state.running.size() == running.size());
      REQUIRE(state.queues.entries.size() == queued.size());
      REQUIRE(static_cast<int>(running.size()) <= config.slots.Value());
    }
    while (!running.empty()) {
      const auto ticket = pick(running);
      running.erase(ticket.Value());
      apply_all(Cancel(state, ticket, now));
    }
    apply_all(Advance(state, now + seconds(10)));
    CHECK(queued.empty());
    CHECK(state.kind_in_flight.empty());
    CHECK(state.long_in_flight == 0);
  }
}

// Guards against crashes on, and acceptance of, corrupted load headers.
TEST_CASE(
    "a load header survives format and parse, and corrupt ones are safe") {
  const Load load{3, 20, 7, RequestClass::kInternal, true};
  const auto text = FormatLoad(load);
  const auto parsed = ParseLoad(text);
  REQUIRE(parsed.has_value());
  CHECK(FormatLoad(*parsed) == text);
  Rng rng(5);
  for (int i = 0; i < 50000; ++i) {
    if (const auto result = ParseLoad(AlterText(text, rng))) {
      CHECK(result->in_flight >= 0);
      CHECK(result->limit >= 0);
    }
  }
  CHECK_FALSE(ParseLoad(text + ", limit=9").has_value());
  CHECK_FALSE(ParseLoad("limit=9").has_value());
  CHECK(ParseLoad(text + ", later=1").has_value());
}

// Guards against admission decisions that add noticeable latency to a call. The
// bound is checked in optimized builds only.
TEST_CASE("a decision takes less than two microseconds") {
  Config config = MakeConfig(200);
  auto state = MakeState(config, kStartTime);
  Rng rng(3);
  constexpr int kRounds = 200000;
  std::vector<TicketId> running;
  const auto begin = std::clock();
  auto now = kAfterRamp;
  // Two calls are offered for each one that ends, so that the queue is always
  // full.
  for (int i = 1; i <= kRounds; ++i) {
    now += std::chrono::microseconds(10);
    auto work = MakeWork(static_cast<std::uint64_t>(i),
                         kAllRequestClasses[rng() % 4], UniformUnit(rng));
    work.max_wait = milliseconds(100);
    const auto collect = [&](const Decision& decision) {
      if (decision.verdict == Verdict::kStart) {
        running.push_back(decision.ticket);
      }
    };
    collect(Offer(state, work, now));
    if (i % 2 == 0 && !running.empty()) {
      std::swap(running[rng() % running.size()], running.back());
      const auto ticket = running.back();
      running.pop_back();
      Completion completion;
      completion.service_time = milliseconds(4);
      for (const auto& decision : Finish(state, ticket, completion, now)) {
        collect(decision);
      }
    }
  }
  // CPU time, because other processes on the machine affect wall-clock time.
  const std::chrono::duration<double, std::micro> per_decision(
      static_cast<double>(std::clock() - begin) * 1e6 / CLOCKS_PER_SEC /
      (kRounds * 1.5));
  std::printf("admission: %.2f microseconds per decision with a full queue\n",
              per_decision.count());
#ifdef NDEBUG
  CHECK(per_decision.count() < 2.0);
#endif
}

// Guards against shedding everything after a window without a started call,
// which occurs when the calls of an initial burst run concurrently and none has
// ended.
TEST_CASE(
    "a window without a start sheds by the average of the previous ones") {
  ShedState state;
  state.window_start = kStartTime;
  state.starts = 100;
  SteadyTime now = kStartTime;
  for (int window = 0; window < kStartWindows; ++window) {
    // 40 arrivals per window, evenly spread over the least important class.
    for (int i = 0; i < 40; ++i) {
      CountArrival(state, (i + 0.5) / 40);
    }
    now += milliseconds(100);
    UpdateShedLevel(state, true, now);
  }
  // 20 starts per window on average; 20% more are admitted.
  CHECK(state.level == Approx(1 - 24.0 / 40).margin(0.05));
}

// Guards against slow start for a server that was already running when its node
// restarted, and against a limit that falls because calls to other services are
// slow.
TEST_CASE("a fixed limit starts at the ceiling and stays there") {
  Config config;
  config.slots = Slots(10);
  config.ramp_time = std::chrono::nanoseconds(0);
  config.adaptive = false;
  SteadyTime now{std::chrono::hours(1)};
  State state = MakeState(config, now);
  CHECK(LoadOf(state, now).limit == 10);
  for (std::uint64_t i = 1; i < 400; ++i) {
    Work work;
    work.ticket = TicketId(i);
    work.deadline = now + std::chrono::seconds(60);
    Offer(state, work, now);
    now += std::chrono::milliseconds(20);
    Completion completion;
    completion.service_time = std::chrono::milliseconds(i < 200 ? 5 : 500);
    Finish(state, work.ticket, completion, now);
  }
  CHECK(LoadOf(state, now).limit == 10);
}

}  // namespace cassiakeel::admission
