#define CATCH_CONFIG_MAIN
#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <cmath>
#include <iostream>
#include <limits>
#include <nlohmann/json.hpp>

#include "cassiakeel/allotment/codec.h"
#include "cassiakeel/allotment/coordinator.h"
#include "cassiakeel/allotment/node_shares.h"

namespace cassiakeel::allotment {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TenantName kTenant("t");
const SteadyTime kStart{std::chrono::hours(1)};

/// A fleet of one node whose grant is the whole quota.
NodeShares MakeNode(const Limit& limit) {
  NodeShares shares;
  Rng rng(1);
  SetLimits(shares, {{kTenant, limit}}, Bounds(), 1, kStart, rng);
  const auto report =
      MakeReport(shares, NodeId("n"), NodeId("c"), kStart + seconds(6));
  ApplyGrant(shares, {{{kTenant, {1, 0.5}}}, report.sequence, true},
             kStart + seconds(6), kStart + seconds(6));
  return shares;
}

int CountAdmitted(NodeShares& shares, int requests, SteadyTime now) {
  int admitted = 0;
  for (int i = 0; i < requests; ++i) {
    admitted += static_cast<int>(Admit(shares, kTenant, now).admitted);
  }
  return admitted;
}

DemandReport SmallReport() {
  return {NodeId("n"), {{kTenant, {1.5, 7}}}, 3, 2, seconds(9)};
}

std::string WithField(std::size_t field, const nlohmann::json& value) {
  auto json = nlohmann::json::from_msgpack(EncodeReport(SmallReport()));
  json[field] = value;
  const auto bytes = nlohmann::json::to_msgpack(json);
  return {bytes.begin(), bytes.end()};
}

}  // namespace

// Guards against requests refused that no limit covers.
TEST_CASE("tenants without a limit are admitted") {
  NodeShares shares = MakeNode({0, 100});
  CHECK(CountAdmitted(shares, 10000, kStart + seconds(7)) == 10000);
  CHECK(Admit(shares, TenantName("unknown"), kStart).admitted);
}

// Guards against a new limit that admits a second quota, and against a lowered
// one that waits for the next exchange.
TEST_CASE("new limits keep what was used") {
  NodeShares shares = MakeNode({100, 100});
  const auto now = kStart + seconds(7);
  const int quota = CountAdmitted(shares, 1000, now);
  CHECK(quota == static_cast<int>(QuotaOf({100, 100}, Bounds()) + 0.01));
  Rng rng(1);
  SetLimits(shares, {{kTenant, {200, 200}}}, Bounds(), 1, now, rng);
  CHECK(CountAdmitted(shares, 2000, now) ==
        static_cast<int>(QuotaOf({200, 200}, Bounds()) + 0.01) - quota);
  SetLimits(shares, {{kTenant, {10, 10}}}, Bounds(), 1, now, rng);
  CHECK(CountAdmitted(shares, 1000, now + seconds(2)) == 0);
}

// Guards against a process that uses its share once more after each restart.
TEST_CASE("a new process has no quota at once") {
  NodeShares shares;
  Rng rng(1);
  SetLimits(shares, {{kTenant, {100, 100}}}, Bounds(), 2, kStart, rng);
  CHECK(CountAdmitted(shares, 1000, kStart) == 0);
  CHECK(CountAdmitted(shares, 1000, kStart + seconds(1)) < 40);
}

// Guards against a grant that outlives its validity on a paused node, and
// against answers that arrive late.
TEST_CASE("expired and late grants are not used") {
  NodeShares shares = MakeNode({100, 100});
  const auto sent = kStart + seconds(6);
  CHECK(UseOf(shares, kTenant, sent + seconds(3)) == 0.5);
  CHECK(UseOf(shares, kTenant, sent + GrantValidity(1)) == 0);
  Admit(shares, kTenant, sent + GrantValidity(1));
  CHECK_FALSE(shares.held);

  const auto old = MakeReport(shares, NodeId("n"), NodeId("c"), sent);
  MakeReport(shares, NodeId("n"), NodeId("c"), sent);
  ApplyGrant(shares, {{}, old.sequence, true}, sent, sent);
  CHECK_FALSE(shares.held);
  ApplyGrant(shares, {{}, shares.sequence, true}, sent,
             sent + GrantValidity(1));
  CHECK_FALSE(shares.held);
}

