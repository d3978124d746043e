#include <catch2/catch.hpp>

#include "fake_network.h"

namespace cassiakeel::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

bool IsEast(const PeerAddress& address) {
  // `FakeNetwork::MakeMember` alternates between two regions, so the parity of
  // the last address byte gives the region.
  const auto dot = address.Value().rfind('.');
  return std::stoi(address.Value().substr(dot + 1)) % 2 == 0;
}

std::size_t PresentCount(const MembershipState& state) {
  return PresentMembers(state).size();
}

}  // namespace

// Guards against a node that cannot discover others while the store is down.
TEST_CASE("a node joins through one seed peer") {
  FakeNetwork net(1);
  net.AddConnectedNodes(10);
  net.Run(seconds(2));
  auto& joiner =
      net.Add(FakeNetwork::MakeMember(10), {FakeNetwork::MakeMember(3).gossip});
  net.Run(seconds(1));
  CHECK(PresentCount(joiner.state) >= 2);
  net.Run(seconds(15));
  CHECK(net.CountSeeing(joiner.state.self.node, MemberStatus::kAlive) == 10);
}

// Guards against callers that keep selecting an endpoint whose node crashed.
TEST_CASE("all nodes remove a crashed node once the suspicion times out") {
  FakeNetwork net(2);
  net.AddConnectedNodes(30);
  net.Run(seconds(3));
  auto& crashed = net.At(7);
  crashed.running = false;
  net.Run(seconds(16));
  CHECK(net.CountSeeing(crashed.state.self.node, MemberStatus::kDead) == 29);
}

// Guards against a process that, after a pause, counts the lost time against
// its peers and declares them dead, or that is not readmitted.
TEST_CASE("a resumed node rejoins and declares no peer dead") {
  FakeNetwork net(3);
  net.AddConnectedNodes(20);
  net.Run(seconds(3));
  auto& paused = net.At(4);
  const auto id = paused.state.self.node;
  paused.running = false;
  net.Run(seconds(20));
  CHECK(net.CountSeeing(id, MemberStatus::kDead) == 19);
  paused.running = true;
  net.Run(seconds(25));
  CHECK(net.CountSeeing(id, MemberStatus::kAlive) == 19);
  CHECK(paused.state.counters.pauses == 1);
  CHECK(paused.state.counters.deaths == 0);
}

// Guards against the sides of a healed partition removing healthy endpoints
// because each side spreads the deaths that it assumed of the other, and
// against sides that never reconnect.
TEST_CASE("partitioned regions merge without either losing its own members") {
  FakeNetwork net(4);
  net.AddConnectedNodes(20);
  net.Run(seconds(3));
  const auto undisturbed = net.delivery;
  net.delivery = [](const Member& from, const PeerAddress& to) {
    return IsEast(from.gossip) == IsEast(to) ? std::vector{milliseconds(2)}
                                             : std::vector<milliseconds>();
  };
  net.Run(std::chrono::minutes(5));
  CHECK(net.Count(
            [](const auto& state) { return PresentCount(state) == 10; }) == 20);
  net.delivery = undisturbed;
  for (int i = 0; i < 60; ++i) {
    net.Run(seconds(1));
    CHECK(net.Count([](const auto& state) {
      return PresentCount(state) >= 10;
    }) == 20);
  }
  CHECK(net.Count(
            [](const auto& state) { return PresentCount(state) == 20; }) == 20);
}

// Guards against the failure of a zone removing endpoints of other zones.
TEST_CASE("the failure of a zone removes only its members") {
  FakeNetwork net(5);
  net.AddConnectedNodes(40, 4);
  net.Run(seconds(3));
  for (auto& [address, node] : net.nodes) {
    node.running = node.state.self.zone != ZoneName("zone-1");
  }
  net.Run(seconds(40));
  CHECK(net.Count([](const auto& state) {
    const auto members = PresentMembers(state);
    return members.size() == 30 &&
           std::none_of(members.begin(), members.end(), [](const auto& m) {
             return m.zone == ZoneName("zone-1");
           });
  }) == 30);
}

// Guards against dependence on datagrams arriving exactly once and in order.
TEST_CASE("duplicated, reordered and lost datagrams cause no false removal") {
  FakeNetwork net(6);
  net.AddConnectedNodes(20);
  net.delivery = [&net](const Member&, const PeerAddress&) {
    std::vector<milliseconds> copies;
    for (int i = 0; i < 3; ++i) {
      if (UniformUnit(net.rng) < 0.6) {
        copies.push_back(FullJitter(milliseconds(250), net.rng));
      }
    }
    return copies;
  };
  net.Run(seconds(60));
  CHECK(net.Count([](const auto& state) {
    return PresentCount(state) == 20 && state.counters.deaths == 0;
  }) == 20);
}

