#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
#include <future>
#include <nlohmann/json.hpp>
#include <thread>

#include "cassiakeel/control/control_thread.h"
#include "cassiakeel/platform/memory_platform.h"

namespace cassiakeel::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kWaitTimeout{20};

/// Replaces the policy check of libpolicy: accepts only the sheet "approved".
Result<std::shared_ptr<const policy::Policy>> CheckPolicy(
    PolicyVersion current,
    const std::string& head,
    const std::string& sheet) {
  const auto row = nlohmann::json::parse(head);
  auto checked = std::make_shared<policy::Policy>();
  checked->version = PolicyVersion(row.at("version").get<std::uint64_t>());
  checked->digest = row.at("digest").get<std::string>();
  if (sheet != "approved" || checked->version <= current) {
    return Fail("check policy", "refused");
  }
  return checked;
}

struct TestNode {
  Blackboard blackboard;
  std::unique_ptr<ControlThread> thread;

  std::size_t PresentCount() const {
    const auto view = this->blackboard.members.Read();
    return view ? view->members.size() : 0;
  }
  std::uint64_t Version() const {
    const auto policy = this->blackboard.policy.Read();
    return policy ? policy->version.Value() : 0;
  }
};

ControlOptions MakeOptions(const std::string& id) {
  ControlOptions options;
  options.node = NodeId(id);
  options.zone = ZoneName("zone-1");
  options.region = RegionName("region-1");
  options.gossip = PeerAddress("127.0.0.1:0");
  options.rpc = PeerAddress("127.0.0.1:0");
  options.traffic = PeerAddress("127.0.0.1:80");
  options.check_policy = CheckPolicy;
  options.random_seed = std::hash<std::string>()(id);
  options.timings.policy_poll_period = milliseconds(300);
  options.timings.max_retry_delay = milliseconds(300);
  options.timings.clock_incarnation_wait = milliseconds(500);
  return options;
}

class TestCluster {
 public:
  TestNode& Start(const ControlOptions& options) {
    this->nodes.push_back(std::make_unique<TestNode>());
    auto& node = *this->nodes.back();
    auto thread = ControlThread::Create(options, this->memory.table(),
                                        this->memory.objects(), this->clock,
                                        node.blackboard);
    REQUIRE(thread.has_value());
    node.thread = std::move(*thread);
    return node;
  }

  void PublishPolicy(std::uint64_t version, const std::string& sheet) {
    const std::string digest(64, static_cast<char>('0' + version));
    this->memory.objects().Put("sheets/" + digest, sheet);
    const nlohmann::json head{{"version", version}, {"digest", digest}};
    this->memory.table().Transact({{"policy/head", head.dump(), std::nullopt}});
  }

  bool WaitForAll(const std::function<bool(const TestNode&)>& test) {
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (std::chrono::steady_clock::now() < end) {
      if (std::all_of(this->nodes.begin(), this->nodes.end(),
                      [&](const auto& node) { return test(*node); })) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
  }

  platform::MemoryPlatform memory;
  SystemClock clock;
  std::vector<std::unique_ptr<TestNode>> nodes;
};

}  // namespace

TEST_CASE("nodes discover each other and their services through the store") {
  TestCluster cluster;
  for (const auto* id : {"a", "b", "c"}) {
    cluster.Start(MakeOptions(id))
        .thread->SetService(ServiceName("board"), Slots(70));
  }
  CHECK(cluster.WaitForAll([](const TestNode& node) {
    const auto view = node.blackboard.members.Read();
    return view && EndpointsOf(*view, ServiceName("board")).size() == 3;
  }));
  cluster.nodes[0]->thread->SetLeaving();
  CHECK(cluster.WaitForAll([](const TestNode& node) {
    return EndpointsOf(*node.blackboard.members.Read(), ServiceName("board"))
               .size() == 2;
  }));
  cluster.nodes[0]->thread->Stop();
  cluster.nodes.erase(cluster.nodes.begin());
  CHECK(cluster.WaitForAll(
      [](const TestNode& node) { return node.PresentCount() == 2; }));
  CHECK_FALSE(cluster.memory.table().Get("node/a").has_value());
}