// Guards against callers that are all sent to the same place in the window.
TEST_CASE("Retry-After names the time of a free place, within its bounds") {
  NodeShares shares = MakeNode({2, 2});
  auto now = kStart + seconds(7);
  const int quota = CountAdmitted(shares, 1000, now);
  CHECK(Admit(shares, kTenant, now).retry_after == seconds(2));
  now += milliseconds(4500);
  MakeReport(shares, NodeId("n"), NodeId("c"), now);
  ApplyGrant(shares, {{{kTenant, {1, 0}}}, shares.sequence, true}, now, now);
  milliseconds last{0};
  for (int i = 0; i < 3; ++i) {
    const auto refused = Admit(shares, kTenant, now);
    CHECK_FALSE(refused.admitted);
    CHECK(refused.retry_after > last);
    CHECK(refused.retry_after < seconds(2));
    last = refused.retry_after;
  }
  CHECK(CountAdmitted(shares, quota, now + last) == quota);
}

// Guards against unbounded state and against a node that is counted twice.
TEST_CASE("a coordinator bounds its nodes and waits before it counts them") {
  Coordinator coordinator;
  const Limits limits{{kTenant, {100, 100}}};
  DemandReport report = SmallReport();
  report.held = 0;
  const auto exchange = [&](SteadyTime now) {
    ++report.sequence;
    return Exchange(coordinator, limits, Bounds(), 1, report, now);
  };
  CHECK_FALSE(exchange(kStart).counted);
  auto now = kStart;
  while (now < kStart + seconds(5)) {
    now += milliseconds(500);
    exchange(now);
  }
  const auto grant = exchange(now);
  CHECK(grant.counted);
  CHECK(grant.shares.at(kTenant).use == Approx(0.015));
  for (std::size_t i = 0; i < 2 * kMaxNodes; ++i) {
    DemandReport other = SmallReport();
    other.node = NodeId("m" + std::to_string(i));
    Exchange(coordinator, limits, Bounds(), 1, other, now);
  }
  CHECK(coordinator.nodes.size() == kMaxNodes);
}

// Guards against two nodes that disagree on the coordinator.
TEST_CASE("the order of coordinators does not depend on the list") {
  const std::vector<NodeId> nodes{NodeId("a"), NodeId("b"), NodeId("c")};
  CHECK(RankCoordinators(nodes) ==
        RankCoordinators({nodes[2], nodes[0], nodes[1]}));
}

// Guards against shares that are lost or changed on the way.
TEST_CASE("messages survive encoding") {
  const auto report = DecodeReport(EncodeReport(SmallReport()));
  REQUIRE(report);
  CHECK(report->node == NodeId("n"));
  CHECK(report->demand.at(kTenant).per_s == 1.5);
  CHECK(report->demand.at(kTenant).used == 7);
  CHECK(report->sequence == 3);
  CHECK(report->held == 2);
  CHECK(report->attached == seconds(9));
  const auto grant =
      DecodeGrant(EncodeGrant({{{kTenant, {0.25, 0.5}}}, 4, true}));
  REQUIRE(grant);
  CHECK(grant->shares.at(kTenant).fraction == 0.25);
  CHECK(grant->shares.at(kTenant).use == 0.5);
  CHECK(grant->sequence == 4);
  CHECK(grant->counted);
}