// Guards against a leaving endpoint still receiving new work after 3 s.
TEST_CASE("100 nodes see a node as leaving within 3 s") {
  FakeNetwork net(7);
  net.AddConnectedNodes(100);
  net.Run(seconds(3));
  auto& leaving = net.At(42);
  net.Post(leaving,
           AnnounceLeaving(leaving.state, net.NowOf(leaving), net.rng));
  net.Run(seconds(3));
  CHECK(net.CountSeeing(leaving.state.self.node, MemberStatus::kLeaving) == 99);
  net.Post(leaving, AnnounceLeft(leaving.state, net.NowOf(leaving), net.rng));
  leaving.running = false;
  net.Run(seconds(10));
  CHECK(net.CountSeeing(leaving.state.self.node, MemberStatus::kLeft) == 99);
}

// Guards against callers without endpoints when a slow network causes suspicion
// of all members.
TEST_CASE("a slow network excludes at most 30% of a service") {
  FakeNetwork net(8);
  net.AddConnectedNodes(30);
  net.Run(seconds(3));
  std::uint64_t suspicions = 0;
  net.delivery = [](const Member&, const PeerAddress&) {
    return std::vector{milliseconds(700)};
  };
  for (int i = 0; i < 60; ++i) {
    net.Run(seconds(1));
    for (const auto& [address, node] : net.nodes) {
      suspicions = std::max(suspicions, node.state.counters.suspicions);
      const auto view = MakeView(node.state);
      for (const auto& [service, endpoints] : view.endpoints) {
        const auto excluded =
            std::count_if(endpoints.begin(), endpoints.end(),
                          [](const auto& e) { return e.excluded; });
        REQUIRE(endpoints.size() >= 7);
        REQUIRE(excluded <= 3);
      }
    }
  }
  CHECK(suspicions > 0);
}

// Guards against a node with a wrong wall clock misjudging the age of
// idempotency keys.
TEST_CASE("a wrong wall clock is detected by the median of the peers") {
  FakeNetwork net(9);
  net.AddConnectedNodes(10);
  auto& wrong = net.At(2);
  wrong.wall_clock_offset = seconds(5);
  net.Run(seconds(40));
  const auto offset = ClockOffset(wrong.state, net.NowOf(wrong));
  REQUIRE(offset.has_value());
  CHECK(*offset > milliseconds(4900));
  CHECK(*offset < milliseconds(5100));
  const auto& right = net.At(3);
  CHECK(std::chrono::abs(*ClockOffset(right.state, net.NowOf(right))) <
        milliseconds(100));
  // A clock jump is detected without further probes.
  wrong.wall_clock_offset = -seconds(2);
  CHECK(*ClockOffset(wrong.state, net.NowOf(wrong)) < -milliseconds(1900));
}

// Guards against calls to an instance that was replaced, and against late
// reports that restore it.
TEST_CASE("a replaced instance on the same address supersedes the old one") {
  FakeNetwork net(10);
  net.AddConnectedNodes(10);
  net.Run(seconds(2));
  auto successor = FakeNetwork::MakeMember(5);
  const auto old = successor;
  successor.node = NodeId("node-new");
  successor.incarnation = Incarnation(101);
  net.nodes.erase(successor.gossip);
  net.Add(successor, {FakeNetwork::MakeMember(1).gossip});
  net.Run(seconds(15));
  CHECK(net.CountSeeing(successor.node, MemberStatus::kAlive) == 9);
  CHECK(net.CountSeeing(old.node, MemberStatus::kDead) == 9);
  auto& node = net.At(1);
  MergeMembers(node.state, {old}, net.NowOf(node), net.rng);
  CHECK(node.state.records.at(old.node).member.status == MemberStatus::kDead);
  // A process detects that another one uses its id with a higher incarnation.
  auto newer_claim = successor;
  newer_claim.incarnation = Incarnation(102);
  auto& current = net.nodes.at(successor.gossip);
  MergeMembers(current.state, {newer_claim}, net.NowOf(current), net.rng);
  CHECK(IsSuperseded(current.state));
}

// Guards against updates that exceed a node's bandwidth budget for control
// traffic.
TEST_CASE("urgent pushes stay within the token bucket") {
  FakeNetwork net(11);
  net.AddConnectedNodes(60);
  net.Run(seconds(5));
  const auto before = net.At(0).state.counters.bytes_sent;
  for (int i = 1; i <= 30; ++i) {
    auto& node = net.At(i);
    net.Post(node, AnnounceLeaving(node.state, net.NowOf(node), net.rng));
  }
  net.Run(seconds(10));
  const auto sent = net.At(0).state.counters.bytes_sent - before;
  // Pushes at 2 KB/s with a burst of 4 KB, and two full datagrams per second in
  // each direction for probes.
  CHECK(sent < 10 * 2048 + 4096 + kMaxDatagramBytes * 10 * 2 * 2);
  CHECK(net.CountSeeing(net.At(9).state.self.node, MemberStatus::kLeaving) ==
        59);
}

}  // namespace cassiakeel::membership
