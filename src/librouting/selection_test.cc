#include "cassiakeel/routing/selection.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <ctime>
#include <queue>
#include <set>
#include <string>

namespace cassiakeel::routing {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr SteadyTime kStart{std::chrono::hours(1)};

Endpoint MakeEndpoint(int number, const std::string& zone = "a") {
  Endpoint endpoint;
  endpoint.node = NodeId("n" + std::to_string(number));
  endpoint.zone = ZoneName(zone);
  return endpoint;
}

Pool MakePool(int count, int zones = 1) {
  Pool pool;
  pool.self = NodeId("elsewhere");
  std::vector<Endpoint> endpoints;
  endpoints.reserve(static_cast<std::size_t>(count));
  for (int zone = 0; zone < zones; ++zone) {
    pool.distance[ZoneName(std::string(1, static_cast<char>('a' + zone)))] =
        microseconds(200 + 1000 * zone);
  }
  for (int i = 0; i < count; ++i) {
    endpoints.push_back(
        MakeEndpoint(i, std::string(1, static_cast<char>('a' + i % zones))));
  }
  UpdateEndpoints(pool, endpoints);
  return pool;
}

Answer MakeAnswer(nanoseconds latency) {
  Answer answer;
  answer.latency = latency;
  return answer;
}

// Open-loop calls of one ingress node to `pool`; the first `slow` endpoints
// take ten times as long. Returns the latencies in milliseconds, sorted, from
// the first call on, when nothing is known of the endpoints yet.
std::vector<double> RunCalls(Pool pool,
                             double rate,
                             int slow,
                             bool random_choice) {
  constexpr double kServiceMs = 10;
  Rng rng(42);
  using End = std::tuple<double, std::size_t, double>;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
  std::vector<double> latencies;
  const auto time = [](double ms) {
    return kStart + nanoseconds(static_cast<std::int64_t>(ms * 1e6));
  };
  for (double now = 0; now < 60000;) {
    now += std::exponential_distribution<double>(rate / 1000)(rng);
    while (!ends.empty() && std::get<0>(ends.top()) <= now) {
      const auto [at, index, latency] = ends.top();
      ends.pop();
      OnAnswer(
          pool, pool.endpoints[index].node,
          MakeAnswer(nanoseconds(static_cast<std::int64_t>(latency * 1e6))),
          time(at));
    }
    const auto index = random_choice
                           ? rng() % pool.endpoints.size()
                           : *SelectEndpoint(pool, {}, time(now), rng).endpoint;
    OnDispatch(pool, pool.endpoints[index].node, time(now));
    double latency = std::exponential_distribution<double>(1 / kServiceMs)(rng);
    latency *= static_cast<int>(index) < slow ? 10 : 1;
    latency += pool.distance_ns[index] / 1e6;
    ends.emplace(now + latency, index, latency);
    latencies.push_back(latency);
  }
  std::sort(latencies.begin(), latencies.end());
  return latencies;
}

double P99(const std::vector<double>& latencies) {
  return latencies[latencies.size() * 99 / 100];
}

// A call to `node` is refused at `kStart` because its server leaves.
void AnswerLeaving(Pool& pool, const NodeId& node) {
  Answer leaving;
  leaving.outcome = Outcome::kNotRun;
  leaving.reason = Reason::kLeaving;
  OnDispatch(pool, node, kStart);
  OnAnswer(pool, node, leaving, kStart);
}

}  // namespace

// Guards against tail latency that a few slowed backend servers cause.
TEST_CASE("a quarter of slowed endpoints hardly shows in the p99") {
  // The second rate is that of one node at the target size.
  for (const auto& [zones, rate] :
       std::vector<std::pair<int, double>>{{1, 500}, {4, 93}}) {
    const auto p99 = [zones = zones, rate = rate](int slow, bool random) {
      return P99(RunCalls(MakePool(16, zones), rate, slow, random));
    };
    const double healthy = p99(0, false);
    const double slowed = p99(4, false);
    std::printf(
        "slow-servers, %d zones, %.0f calls/s: p99 healthy %.1f ms, a quarter "
        "slowed %.1f ms (x%.2f); random choice %.1f ms\n",
        zones, rate, healthy, slowed, slowed / healthy, p99(4, true));
    CHECK(slowed <= 1.5 * healthy);
  }
}