// Guards against a peer whose bytes end the process or enter the sums as
// numbers that no node can have.
TEST_CASE("bad messages are errors") {
  const double nan = std::numeric_limits<double>::quiet_NaN();
  const double infinity = std::numeric_limits<double>::infinity();
  REQUIRE(DecodeReport(WithField(4, {"t", 1.0, 1})));
  for (const auto& demand :
       std::vector<nlohmann::json>{nan, infinity, -infinity, -1.0, -1, 1e300,
                                   nullptr, "1", nlohmann::json::array()}) {
    CHECK_FALSE(DecodeReport(WithField(4, {"t", demand, 1})));
    CHECK_FALSE(DecodeReport(WithField(4, {"t", 1.0, demand})));
  }
  CHECK_FALSE(DecodeReport(WithField(4, {"t", 1.0, 1, "t", 1.0, 1})));
  CHECK_FALSE(DecodeReport(WithField(4, {"t", 1.0})));
  CHECK_FALSE(DecodeReport(WithField(4, {std::string(201, 'a'), 1.0, 1})));
  CHECK_FALSE(DecodeReport(WithField(4, {7, 1.0, 1})));
  CHECK_FALSE(DecodeReport(WithField(0, std::string(201, 'a'))));
  CHECK_FALSE(DecodeReport(WithField(1, -1)));
  CHECK_FALSE(DecodeReport(WithField(3, -1)));
  CHECK_FALSE(DecodeGrant(WithField(0, 1)));
  // Nested arrays, which would exhaust the stack of a recursive parser.
  CHECK_FALSE(DecodeReport(std::string(200000, '\x91')));
  DemandReport large = SmallReport();
  for (std::size_t i = 0; i < kMaxTenants; ++i) {
    large.demand[TenantName(std::to_string(i))] = {1, 1};
  }
  CHECK_FALSE(DecodeReport(EncodeReport(large)));
}

TEST_CASE("changed bytes do not end the process") {
  CHECK(rc::check([] {
    auto bytes = EncodeReport(SmallReport());
    for (int i = *rc::gen::inRange(1, 6); i > 0; --i) {
      bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
          *rc::gen::arbitrary<char>();
    }
    const auto report = DecodeReport(bytes);
    if (report) {
      for (const auto& [name, demand] : report->demand) {
        RC_ASSERT(std::isfinite(demand.per_s) && demand.per_s >= 0);
      }
    }
    DecodeGrant(bytes);
    DecodeReport(*rc::gen::arbitrary<std::string>());
  }));
}

// Guards against messages that outgrow the figures of the design note. `named`
// is the number of the 80 tenants that have clients on the node.
TEST_CASE("size of messages") {
  for (const std::size_t named : {20, 80}) {
    DemandReport report = SmallReport();
    report.node = NodeId("node-zone-a-0123");
    ShareGrant grant{{}, 100000, true};
    report.sequence = 100000;
    report.held = 99999;
    for (std::size_t i = 0; i < named; ++i) {
      const TenantName tenant("tenant-" + std::to_string(100 + i));
      report.demand[tenant] = {1.0 / 3, 300};
      grant.shares[tenant] = {1.0 / 3, 1.0 / 3};
    }
    const auto report_bytes = EncodeReport(report).size();
    const auto grant_bytes = EncodeGrant(grant).size();
    CHECK(report_bytes < 45 + 20 * named);
    CHECK(grant_bytes < 15 + 22 * named);
    for (const std::size_t nodes : {16, 70, 300, 830}) {
      const double per_s =
          1000.0 / static_cast<double>(ExchangeInterval(nodes).count());
      const auto reports_per_s = static_cast<double>(nodes) * per_s;
      std::cout << nodes << " nodes, " << named << " tenants on each: " << per_s
                << " exchanges per node and s, report " << report_bytes
                << " B, grant " << grant_bytes << " B, node "
                << per_s * static_cast<double>(report_bytes + grant_bytes)
                << " B/s, coordinator receives " << reports_per_s
                << " reports/s, "
                << reports_per_s * static_cast<double>(report_bytes) / 1000
                << " KB/s\n";
    }
  }
}

}  // namespace cassiakeel::allotment
