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

constexpr SteadyTime kStartTime{std::chrono::hours(1)};

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

ResponseInfo MakeResponse(nanoseconds latency) {
  ResponseInfo response;
  response.latency = latency;
  return response;
}

// Simulates open-loop calls of one ingress node to `pool`, of which the first
// `slow` endpoints take ten times as long. Returns the sorted latencies in
// milliseconds of all calls, including the first ones, which are sent without
// any statistics of the endpoints.
std::vector<double> RunCalls(Pool pool,
                             double rate,
                             int slow,
                             bool random_choice) {
  constexpr double kServiceMs = 10;
  Rng rng(42);
  using PendingResponse = std::tuple<double, std::size_t, double>;
  std::priority_queue<PendingResponse, std::vector<PendingResponse>,
                      std::greater<>>
      pending;
  std::vector<double> latencies;
  const auto time = [](double ms) {
    return kStartTime + nanoseconds(static_cast<std::int64_t>(ms * 1e6));
  };
  for (double now = 0; now < 60000;) {
    now += std::exponential_distribution<double>(rate / 1000)(rng);
    while (!pending.empty() && std::get<0>(pending.top()) <= now) {
      const auto [at, index, latency] = pending.top();
      pending.pop();
      OnResponse(
          pool, pool.endpoints[index].node,
          MakeResponse(nanoseconds(static_cast<std::int64_t>(latency * 1e6))),
          time(at));
    }
    const auto index = random_choice
                           ? rng() % pool.endpoints.size()
                           : *SelectEndpoint(pool, {}, time(now), rng).endpoint;
    OnDispatch(pool, pool.endpoints[index].node, time(now));
    double latency = std::exponential_distribution<double>(1 / kServiceMs)(rng);
    latency *= static_cast<int>(index) < slow ? 10 : 1;
    latency += pool.distance_ns[index] / 1e6;
    pending.emplace(now + latency, index, latency);
    latencies.push_back(latency);
  }
  std::sort(latencies.begin(), latencies.end());
  return latencies;
}

double P99(const std::vector<double>& latencies) {
  return latencies[latencies.size() * 99 / 100];
}

// Refuses a call to `node` at `kStartTime` because its server is draining.
void RefuseAsLeaving(Pool& pool, const NodeId& node) {
  ResponseInfo leaving;
  leaving.outcome = Outcome::kNotRun;
  leaving.reason = Reason::kLeaving;
  OnDispatch(pool, node, kStartTime);
  OnResponse(pool, node, leaving, kStartTime);
}

}  // namespace