// Guards against sending a request twice to the same node, or to one that
// leaves (I6).
TEST_CASE("tried and leaving endpoints are never chosen") {
  Pool pool = MakePool(3);
  Rng rng(1);
  AnswerLeaving(pool, NodeId("n1"));
  const std::vector<NodeId> tried = {NodeId("n0")};
  SelectionRequest request;
  request.tried = tried;
  for (int i = 0; i < 100; ++i) {
    CHECK(SelectEndpoint(pool, request, kStart, rng).endpoint == 2u);
  }
  const std::vector<NodeId> all = {NodeId("n0"), NodeId("n2")};
  request.tried = all;
  CHECK(SelectEndpoint(pool, request, kStart, rng).reason ==
        Reason::kNoEndpoint);
}

// Guards against excluding so many endpoints that the rest is overloaded.
TEST_CASE("ejection and suspicion leave out at most 30 percent") {
  Pool pool = MakePool(10);
  Rng rng(1);
  auto endpoints = pool.endpoints;
  for (auto& endpoint : endpoints) {
    endpoint.suspected = true;
  }
  const auto reachable = [&](Pool& of, SteadyTime now) {
    std::set<std::size_t> chosen;
    for (int i = 0; i < 1000; ++i) {
      chosen.insert(*SelectEndpoint(of, {}, now, rng).endpoint);
    }
    return chosen.size();
  };
  Pool suspected = pool;
  UpdateEndpoints(suspected, endpoints);
  CHECK(reachable(suspected, kStart) == 7);
  for (const auto& endpoint : pool.endpoints) {
    OnDispatch(pool, endpoint.node, kStart);
    OnFailure(pool, endpoint.node, Reason::kConnectFailed, kStart);
  }
  CHECK(reachable(pool, kStart) == 7);
  // Suspected and ejected endpoints must not add up to more.
  auto three = pool.endpoints;
  three[7].suspected = three[8].suspected = three[9].suspected = true;
  UpdateEndpoints(pool, three);
  CHECK(reachable(pool, kStart) == 7);
  // The only endpoint stays in use.
  Pool single = MakePool(1);
  OnDispatch(single, NodeId("n0"), kStart);
  OnFailure(single, NodeId("n0"), Reason::kConnectFailed, kStart);
  CHECK(SelectEndpoint(single, {}, kStart, rng).endpoint == 0u);
}

// Guards against an ejected endpoint that never returns, and against probes
// that hit a failing one again and again.
TEST_CASE("an ejected endpoint is probed after 1, 2 and 4 seconds") {
  Pool pool = MakePool(4);
  Rng rng(1);
  const NodeId node("n0");
  OnDispatch(pool, node, kStart);
  OnFailure(pool, node, Reason::kConnectFailed, kStart);
  auto now = kStart;
  for (const int wait : {1, 2, 4}) {
    for (int i = 0; i < 100; ++i) {
      CHECK(SelectEndpoint(pool, {}, now + seconds(wait) - milliseconds(1), rng)
                .endpoint != 0u);
    }
    now += seconds(wait);
    REQUIRE(SelectEndpoint(pool, {}, now, rng).endpoint == 0u);
    OnDispatch(pool, node, now);
    // One probe at a time.
    CHECK(SelectEndpoint(pool, {}, now, rng).endpoint != 0u);
    OnFailure(pool, node, Reason::kConnectFailed, now);
  }
  now += seconds(8);
  OnDispatch(pool, node, now);
  OnAnswer(pool, node, MakeAnswer(milliseconds(5)), now);
  CHECK_FALSE(pool.stats[0].ejected_until.has_value());
}

