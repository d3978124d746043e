#include <catch2/catch.hpp>

#include "cassiakeel/platform/memory_platform.h"
#include "policy_sync.h"
#include "registration.h"
#include "schedule.h"

namespace cassiakeel::control::pvt {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

membership::Member MakeMember(const std::string& id, int port) {
  membership::Member member;
  member.node = NodeId(id);
  member.incarnation = Incarnation(5);
  member.gossip = PeerAddress("10.0.0.1:" + std::to_string(port));
  member.traffic = member.gossip;
  member.rpc = member.gossip;
  member.zone = ZoneName("zone-1");
  member.region = RegionName("region-1");
  return member;
}

}  // namespace

// Guards against a successor whose fencing token is not higher than that of its
// predecessor.
TEST_CASE("incarnations of an address increase even if answers are lost") {
  platform::MemoryPlatform memory;
  const PeerAddress address("10.0.0.1:7000");
  const WallTime wall{seconds(1000)};
  auto& table = memory.table();
  CHECK(AcquireIncarnation(table, address, wall) == Incarnation(1000));
  CHECK(AcquireIncarnation(table, address, wall) == Incarnation(1001));
  memory.LoseNextWriteAnswers();
  CHECK(AcquireIncarnation(table, address, wall) == Incarnation(1003));
  CHECK(RecordIncarnation(table, address, Incarnation(2000)) ==
        Incarnation(2000));
  CHECK(RecordIncarnation(table, address, Incarnation(1500)) ==
        Incarnation(2000));
  CHECK(AcquireIncarnation(table, address, wall) == Incarnation(2001));
  memory.SetDown(true);
  CHECK_THROWS_AS(AcquireIncarnation(table, address, wall), Exception);
}

// Guards against a resumed predecessor that overwrites or removes the row of
// its successor.
TEST_CASE("a node row belongs to the highest incarnation") {
  platform::MemoryPlatform memory;
  auto& table = memory.table();
  auto old = MakeMember("a", 1);
  auto successor = old;
  successor.incarnation = Incarnation(6);
  CHECK(WriteNodeRow(table, old) == Incarnation(5));
  CHECK(WriteNodeRow(table, successor) == Incarnation(6));
  CHECK(WriteNodeRow(table, old) == Incarnation(6));
  RemoveNodeRow(table, old.node, old.incarnation);
  table.Transact({{"node/bad", "{}", std::nullopt}});
  const auto rows = ReadNodeRows(table).members;
  REQUIRE(rows.size() == 1);
  CHECK(rows.front() == successor);
  RemoveNodeRow(table, old.node, successor.incarnation);
  CHECK(ReadNodeRows(table).members.empty());
  WriteNodeRow(table, MakeMember("b", 2));
  CHECK(ReadNodePage(table, NodeId("a")).members.size() == 1);
  CHECK(ReadNodePage(table, NodeId("b")).members.empty());
}

// Guards against all nodes reading from the store within the same second after
// an outage.
TEST_CASE("reads back off and are spread over time after an outage") {
  Rng rng(1);
  const ControlTimings timings;
  Schedule poll{timings.policy_poll_period};
  Schedule members{timings.member_read_period};
  for (int i = 0; i < 1000; ++i) {
    const auto wait = NextPoll(poll, true, timings, rng);
    CHECK(wait >= seconds(5));
    CHECK(wait <= seconds(15));
  }
  CHECK(NextMemberRead(members, false, timings, rng) <= seconds(1));
  CHECK(NextMemberRead(members, false, timings, rng) <= seconds(2));
  CHECK(NextMemberRead(members, true, timings, rng) <= seconds(120));
  milliseconds sum{0};
  for (int i = 0; i < 1000; ++i) {
    sum += NextMemberRead(members, false, timings, rng);
  }
  CHECK(sum / 1000 > seconds(27));
  CHECK(sum / 1000 < seconds(33));
  for (int i = 0; i < 100; ++i) {
    CHECK(NextPoll(poll, false, timings, rng) <= seconds(60));
  }
}

// Guards against fetching from another zone without need, and from a peer whose
// version was refused.
TEST_CASE("the highest policy version is fetched, first from the same zone") {
  Rng rng(2);
  const membership::Instant now{SteadyTime(seconds(100)),
                                WallTime(seconds(100))};
  auto state = membership::MakeMembership(MakeMember("self", 1), {}, now);
  state.policy.version = PolicyVersion(3);
  std::vector<membership::Member> members;
  const auto add = [&](const std::string& id, int version, const char* zone) {
    auto member = MakeMember(id, 10 + static_cast<int>(members.size()));
    member.policy_version = PolicyVersion(version);
    member.zone = ZoneName(zone);
    members.push_back(member);
  };
  add("far", 5, "zone-2");
  add("near", 5, "zone-1");
  add("older", 4, "zone-1");
  add("same", 3, "zone-1");
  add("lying", 99, "zone-1");
  MergeMembers(state, members, now, rng);
  const RefusedOffers refused{{NodeId("lying"), PolicyVersion(99)}};
  const auto sources = PolicySources(state, refused, rng);
  REQUIRE(sources.size() == 3);
  CHECK(sources[0].node == NodeId("near"));
  CHECK(sources[1].node == NodeId("far"));
  CHECK(sources[2].node == NodeId("older"));
}

// Guards against errors in restoring a sheet from its base and a delta.
TEST_CASE("a changed sheet is restored from its base and the delta") {
  Rng rng(3);
  const auto text = [&rng] {
    std::string made(rng() % 12, 'a');
    for (auto& c : made) {
      c = static_cast<char>('a' + rng() % 2);
    }
    return made;
  };
  for (int i = 0; i < 2000; ++i) {
    const PolicyDocument base{PolicyVersion(1), "", text()};
    const PolicyDocument next{PolicyVersion(2), "", text()};
    const auto delta = ComputeSheetDelta(base, next);
    const auto& sheet = next.sheet_bytes;
    const auto middle =
        sheet.substr(delta.prefix, sheet.size() - delta.suffix - delta.prefix);
    CHECK(ApplySheetDelta(base, delta, middle) == sheet);
  }
  const PolicyDocument base{PolicyVersion(1), "", "abc"};
  CHECK_FALSE(ApplySheetDelta(base, {PolicyVersion(2), 1, 1}, ""));
  CHECK_FALSE(ApplySheetDelta(base, {PolicyVersion(1), 2, 2}, ""));
  CHECK_FALSE(
      ApplySheetDelta(base, {PolicyVersion(1), ~std::size_t{0}, 1}, ""));
}

TEST_CASE("a malformed policy head is refused") {
  CHECK_FALSE(ParsePolicyHead("").has_value());
  CHECK_FALSE(ParsePolicyHead(R"({"version":-1,"digest":"x"})").has_value());
  CHECK_FALSE(
      ParsePolicyHead(R"({"version":1,"digest":"../node/a"})").has_value());
}

}  // namespace cassiakeel::control::pvt