// Guards against high tail latency caused by a few slowed backend servers.
TEST_CASE("slowing a quarter of the endpoints hardly raises the p99") {
  // The second rate is that of one ingress node at the target system size.
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

// Guards against sending a request twice to the same node, or to a draining one
// (invariant I6).
TEST_CASE("tried and draining endpoints are never selected") {
  Pool pool = MakePool(3);
  Rng rng(1);
  RefuseAsLeaving(pool, NodeId("n1"));
  const std::vector<NodeId> tried = {NodeId("n0")};
  SelectionRequest request;
  request.tried = tried;
  for (int i = 0; i < 100; ++i) {
    CHECK(SelectEndpoint(pool, request, kStartTime, rng).endpoint == 2u);
  }
  const std::vector<NodeId> all = {NodeId("n0"), NodeId("n2")};
  request.tried = all;
  CHECK(SelectEndpoint(pool, request, kStartTime, rng).reason ==
        Reason::kNoEndpoint);
}

// Guards against excluding so many endpoints that the others are overloaded.
TEST_CASE("ejection and suspicion exclude at most 30 percent") {
  Pool pool = MakePool(10);
  Rng rng(1);
  auto endpoints = pool.endpoints;
  for (auto& endpoint : endpoints) {
    endpoint.suspected = true;
  }
  const auto selected_count = [&](Pool& of, SteadyTime now) {
    std::set<std::size_t> selected;
    for (int i = 0; i < 1000; ++i) {
      selected.insert(*SelectEndpoint(of, {}, now, rng).endpoint);
    }
    return selected.size();
  };
  Pool suspected = pool;
  UpdateEndpoints(suspected, endpoints);
  CHECK(selected_count(suspected, kStartTime) == 7);
  for (const auto& endpoint : pool.endpoints) {
    OnDispatch(pool, endpoint.node, kStartTime);
    OnFailure(pool, endpoint.node, Reason::kConnectFailed, kStartTime);
  }
  CHECK(selected_count(pool, kStartTime) == 7);
  // The limit applies to suspected and ejected endpoints together.
  auto three = pool.endpoints;
  three[7].suspected = three[8].suspected = three[9].suspected = true;
  UpdateEndpoints(pool, three);
  CHECK(selected_count(pool, kStartTime) == 7);
  // The only endpoint stays in use.
  Pool single = MakePool(1);
  OnDispatch(single, NodeId("n0"), kStartTime);
  OnFailure(single, NodeId("n0"), Reason::kConnectFailed, kStartTime);
  CHECK(SelectEndpoint(single, {}, kStartTime, rng).endpoint == 0u);
}

// Guards against an ejected endpoint that is never readmitted, and against too
// frequent probes of a failing one.
TEST_CASE("an ejected endpoint is probed after 1, 2 and 4 seconds") {
  Pool pool = MakePool(4);
  Rng rng(1);
  const NodeId node("n0");
  OnDispatch(pool, node, kStartTime);
  OnFailure(pool, node, Reason::kConnectFailed, kStartTime);
  auto now = kStartTime;
  for (const int wait : {1, 2, 4}) {
    for (int i = 0; i < 100; ++i) {
      CHECK(SelectEndpoint(pool, {}, now + seconds(wait) - milliseconds(1), rng)
                .endpoint != 0u);
    }
    now += seconds(wait);
    REQUIRE(SelectEndpoint(pool, {}, now, rng).endpoint == 0u);
    OnDispatch(pool, node, now);
    // Only one probe at a time.
    CHECK(SelectEndpoint(pool, {}, now, rng).endpoint != 0u);
    OnFailure(pool, node, Reason::kConnectFailed, now);
  }
  now += seconds(8);
  OnDispatch(pool, node, now);
  OnResponse(pool, node, MakeResponse(milliseconds(5)), now);
  CHECK_FALSE(pool.stats[0].ejected_until.has_value());
}

// Guards against calls that cross zones without need, and against calls that
// stay in the near zone although it is overloaded.
TEST_CASE("the near zone is used until its cost exceeds the distance") {
  Pool pool = MakePool(8, 2);
  Rng rng(1);
  for (const auto& endpoint : pool.endpoints) {
    auto response = MakeResponse(milliseconds(10));
    response.load =
        admission::Load{10, 100, 0, RequestClass::kBackground, false};
    OnDispatch(pool, endpoint.node, kStartTime);
    OnResponse(pool, endpoint.node, response, kStartTime);
  }
  const auto count_near = [&] {
    int near = 0;
    for (int i = 0; i < 1000; ++i) {
      near +=
          *SelectEndpoint(pool, {}, kStartTime, rng).endpoint % 2 == 0 ? 1 : 0;
    }
    return near;
  };
  CHECK(count_near() == 1000);
  for (std::size_t i = 0; i < pool.stats.size(); i += 2) {
    pool.stats[i].load.queued = 50;
  }
  CHECK(count_near() == 0);
}

// Guards against sending a class that all endpoints shed, and against refusing
// it because of outdated load reports.
TEST_CASE("a class that all endpoints shed is refused for a short time") {
  Pool pool = MakePool(3);
  Rng rng(1);
  for (const auto& endpoint : pool.endpoints) {
    ResponseInfo response;
    response.outcome = Outcome::kNotRun;
    response.reason = Reason::kOverload;
    response.load =
        admission::Load{10, 10, 50, RequestClass::kInteractive, false};
    OnDispatch(pool, endpoint.node, kStartTime);
    OnResponse(pool, endpoint.node, response, kStartTime);
  }
  SelectionRequest request;
  request.request_class = RequestClass::kInternal;
  const auto soon = kStartTime + milliseconds(10);
  CHECK(SelectEndpoint(pool, request, soon, rng).reason == Reason::kOverload);
  request.request_class = RequestClass::kCritical;
  CHECK(SelectEndpoint(pool, request, soon, rng).endpoint.has_value());
  request.request_class = RequestClass::kInternal;
  CHECK(SelectEndpoint(pool, request, kStartTime + milliseconds(300), rng)
            .endpoint.has_value());
}

// Guards against an endpoint that attracts all calls because it refuses
// quickly.
TEST_CASE("fast refusals do not count as low latency") {
  Pool pool = MakePool(2);
  for (int i = 0; i < 50; ++i) {
    for (const auto& endpoint : pool.endpoints) {
      OnDispatch(pool, endpoint.node, kStartTime);
      ResponseInfo response = MakeResponse(milliseconds(10));
      if (endpoint.node == NodeId("n0")) {
        response.outcome = Outcome::kNotRun;
        response.latency = microseconds(50);
      }
      OnResponse(pool, endpoint.node, response, kStartTime);
    }
  }
  CHECK(pool.stats[0].latency[0].samples == 0);
  CHECK(pool.median_ns[0] == Approx(1e7));
}

// Guards against hedging work that must not run twice, and against hedges that
// exceed the retry budget.
TEST_CASE("hedging waits for the p95 and needs retry budget") {
  Pool pool = MakePool(2);
  const RetryBudget budget = OpenBudget(1);
  const auto hedge = [&](WorkLength length, bool idempotent,
                         const RetryBudget& from) {
    return HedgeDelay(pool, length, idempotent, seconds(1), from);
  };
  CHECK_FALSE(hedge(WorkLength::kShort, true, budget).has_value());
  for (int i = 1; i <= 1000; ++i) {
    OnDispatch(pool, NodeId("n0"), kStartTime);
    OnResponse(pool, NodeId("n0"), MakeResponse(microseconds(i * 100)),
               kStartTime);
  }
  const auto wait = hedge(WorkLength::kShort, true, budget);
  REQUIRE(wait.has_value());
  // The exact p95 is 95 ms; histogram buckets are 9% wide.
  CHECK(*wait >= milliseconds(95));
  CHECK(*wait <= milliseconds(105));
  CHECK_FALSE(hedge(WorkLength::kLong, true, budget).has_value());
  CHECK_FALSE(hedge(WorkLength::kShort, false, budget).has_value());
  CHECK_FALSE(hedge(WorkLength::kShort, true, OpenBudget(0)).has_value());
}

// Guards against endpoint selection that adds noticeable latency to a call. The
// bound is checked in optimized builds only.
TEST_CASE("a selection takes less than two microseconds") {
  Pool pool = MakePool(18, 10);
  Rng rng(1);
  constexpr int kRounds = 100000;
  const auto begin = std::clock();
  auto now = kStartTime;
  for (int i = 0; i < kRounds; ++i) {
    now += microseconds(100);
    const auto index = *SelectEndpoint(pool, {}, now, rng).endpoint;
    OnDispatch(pool, pool.endpoints[index].node, now);
    OnResponse(pool, pool.endpoints[index].node, MakeResponse(milliseconds(5)),
               now);
  }
  // CPU time, because other processes on the machine affect wall-clock time.
  const std::chrono::duration<double, std::micro> per_call(
      static_cast<double>(std::clock() - begin) * 1e6 / CLOCKS_PER_SEC /
      kRounds);
  std::printf(
      "routing: %.2f microseconds per selection, dispatch and response\n",
      per_call.count());
#ifdef NDEBUG
  CHECK(per_call.count() < 2.0);
#endif
}

// Guards against a server that quickly fails half of its work attracting more
// calls than the healthy ones.
TEST_CASE("a server that fails its work is selected less often") {
  Pool pool = MakePool(2);
  Rng rng(1);
  for (int i = 0; i < 60; ++i) {
    for (int node = 0; node < 2; ++node) {
      const NodeId id("n" + std::to_string(node));
      OnDispatch(pool, id, kStartTime);
      auto response = MakeResponse(milliseconds(10));
      response.server_failed = node == 0 && i % 2 == 0;
      OnResponse(pool, id, response, kStartTime);
    }
  }
  for (int i = 0; i < 50; ++i) {
    CHECK(SelectEndpoint(pool, {}, kStartTime, rng).endpoint == 1u);
  }
}

// Guards against a near server that immediately fails half of its work, and is
// therefore never busy, attracting calls from farther servers that are busy but
// healthy.
TEST_CASE("farther servers are preferred to a near one that fails fast") {
  Pool pool;
  pool.distance = {{ZoneName("near"), milliseconds(0)},
                   {ZoneName("far"), milliseconds(3)}};
  UpdateEndpoints(pool, {{NodeId("n0"), {}, ZoneName("near")},
                         {NodeId("n1"), {}, ZoneName("far")},
                         {NodeId("n2"), {}, ZoneName("far")}});
  Rng rng(1);
  SteadyTime now = kStartTime;
  for (int i = 0; i < 20; ++i) {
    for (int node = 0; node < 3; ++node) {
      const NodeId id("n" + std::to_string(node));
      const bool fails = node == 0 && i % 2 == 0;
      OnDispatch(pool, id, now);
      auto response = MakeResponse(milliseconds(node == 0 ? 10 : 20));
      response.server_failed = fails;
      response.load = admission::Load{node == 0 ? 1 : 70, 100, 0};
      OnResponse(pool, id, response, now);
    }
    now += milliseconds(10);
  }
  for (int i = 0; i < 50; ++i) {
    CHECK(SelectEndpoint(pool, {}, now, rng).endpoint != 0u);
  }
  // After 10 s without calls it is tried again.
  now += std::chrono::seconds(10);
  CHECK(SelectEndpoint(pool, {}, now, rng).endpoint == 0u);
}

// Guards against an endpoint that restarts within a second staying unused for
// long.
TEST_CASE("the pool's settings bound how long an endpoint gets no calls") {
  Pool pool = MakePool(2);
  pool.leaving_exclusion_time = milliseconds(800);
  pool.max_ejection_time = milliseconds(3000);
  Rng rng(1);
  RefuseAsLeaving(pool, NodeId("n0"));
  const std::vector<NodeId> tried = {NodeId("n1")};
  SelectionRequest request;
  request.tried = tried;
  CHECK_FALSE(SelectEndpoint(pool, request, kStartTime, rng).endpoint);
  CHECK(SelectEndpoint(pool, request, kStartTime + milliseconds(801), rng)
            .endpoint == 0u);
  auto now = kStartTime + seconds(10);
  for (int i = 0; i < 8; ++i) {
    OnDispatch(pool, NodeId("n0"), now);
    OnFailure(pool, NodeId("n0"), Reason::kConnectFailed, now);
    now += seconds(4);
  }
  CHECK(*pool.stats[0].ejected_until <= now);
}

}  // namespace cassiakeel::routing
