#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include "cassiakeel/base/random.h"
#include "cassiakeel/once/decide.h"

namespace cassiakeel::once {
namespace {

using std::chrono::seconds;

const NodeRef kNodeA{NodeId("a"), Incarnation(1)};
const NodeRef kNodeB{NodeId("b"), Incarnation(1)};
const NodeRef kNodeC{NodeId("c"), Incarnation(7)};
const SteadyTime kStart{std::chrono::hours(2)};

IdempotencyKey KeyIssuedAt(WallTime at) {
  Rng rng(1);
  return IdempotencyKey(MakeUuid7(at, rng));
}

/// A serving owner with a new lease and a correct clock.
struct Owner {
  ManualClock clock;
  ShardView shard{ShardState::kServing, ShardEpoch(3), WallTime{}};
  DeduplicationTable table;
  LeaseHolder lease;
  DecideSettings settings;
  Request request{KeyIssuedAt(clock.WallNow()), 5, AttemptId("1")};
  WallOffset offset{{}, clock.Now(), clock.WallNow()};

  Owner() {
    this->lease.self = kNodeA;
    this->lease.term = "t";
    this->lease.authority_end = this->clock.Now() + kLeaseDuration;
  }
  ClockReadings ReadClocks() const {
    return {this->clock.Now(), this->clock.WallNow(), this->offset};
  }
  Decision RunDecide() const {
    return Decide(this->request, this->shard, this->table, this->lease,
                  this->ReadClocks(), this->settings);
  }
};

void CheckRejected(const Decision& decision, Outcome outcome, Reason reason) {
  CHECK(decision.action == Action::kReject);
  CHECK(decision.outcome == outcome);
  CHECK(decision.reason == reason);
}

LeaseRow MakeLeaseRow(const NodeRef& holder, const NodeRef& grantor) {
  return {holder, ServiceName("s"), grantor, "t", "c1", false};
}

}  // namespace

// Guards against a shard map that changes when it is stored and read back: two
// nodes would disagree on the owner of a key.
TEST_CASE(
    "a shard map survives formatting and parsing, invalid rows are rejected") {
  ShardMap map = InitialAssignment({kNodeA, kNodeB});
  map.change = "x";
  ApplyHandoff(map, {ShardId(4), kNodeC}, true);
  ApplyFailover(map, kNodeB, {kNodeA}, WallTime(std::chrono::hours(5)));
  const auto parsed = ParseShardMap(FormatShardMap(map));
  REQUIRE(parsed.has_value());
  CHECK(*parsed == map);
  CHECK_FALSE(ParseShardMap("{}").has_value());
  CHECK_FALSE(ParseShardMap("[1").has_value());
  CHECK_FALSE(ParseShardMap(R"({"change":"","nodes":[],"shards":[]})"));
}

// Guards against shards that are moved back and forth endlessly, and against a
// node that leaves while it still owns shards.
TEST_CASE("handoffs balance the shards and empty a leaving node") {
  CHECK(rc::check("balanced", [] {
    const int count = *rc::gen::inRange(1, 20);
    std::vector<NodeRef> nodes;
    nodes.reserve(count);
    for (int i = 0; i < count; ++i) {
      nodes.push_back({NodeId(std::to_string(i)), Incarnation(1)});
    }
    ShardMap map = InitialAssignment({nodes.front()});
    for (int round = 0; round < kShardCount; ++round) {
      for (const Move& move : PlanHandoff(map, nodes.front(), nodes, 8)) {
        ApplyHandoff(map, move, false);
      }
    }
    for (const NodeRef& node : nodes) {
      const auto owned = static_cast<int>(ShardsOf(map, node).size());
      RC_ASSERT(owned >= kShardCount / count);
      RC_ASSERT(owned <= kShardCount / count + 1);
    }
    const std::vector<NodeRef> rest(nodes.begin() + 1, nodes.end());
    const auto moves = PlanHandoff(map, nodes.front(), rest, kShardCount);
    RC_ASSERT(moves.size() ==
              (rest.empty() ? 0 : ShardsOf(map, nodes.front()).size()));
  }));
}

// Guards against a new owner that claims to know keys which its predecessor did
// not know.
TEST_CASE("a planned handoff keeps keys_known_after of an earlier failover") {
  ShardMap map = InitialAssignment({kNodeA});
  const WallTime keys_known_after(std::chrono::hours(9));
  ApplyFailover(map, kNodeA, {kNodeB}, keys_known_after);
  ApplyHandoff(map, {ShardId(0), kNodeC}, true);
  CHECK(map.shards[0].keys_known_after == keys_known_after);
  CHECK(map.shards[0].epoch == ShardEpoch(3));
  CHECK(map.shards[0].handoff_epoch == ShardEpoch(2));
}

// Guards against a key that runs twice when a caller or a node retransmits it.
TEST_CASE("a repeated key joins, is replayed or conflicts") {
  Owner owner;
  CHECK(owner.RunDecide().action == Action::kRun);
  CHECK(owner.RunDecide().expires == owner.lease.authority_end);
  StartKey(owner.table, owner.request.key, 5, owner.request.attempt);
  owner.request.attempt = AttemptId("2");
  CHECK(owner.RunDecide().action == Action::kJoin);
  int callback_count = 0;
  JoinKey(owner.table, owner.request.key,
          [&](const AttemptResult&) { ++callback_count; });
  AttemptResult result{Outcome::kRan, Reason::kNone, nullptr};
  result.response = std::make_shared<StoredResponse>(
      StoredResponse{201, {{"a", "b"}}, "body"});
  CHECK(
      FinishKey(owner.table, owner.request.key, AttemptId("9"), result, kStart)
          .empty());
  for (const auto& callback :
       FinishKey(owner.table, owner.request.key, AttemptId("1"), result,
                 owner.clock.Now())) {
    callback(result);
  }
  CHECK(callback_count == 1);
  CHECK(owner.RunDecide().action == Action::kReplay);
  CHECK(owner.RunDecide().response->body == "body");
  owner.request.fingerprint = 6;
  CheckRejected(owner.RunDecide(), Outcome::kNotRun, Reason::kKeyConflict);
}

// Guards against a table that removes a key too early or grows without bound.
TEST_CASE(
    "a full table rejects new keys and removes keys after the retention") {
  Owner owner;
  owner.table.limits.entries = 1;
  StartKey(owner.table, owner.request.key, 5, owner.request.attempt);
  const Request first = owner.request;
  owner.request.key = IdempotencyKey("other");
  CheckRejected(owner.RunDecide(), Outcome::kNotRun, Reason::kOverload);
  FinishKey(owner.table, first.key, first.attempt,
            {Outcome::kUnknown, Reason::kTimeout, nullptr}, owner.clock.Now());
  ExpireEntries(owner.table, owner.clock.Now() + kKeyRetention - seconds(1));
  CHECK(FindKey(owner.table, first.key) != nullptr);
  ExpireEntries(owner.table, owner.clock.Now() + kKeyRetention);
  CHECK(FindKey(owner.table, first.key) == nullptr);
  CHECK(owner.table.entries == 0);
  // The issue time of the removed key prevents it from running again.
  owner.clock.Advance(kKeyRetention);
  owner.lease.authority_end = owner.clock.Now() + kLeaseDuration;
  owner.request = first;
  CheckRejected(owner.RunDecide(), Outcome::kUnknown, Reason::kNotVouched);
}

// Guards against stored responses that use unbounded memory.
TEST_CASE("the oldest responses are evicted and their keys are kept") {
  DeduplicationTable table;
  table.limits.response_bytes = 3000;
  for (int i = 0; i < 10; ++i) {
    const IdempotencyKey key(std::to_string(i));
    StartKey(table, key, 0, AttemptId("1"));
    AttemptResult result{Outcome::kRan, Reason::kNone, nullptr};
    result.response = std::make_shared<StoredResponse>(
        StoredResponse{200, {}, std::string(1000, 'x')});
    FinishKey(table, key, AttemptId("1"), result, kStart);
  }
  CHECK(table.response_bytes <= 3000);
  CHECK(table.entries == 10);
  CHECK(FindKey(table, IdempotencyKey("0"))->response == nullptr);
  CHECK(FindKey(table, IdempotencyKey("9"))->response != nullptr);
}

// Guards against a handoff that loses keys, and against a damaged handoff
// object.
TEST_CASE("a deduplication table survives export and import") {
  Owner owner;
  StartKey(owner.table, owner.request.key, 5, owner.request.attempt);
  AttemptResult result{Outcome::kRan, Reason::kNone, nullptr};
  result.response = std::make_shared<StoredResponse>(
      StoredResponse{200, {{"h", "v"}}, std::string("\0\xff", 2)});
  FinishKey(owner.table, owner.request.key, owner.request.attempt, result,
            owner.clock.Now());
  const ShardId shard = ShardOf(owner.request.key);
  const std::string bytes =
      ExportShard(owner.table, shard, owner.clock.Now() + seconds(7));
  DeduplicationTable other;
  REQUIRE(ImportShard(other, shard, bytes, kStart).has_value());
  const DeduplicationEntry* entry = FindKey(other, owner.request.key);
  REQUIRE(entry != nullptr);
  CHECK(entry->response->body == std::string("\0\xff", 2));
  CHECK(entry->finished_at == kStart - seconds(7));
  DeduplicationTable broken;
  CHECK_FALSE(
      ImportShard(broken, shard, bytes.substr(0, bytes.size() / 2), kStart)
          .has_value());
  CHECK(broken.entries == 0);
}

// Guards against running a key without proof that no other node runs it.
TEST_CASE(
    "a new key runs only with authority, valid issue time and trusted clock") {
  Owner owner;
  SECTION("no lease") {
    owner.clock.Advance(kLeaseDuration);
    CheckRejected(owner.RunDecide(), Outcome::kNotRun, Reason::kNoAuthority);
  }
  SECTION("shard being handed over") {
    owner.shard.state = ShardState::kStopping;
    CheckRejected(owner.RunDecide(), Outcome::kNotRun, Reason::kLeaving);
  }
  SECTION("handoff object not read yet") {
    owner.shard.state = ShardState::kLoading;
    CheckRejected(owner.RunDecide(), Outcome::kNotRun, Reason::kNoAuthority);
  }
  SECTION("failover") {
    owner.shard.keys_known_after = owner.clock.WallNow();
    CheckRejected(owner.RunDecide(), Outcome::kUnknown, Reason::kNotVouched);
    owner.request.key =
        KeyIssuedAt(owner.clock.WallNow() + std::chrono::milliseconds(1));
    CHECK(owner.RunDecide().action == Action::kRun);
    owner.request.key = IdempotencyKey("without issue time");
    CheckRejected(owner.RunDecide(), Outcome::kUnknown, Reason::kNotVouched);
  }
  SECTION("future key") {
    owner.request.key = KeyIssuedAt(owner.clock.WallNow() + seconds(3));
    CheckRejected(owner.RunDecide(), Outcome::kNotRun, Reason::kBadRequest);
  }
  SECTION("wall clock jump since the measurement") {
    owner.clock.JumpWall(seconds(2));
    CheckRejected(owner.RunDecide(), Outcome::kNotRun, Reason::kNoAuthority);
    CHECK_FALSE(KeysKnownAfterFailover(owner.ReadClocks()).has_value());
  }
  SECTION("without deadline enforcement half of the lease must remain") {
    owner.settings.server_enforces_deadline = false;
    CHECK(owner.RunDecide().action == Action::kRun);
    owner.clock.Advance(seconds(8));
    CheckRejected(owner.RunDecide(), Outcome::kNotRun, Reason::kNoAuthority);
  }
  SECTION("an attempt that was reported as not run arrives late") {
    CHECK(CancelAttempt(owner.table, owner.request.attempt, kStart));
    CheckRejected(owner.RunDecide(), Outcome::kNotRun, Reason::kCancelled);
  }
}

// Guards against authority that lasts longer than the lease grantor waits
// before it expires the lease.
TEST_CASE(
    "a grant counts from its request and only with all required grantors") {
  LeaseHolder holder;
  holder.self = kNodeA;
  LeaseRow row = MakeLeaseRow(kNodeA, kNodeB);
  RecordRenewal(holder, row, kStart);
  ApplyLeaseRow(holder, row, 1);
  CHECK(holder.authority_end == kStart + kLeaseDuration);
  RecordGrant(holder, {kNodeA, kNodeB, "t"}, kStart + seconds(10));
  CHECK(holder.authority_end == kStart + seconds(10) + kLeaseDuration);
  // The result of a renewal that names another lease grantor is unknown.
  row.grantor = kNodeC;
  row.change = "c2";
  RecordRenewal(holder, row, kStart + seconds(12));
  RecordGrant(holder, {kNodeA, kNodeB, "t"}, kStart + seconds(20));
  CHECK(holder.authority_end == kStart + seconds(10) + kLeaseDuration);
  RecordGrant(holder, {kNodeA, kNodeC, "t"}, kStart + seconds(21));
  CHECK(holder.authority_end == kStart + seconds(20) + kLeaseDuration);
  // Grants end before another node may expire the lease.
  const SteadyTime late = kStart + kExpireByNonGrantorAfter;
  RecordGrant(holder, {kNodeA, kNodeB, "t"}, late);
  RecordGrant(holder, {kNodeA, kNodeC, "t"}, late);
  CHECK(holder.authority_end == kStart + kMaxAuthorityWithoutStore);
  // The row was ended by the lease grantor.
  row.ended = true;
  row.change = "c3";
  ApplyLeaseRow(holder, row, 3);
  CHECK_FALSE(HasAuthority(holder, kStart));
}

// Guards against an expiry by a process that does not know the grants, and
// against grants for a lease whose expiry was sent.
TEST_CASE("only the named grantor expires early and then gives no grants") {
  LeaseGrantor grantor;
  grantor.self = kNodeB;
  const GrantRequest request{kNodeA, kNodeB, "t"};
  ObserveLease(grantor, MakeLeaseRow(kNodeA, kNodeB), 1, kStart);
  CHECK(TryGrant(grantor, request, kStart + seconds(5)));
  CHECK_FALSE(MayExpire(grantor, kNodeA.node, kStart + seconds(24)));
  CHECK(MayExpire(grantor, kNodeA.node, kStart + seconds(25)));
  BeginExpiry(grantor, kNodeA.node, kStart + seconds(25));
  CHECK_FALSE(TryGrant(grantor, request, kStart + seconds(26)));
  // The holder renewed first, so the expiry can no longer be applied.
  ObserveLease(grantor, MakeLeaseRow(kNodeA, kNodeB), 2, kStart + seconds(27));
  CHECK(TryGrant(grantor, request, kStart + seconds(28)));
  // A replacement process of the lease grantor does not know the earlier
  // grants.
  LeaseGrantor replacement;
  replacement.self = {kNodeB.node, Incarnation(2)};
  ObserveLease(replacement, MakeLeaseRow(kNodeA, kNodeB), 2, kStart);
  CHECK_FALSE(TryGrant(replacement, request, kStart));
  CHECK_FALSE(MayExpire(replacement, kNodeA.node, kStart + seconds(7199)));
  CHECK(MayExpire(replacement, kNodeA.node, kStart + seconds(7200)));
}

}  // namespace cassiakeel::once