// Guards against a store outage that keeps nodes from starting, and against a
// newly started node that serves without the policy of its peers.
TEST_CASE("a new node joins and gets the policy from peers without the store") {
  TestCluster cluster;
  cluster.PublishPolicy(2, "approved");
  auto& first = cluster.Start(MakeOptions("a"));
  REQUIRE(cluster.WaitForAll([](const TestNode& node) {
    return node.Version() == 2 && node.PresentCount() == 1;
  }));
  cluster.memory.SetDown(true);
  auto options = MakeOptions("b");
  options.seeds = {first.thread->gossip_address()};
  auto& second = cluster.Start(options);
  CHECK(cluster.WaitForAll([](const TestNode& node) {
    return node.Version() == 2 && node.PresentCount() == 2;
  }));
  const auto incarnation =
      second.blackboard.members.Read()->self.incarnation.Value();
  const auto wall = std::chrono::duration_cast<seconds>(
      cluster.clock.WallNow().time_since_epoch());
  CHECK(incarnation + 30 > static_cast<std::uint64_t>(wall.count()));
  // The counter in the store is raised once the store is available again.
  cluster.memory.SetDown(false);
  const auto key = "incarnation/" + second.thread->gossip_address().Value();
  CHECK(cluster.WaitForAll([&](const TestNode&) {
    const auto row = cluster.memory.table().Get(key);
    return row && row->value == std::to_string(incarnation);
  }));
}

// Guards against a successor that gets a lower incarnation, and so a lower
// fencing token, than a predecessor with a wrong clock while the store is down.
TEST_CASE("without the store a successor exceeds incarnations known to peers") {
  TestCluster cluster;
  auto& peer = cluster.Start(MakeOptions("a"));
  // The predecessor's clock was an hour ahead.
  const auto ahead = std::chrono::duration_cast<seconds>(
                         cluster.clock.WallNow().time_since_epoch())
                         .count() +
                     3600;
  auto options = MakeOptions("b");
  auto probe = ControlThread::Create(options, cluster.memory.table(),
                                     cluster.memory.objects(), cluster.clock,
                                     cluster.nodes[0]->blackboard);
  const auto address = (*probe)->gossip_address();
  probe->reset();
  cluster.memory.table().Transact({{"incarnation/" + address.Value(),
                                    std::to_string(ahead), std::nullopt}});
  options.gossip = address;
  auto& predecessor = cluster.Start(options);
  REQUIRE(cluster.WaitForAll(
      [](const TestNode& node) { return node.PresentCount() == 2; }));
  cluster.memory.SetDown(true);
  predecessor.thread->Stop();
  cluster.nodes.pop_back();
  options.seeds = {peer.thread->gossip_address()};
  auto& successor = cluster.Start(options);
  REQUIRE(cluster.WaitForAll(
      [](const TestNode& node) { return node.PresentCount() == 2; }));
  CHECK(successor.blackboard.members.Read()->self.incarnation.Value() >
        static_cast<std::uint64_t>(ahead) + 1);
}

// Guards against a return to an earlier policy caused by a replayed head row in
// the store or by a sheet that fails the check.
TEST_CASE("the policy in force never reverts") {
  TestCluster cluster;
  for (const auto* id : {"a", "b", "c"}) {
    cluster.Start(MakeOptions(id));
  }
  cluster.PublishPolicy(3, "approved");
  REQUIRE(cluster.WaitForAll(
      [](const TestNode& node) { return node.Version() == 3; }));
  cluster.PublishPolicy(1, "approved");
  std::this_thread::sleep_for(seconds(1));
  CHECK(cluster.WaitForAll(
      [](const TestNode& node) { return node.Version() == 3; }));
  cluster.PublishPolicy(4, "forged");
  CHECK(cluster.WaitForAll([](const TestNode& node) {
    const auto stats = node.blackboard.stats.Read();
    return stats && stats->policies_refused > 0;
  }));
  CHECK(cluster.WaitForAll(
      [](const TestNode& node) { return node.Version() == 3; }));
  cluster.PublishPolicy(5, "approved");
  CHECK(cluster.WaitForAll(
      [](const TestNode& node) { return node.Version() == 5; }));
}