// Guards against calls that cross zones without need, and against a near zone
// that is kept although it is overloaded.
TEST_CASE("the near zone is used until its cost exceeds the distance") {
  Pool pool = MakePool(8, 2);
  Rng rng(1);
  for (const auto& endpoint : pool.endpoints) {
    auto answer = MakeAnswer(milliseconds(10));
    answer.load = admission::Load{10, 100, 0, RequestClass::kBackground, false};
    OnDispatch(pool, endpoint.node, kStart);
    OnAnswer(pool, endpoint.node, answer, kStart);
  }
  const auto share_near = [&] {
    int near = 0;
    for (int i = 0; i < 1000; ++i) {
      near += *SelectEndpoint(pool, {}, kStart, rng).endpoint % 2 == 0 ? 1 : 0;
    }
    return near;
  };
  CHECK(share_near() == 1000);
  for (std::size_t i = 0; i < pool.stats.size(); i += 2) {
    pool.stats[i].load.queued = 50;
  }
  CHECK(share_near() == 0);
}

// Guards against sending what all endpoints shed, and against keeping that up
// on old reports.
TEST_CASE("a class that all endpoints shed is refused for a short time") {
  Pool pool = MakePool(3);
  Rng rng(1);
  for (const auto& endpoint : pool.endpoints) {
    Answer answer;
    answer.outcome = Outcome::kNotRun;
    answer.reason = Reason::kOverload;
    answer.load =
        admission::Load{10, 10, 50, RequestClass::kInteractive, false};
    OnDispatch(pool, endpoint.node, kStart);
    OnAnswer(pool, endpoint.node, answer, kStart);
  }
  SelectionRequest request;
  request.request_class = RequestClass::kInternal;
  const auto soon = kStart + milliseconds(10);
  CHECK(SelectEndpoint(pool, request, soon, rng).reason == Reason::kOverload);
  request.request_class = RequestClass::kCritical;
  CHECK(SelectEndpoint(pool, request, soon, rng).endpoint.has_value());
  request.request_class = RequestClass::kInternal;
  CHECK(SelectEndpoint(pool, request, kStart + milliseconds(300), rng)
            .endpoint.has_value());
}

// Guards against an endpoint that refuses quickly and so draws all calls.
TEST_CASE("fast refusals do not count as low latency") {
  Pool pool = MakePool(2);
  for (int i = 0; i < 50; ++i) {
    for (const auto& endpoint : pool.endpoints) {
      OnDispatch(pool, endpoint.node, kStart);
      Answer answer = MakeAnswer(milliseconds(10));
      if (endpoint.node == NodeId("n0")) {
        answer.outcome = Outcome::kNotRun;
        answer.latency = microseconds(50);
      }
      OnAnswer(pool, endpoint.node, answer, kStart);
    }
  }
  CHECK(pool.stats[0].latency[0].samples == 0);
  CHECK(pool.median_ns[0] == Approx(1e7));
}

// Guards against hedges of work that must not run twice or that nobody pays.
TEST_CASE("hedging waits for the p95 and is paid from the budget") {
  Pool pool = MakePool(2);
  const RetryBudget budget = OpenBudget(1);
  const auto hedge = [&](WorkLength length, bool idempotent,
                         const RetryBudget& from) {
    return HedgeAfter(pool, length, idempotent, seconds(1), from);
  };
  CHECK_FALSE(hedge(WorkLength::kShort, true, budget).has_value());
  for (int i = 1; i <= 1000; ++i) {
    OnDispatch(pool, NodeId("n0"), kStart);
    OnAnswer(pool, NodeId("n0"), MakeAnswer(microseconds(i * 100)), kStart);
  }
  const auto wait = hedge(WorkLength::kShort, true, budget);
  REQUIRE(wait.has_value());
  // Buckets are 9% wide.
  CHECK(*wait >= milliseconds(95));
  CHECK(*wait <= milliseconds(105));
  CHECK_FALSE(hedge(WorkLength::kLong, true, budget).has_value());
  CHECK_FALSE(hedge(WorkLength::kShort, false, budget).has_value());
  CHECK_FALSE(hedge(WorkLength::kShort, true, OpenBudget(0)).has_value());
}