// Guards against a peer that offers a policy which was never approved. Other
// nodes must neither apply it nor miss the next approved policy because of it.
TEST_CASE("an unapproved policy of a peer is refused and blocks no other") {
  TestCluster cluster;
  cluster.PublishPolicy(3, "approved");
  cluster.Start(MakeOptions("a"));
  cluster.Start(MakeOptions("b"));
  REQUIRE(cluster.WaitForAll(
      [](const TestNode& node) { return node.Version() == 3; }));
  // The misbehaving node has a store of its own, so that the other nodes can
  // get its policy only from it.
  platform::MemoryPlatform other;
  const std::string digest(64, '9');
  const nlohmann::json head{{"version", 9}, {"digest", digest}};
  other.table().Transact({{"policy/head", head.dump(), std::nullopt}});
  other.objects().Put("sheets/" + digest, "forged");
  auto options = MakeOptions("liar");
  options.seeds = {cluster.nodes[0]->thread->gossip_address()};
  options.check_policy = [](PolicyVersion, const std::string&,
                            const std::string& sheet) {
    auto accepted = std::make_shared<policy::Policy>();
    accepted->version = PolicyVersion(9);
    accepted->digest = sheet;
    return Result<std::shared_ptr<const policy::Policy>>(accepted);
  };
  TestNode misbehaving;
  auto thread = ControlThread::Create(options, other.table(), other.objects(),
                                      cluster.clock, misbehaving.blackboard);
  REQUIRE(thread.has_value());
  CHECK(cluster.WaitForAll([](const TestNode& node) {
    const auto stats = node.blackboard.stats.Read();
    return stats && stats->policies_refused > 0;
  }));
  CHECK(cluster.WaitForAll(
      [](const TestNode& node) { return node.Version() == 3; }));
  cluster.PublishPolicy(4, "approved");
  CHECK(cluster.WaitForAll(
      [](const TestNode& node) { return node.Version() == 4; }));
}

// Guards against a caller that waits forever: each call must complete, even if
// the peer does not answer or this node stops.
TEST_CASE("control calls reach the handlers of a peer and always complete") {
  TestCluster cluster;
  auto options = MakeOptions("a");
  options.grant_lease = [](const LeaseRequest& request) {
    return LeaseGrant{request.term == "t9" &&
                      request.grantor_incarnation == Incarnation(2)};
  };
  options.attempt_state = [](const AttemptId& attempt) {
    return attempt == AttemptId("ran") ? Outcome::kRan : Outcome::kNotRun;
  };
  auto& server = cluster.Start(options);
  auto& client = cluster.Start(MakeOptions("b"));
  const auto ask = [&](const PeerAddress& peer, const std::string& term) {
    auto answer = std::make_shared<std::promise<Result<LeaseGrant>>>();
    auto future = answer->get_future();
    client.thread->RequestLeaseGrant(
        peer, {NodeId("b"), Incarnation(1), Incarnation(2), term},
        [answer](Result<LeaseGrant> grant) { answer->set_value(grant); });
    return future;
  };
  const auto address = server.thread->rpc_address();
  const auto granted = ask(address, "t9").get();
  REQUIRE(granted.has_value());
  CHECK(granted->granted);
  CHECK_FALSE(ask(address, "t8").get()->granted);
  CHECK_FALSE(ask(PeerAddress("127.0.0.1:1"), "t9").get().has_value());
  CHECK_FALSE(ask(PeerAddress("not-numeric:1"), "t9").get().has_value());

  auto outcome = std::make_shared<std::promise<Result<Outcome>>>();
  client.thread->QueryAttemptState(
      address, AttemptId("ran"),
      [outcome](Result<Outcome> result) { outcome->set_value(result); });
  CHECK(outcome->get_future().get() == Outcome::kRan);

  client.thread->Stop();
  CHECK_FALSE(ask(address, "t9").get().has_value());
}

// Guards against two nodes on one address, and against a process that starts
// with only one of its two addresses bound.
TEST_CASE("an address in use is reported") {
  TestCluster cluster;
  auto& first = cluster.Start(MakeOptions("a"));
  auto options = MakeOptions("b");
  const auto refused = [&cluster](const ControlOptions& tried) {
    Blackboard blackboard;
    const auto second = ControlThread::Create(tried, cluster.memory.table(),
                                              cluster.memory.objects(),
                                              cluster.clock, blackboard);
    return !second.has_value() && !second.error().message.empty();
  };
  options.rpc = first.thread->rpc_address();
  CHECK(refused(options));
  options = MakeOptions("b");
  options.gossip = first.thread->gossip_address();
  CHECK(refused(options));
}

// Guards against an unbounded backlog of jobs while the store is slow.
TEST_CASE("the job queue refuses jobs beyond its maximum length") {
  JobQueue queue(2);
  std::promise<void> release;
  auto released = release.get_future().share();
  std::promise<void> running;
  REQUIRE(queue.Post([&running, released] {
    running.set_value();
    released.wait();
  }));
  running.get_future().wait();
  CHECK(queue.Post([] {}));
  CHECK(queue.Post([] {}));
  CHECK_FALSE(queue.Post([] {}));
  release.set_value();
  queue.Stop();
  CHECK_FALSE(queue.Post([] {}));
}

}  // namespace cassiakeel::control