// Guards against decisions that use up the latency goal; the bound holds for
// optimized builds only.
TEST_CASE("a selection takes less than two microseconds") {
  Pool pool = MakePool(18, 10);
  Rng rng(1);
  constexpr int kRounds = 100000;
  const auto begin = std::clock();
  auto now = kStart;
  for (int i = 0; i < kRounds; ++i) {
    now += microseconds(100);
    const auto index = *SelectEndpoint(pool, {}, now, rng).endpoint;
    OnDispatch(pool, pool.endpoints[index].node, now);
    OnAnswer(pool, pool.endpoints[index].node, MakeAnswer(milliseconds(5)),
             now);
  }
  // Processor time, because other processes take their share of the wall clock.
  const std::chrono::duration<double, std::micro> per_call(
      static_cast<double>(std::clock() - begin) * 1e6 / CLOCKS_PER_SEC /
      kRounds);
  std::printf("routing: %.2f microseconds per selection, dispatch and answer\n",
              per_call.count());
#ifdef NDEBUG
  CHECK(per_call.count() < 2.0);
#endif
}

// Guards against a server that quickly fails half of its work drawing more of
// it than the sound ones.
TEST_CASE("a server that fails its work is chosen less") {
  Pool pool = MakePool(2);
  Rng rng(1);
  for (int i = 0; i < 60; ++i) {
    for (int node = 0; node < 2; ++node) {
      const NodeId id("n" + std::to_string(node));
      OnDispatch(pool, id, kStart);
      auto answer = MakeAnswer(milliseconds(10));
      answer.server_failed = node == 0 && i % 2 == 0;
      OnAnswer(pool, id, answer, kStart);
    }
  }
  for (int i = 0; i < 50; ++i) {
    CHECK(SelectEndpoint(pool, {}, kStart, rng).endpoint == 1u);
  }
}

// Guards against a near server that fails half of its work at once, and so is
// never busy, drawing calls from farther ones that are busy but sound.
TEST_CASE("a near server that fails fast is left for farther ones") {
  Pool pool;
  pool.distance = {{ZoneName("near"), milliseconds(0)},
                   {ZoneName("far"), milliseconds(3)}};
  UpdateEndpoints(pool, {{NodeId("n0"), {}, ZoneName("near")},
                         {NodeId("n1"), {}, ZoneName("far")},
                         {NodeId("n2"), {}, ZoneName("far")}});
  Rng rng(1);
  SteadyTime now = kStart;
  for (int i = 0; i < 20; ++i) {
    for (int node = 0; node < 3; ++node) {
      const NodeId id("n" + std::to_string(node));
      const bool fails = node == 0 && i % 2 == 0;
      OnDispatch(pool, id, now);
      auto answer = MakeAnswer(milliseconds(node == 0 ? 10 : 20));
      answer.server_failed = fails;
      answer.load = admission::Load{node == 0 ? 1 : 70, 100, 0};
      OnAnswer(pool, id, answer, now);
    }
    now += milliseconds(10);
  }
  for (int i = 0; i < 50; ++i) {
    CHECK(SelectEndpoint(pool, {}, now, rng).endpoint != 0u);
  }
  // It is tried again once in a while.
  now += std::chrono::seconds(10);
  CHECK(SelectEndpoint(pool, {}, now, rng).endpoint == 0u);
}

// Guards against an endpoint that restarts in a second staying unused for long.
TEST_CASE("the pool's times bound how long an endpoint is left alone") {
  Pool pool = MakePool(2);
  pool.left_time = milliseconds(800);
  pool.longest_ejection = milliseconds(3000);
  Rng rng(1);
  AnswerLeaving(pool, NodeId("n0"));
  const std::vector<NodeId> tried = {NodeId("n1")};
  SelectionRequest request;
  request.tried = tried;
  CHECK_FALSE(SelectEndpoint(pool, request, kStart, rng).endpoint);
  CHECK(
      SelectEndpoint(pool, request, kStart + milliseconds(801), rng).endpoint ==
      0u);
  auto now = kStart + seconds(10);
  for (int i = 0; i < 8; ++i) {
    OnDispatch(pool, NodeId("n0"), now);
    OnFailure(pool, NodeId("n0"), Reason::kConnectFailed, now);
    now += seconds(4);
  }
  CHECK(*pool.stats[0].ejected_until <= now);
}

}  // namespace cassiakeel::routing
