// The shared store comes back from an older copy and gives its row versions out
// again. A "confirmed" row is one that the store has after that.

#include <future>
#include <sstream>

#include "control_test_support.h"
#include "store_pace.h"

namespace cassiakeel::mesh {
namespace {

using std::chrono::milliseconds;

// Longer than a reread after a return, shorter than the next poll.
constexpr milliseconds kRereadTime{150};
// Longer than the batching of changes of the directory.
constexpr milliseconds kDirectoryTime{2300};

// One node whose store can come back from a copy.
struct ReturnFixture {
  explicit ReturnFixture(std::optional<StoreEra> era) : node(mesh, loop, "n") {
    this->store().era = era;
    this->store().Put("config", "7");
    this->node.control->Start();
    this->Run(kRereadTime);
  }
  FakeStore& store() { return this->node.store; }
  void Run(milliseconds time) { this->loop.RunFor(time, this->store()); }
  // Writes rows that no node uses.
  void AdvanceVersion(int count) {
    for (int i = 0; i < count; ++i) {
      this->store().Put("unused", "x");
    }
  }
  // Value of a metric as text; empty if there is none.
  std::string Metric(const std::string& name) {
    std::promise<std::string> text;
    this->node.node.CollectMetrics(
        [&text](std::string value) { text.set_value(std::move(value)); });
    std::istringstream lines(text.get_future().get());
    for (std::string line; std::getline(lines, line);) {
      if (line.starts_with(name + " ")) {
        return line.substr(name.size() + 1);
      }
    }
    return {};
  }
  bool HasPolicy(int version) {
    return this->Metric("cassiakeel_policy_version") == std::to_string(version);
  }

  ControlLoop loop;
  TestMesh mesh;
  ControlledNode node;
};

}  // namespace

// Guards against a confirmed policy that is not in force: the reread with the
// lower table version was dropped, and the numbers passed the known one later.
TEST_CASE("a policy is in force although its version is given out again") {
  const auto era =
      GENERATE(std::optional(StoreEra(1)), std::optional<StoreEra>());
  ReturnFixture fixture(era);
  const auto copy = fixture.store().Copy();
  fixture.AdvanceVersion(20);
  fixture.Run(kRereadTime);
  fixture.store().ComeBackFrom(copy);
  fixture.store().CutPolls();
  SECTION("slowly") {
    fixture.Run(milliseconds(100));
    fixture.store().Put("config", "8");
    fixture.Run(kRereadTime);
    CHECK(fixture.HasPolicy(8));
    fixture.AdvanceVersion(30);
    fixture.Run(kRereadTime);
  }
  SECTION("at once") {
    fixture.store().Put("config", "8");
    fixture.AdvanceVersion(30);
    fixture.Run(kRereadTime);
  }
  SECTION("twice") {
    fixture.store().Put("config", "8");
    fixture.store().ComeBackFrom(copy);
    fixture.store().Put("config", "9");
    fixture.AdvanceVersion(30);
    fixture.Run(kRereadTime);
    CHECK(fixture.HasPolicy(9));
    return;
  }
  CHECK(fixture.HasPolicy(8));
}

// Guards against a node that waits for a poll that began before the return and
// that nothing in its table ends.
TEST_CASE("a poll that outlives a return ends within the time of a change") {
  ReturnFixture fixture(StoreEra(1));
  const auto copy = fixture.store().Copy();
  fixture.AdvanceVersion(5);
  fixture.store().ComeBackFrom(copy);
  fixture.store().Put("config", "8");
  fixture.AdvanceVersion(30);
  CHECK(fixture.store().last_wait <= milliseconds(25000));
  fixture.store().EndPolls();
  fixture.Run(kRereadTime);
  CHECK(fixture.HasPolicy(8));
}

// Guards against a policy that reverts to that of the copy.
TEST_CASE("the older policy of the copy is not taken") {
  ReturnFixture fixture(StoreEra(1));
  const auto copy = fixture.store().Copy();
  fixture.store().Put("config", "8");
  fixture.Run(kRereadTime);
  REQUIRE(fixture.HasPolicy(8));
  fixture.store().ComeBackFrom(copy);
  fixture.store().CutPolls();
  fixture.Run(kRereadTime);
  CHECK(fixture.HasPolicy(8));
}

// Guards against a confirmed policy that is not in force because the store has
// given the number of a lost one out again.
TEST_CASE("a policy rewritten under the number of a lost one is taken") {
  ReturnFixture fixture(StoreEra(1));
  const auto status = [&fixture] {
    return fixture.mesh.Call("n", "/back/1", "id").response.status;
  };
  const auto copy = fixture.store().Copy();
  fixture.store().Put("config", "8");
  fixture.Run(kRereadTime);
  REQUIRE(status() == 503);
  // In calm, a number stands for one policy.
  fixture.store().Put("config", "8 other");
  fixture.Run(kRereadTime);
  CHECK(status() == 503);
  fixture.store().ComeBackFrom(copy);
  fixture.store().CutPolls();
  fixture.Run(kRereadTime);
  CHECK(status() == 503);
  fixture.store().Put("config", "8 other");
  fixture.Run(kRereadTime);
  CHECK(status() == 404);
  fixture.store().Put("config", "7");
  fixture.Run(kRereadTime);
  CHECK(fixture.HasPolicy(8));
}

// Guards against a confirmed policy that is not in force at a node which has
// got the lost one of its number from a peer.
TEST_CASE("a policy of a peer gives way to the stored one of its number") {
  FakeBackend backend([](const std::shared_ptr<h1::Exchange>& exchange) {
    exchange->Respond(FakeBackend::Success(exchange->request()));
  });
  ControlLoop loop;
  TestMesh mesh;
  ControlledNode peer(mesh, loop, "p");
  ControlledNode node(mesh, loop, "n");
  mesh.SetBackend("n", backend);
  for (auto* store : {&peer.store, &node.store}) {
    store->Put("n", EncodeDirectoryEntry(mesh.directory[NodeId("n")]));
    store->Put("config", "7");
  }
  const auto copy = peer.store.Copy();
  peer.store.Put("config", "8");
  const auto run = [&](int rounds) {
    for (int i = 0; i < rounds; ++i) {
      loop.RunFor(milliseconds(10), peer.store);
      loop.RunFor(milliseconds(10), node.store);
    }
  };
  peer.control->Start();
  run(3);
  peer.store.ComeBackFrom(copy);
  peer.store.CutPolls();
  node.store.era = peer.store.era;
  run(10);
  node.control->Start();
  run(3);
  const auto has_lost_policy = [&] {
    std::promise<std::string> text;
    node.node.CollectMetrics(
        [&text](std::string value) { text.set_value(std::move(value)); });
    return text.get_future().get().find("cassiakeel_policy_version 8") !=
           std::string::npos;
  };
  for (int i = 0; i < 150 && !has_lost_policy(); ++i) {
    mesh.Call("p", "/back/1", "x" + std::to_string(i));
    run(2);
  }
  REQUIRE(has_lost_policy());
  for (auto* store : {&peer.store, &node.store}) {
    store->Put("config", "8 other");
  }
  run(10);
  CHECK(mesh.Call("p", "/back/1", "y").response.status == 404);
  CHECK(mesh.Call("n", "/back/1", "z").response.status == 404);
}

// Guards against an operator who cannot see whether nodes have recovered.
TEST_CASE("metrics show the era, the returns and the recovery from them") {
  ReturnFixture fixture(StoreEra(4));
  const auto copy = fixture.store().Copy();
  CHECK(fixture.Metric("cassiakeel_store_era") == "4");
  CHECK(fixture.Metric("cassiakeel_store_rebuild_seconds").empty());
  fixture.store().ComeBackFrom(copy);
  fixture.store().CutPolls();
  fixture.Run(kRereadTime);
  CHECK(fixture.Metric("cassiakeel_store_era") == "5");
  CHECK(fixture.Metric("cassiakeel_store_returns_total") == "1");
  CHECK(std::stod(fixture.Metric("cassiakeel_store_rebuild_seconds")) < 2);
}

// Guards against a return that is missed because the header went with it.
TEST_CASE("a store that names its era no more may have come back") {
  ReturnFixture fixture(StoreEra(1));
  const auto copy = fixture.store().Copy();
  fixture.AdvanceVersion(5);
  fixture.Run(kRereadTime);
  fixture.store().ComeBackFrom(copy);
  fixture.store().era.reset();
  fixture.store().CutPolls();
  fixture.AdvanceVersion(30);
  fixture.Run(milliseconds(400));
  CHECK(fixture.Metric("cassiakeel_store_returns_total") == "1");
}

// Guards against rows that stay lost because only the policy is read again: an
// answer from before the return hid it from the polls.
TEST_CASE("a row that is new under a known number shows a return") {
  ReturnFixture fixture(std::nullopt);
  fixture.AdvanceVersion(5);
  fixture.Run(kRereadTime);
  const auto copy = fixture.store().Copy();
  fixture.store().Put("config", "8");
  fixture.Run(kRereadTime);
  fixture.store().ComeBackFrom(copy);
  fixture.store().Put("config", "9");
  fixture.AdvanceVersion(30);
  fixture.Run(kRereadTime);
  fixture.store().EndPolls();
  fixture.Run(kRereadTime);
  CHECK(fixture.HasPolicy(9));
  CHECK(fixture.Metric("cassiakeel_store_returns_total") == "1");
}

// Guards against an older hint of a peer that hides a newer one.
TEST_CASE("a peer in a later era makes a node ask the store for its era") {
  TestMesh mesh;
  ControlLoop loop;
  ControlledNode node(mesh, loop, "n");
  ControlledNode peer(mesh, loop, "p");
  FakeBackend backend([](const std::shared_ptr<h1::Exchange>& exchange) {
    exchange->Respond(FakeBackend::Success(exchange->request()));
  });
  mesh.SetBackend("p", backend);
  for (auto* store : {&node.store, &peer.store}) {
    store->Put("config", "7");
    store->Put("p", EncodeDirectoryEntry(mesh.directory[NodeId("p")]));
  }
  node.control->Start();
  peer.control->Start();
  const auto run = [&](milliseconds time) {
    for (auto left = time; left > milliseconds(0); left -= milliseconds(20)) {
      loop.RunFor(milliseconds(10), node.store);
      loop.RunFor(milliseconds(10), peer.store);
    }
  };
  run(milliseconds(100));
  // The store came back. The polls of one node have outlived that.
  peer.store.ComeBackFrom(peer.store.Copy());
  peer.store.CutPolls();
  run(milliseconds(200));
  node.store.ComeBackFrom(node.store.Copy());
  REQUIRE(mesh.Call("n", "/back/1", "id").response.status == 200);
  run(milliseconds(300));
  std::promise<std::string> text;
  node.node.CollectMetrics(
      [&text](std::string value) { text.set_value(std::move(value)); });
  CHECK(text.get_future().get().find("cassiakeel_store_era 2") !=
        std::string::npos);
}

// Guards against a node that reads without a pause.
TEST_CASE("eras that alternate make a node read at growing intervals") {
  ReturnFixture fixture(StoreEra(1));
  const int reads = fixture.store().reads;
  for (int i = 0; i < 200; ++i) {
    fixture.store().era = StoreEra(1 + i % 2);
    fixture.store().EndPolls();
    fixture.Run(milliseconds(10));
  }
  CHECK(fixture.store().reads < reads + 30);
  CHECK(pvt::RereadSpread(1000, {std::nullopt, 1}) == milliseconds(1500));
  CHECK(pvt::RereadSpread(1000, {std::nullopt, 9}) == milliseconds(2500));
}

// Guards against a node that reads for ever because the era does not rise.
TEST_CASE("reads that stay behind for long are taken for a return") {
  ReturnFixture fixture(StoreEra(1));
  const auto copy = fixture.store().Copy();
  fixture.AdvanceVersion(20);
  fixture.store().lose_history = true;
  fixture.store().ReplyToFollowers();
  fixture.Run(kRereadTime);
  fixture.store().ComeBackFrom(copy);
  fixture.store().era = StoreEra(1);
  fixture.store().CutPolls();
  fixture.store().Put("config", "8");
  fixture.Run(milliseconds(9000));
  CHECK(fixture.HasPolicy(8));
}

// Guards against a backend server that nobody finds: its row was written again
// only with the next change.
TEST_CASE("the own row that the copy lacks is written again") {
  const auto era =
      GENERATE(std::optional(StoreEra(1)), std::optional<StoreEra>());
  RestartedNode node(OwnRow(false));
  auto& store = node.node.store;
  store.era = era;
  node.node.control->Start();
  node.Run();
  const auto copy = store.Copy();
  node.Report(200, 1);
  node.Run();
  REQUIRE(node.StoredRow().started_at_ms == 200);
  SECTION("read and lost") {
    node.loop.RunFor(kDirectoryTime, store);
  }
  SECTION("lost before it was read") {}
  // Gives the version of the lost row out again.
  store.ComeBackFrom(copy);
  store.CutPolls();
  for (int i = 0; i < 30; ++i) {
    store.Put("unused", "x");
  }
  node.loop.RunFor(milliseconds(2000), store);
  CHECK(node.StoredRow().started_at_ms == 200);
}

// Guards against a departure that is confirmed because the write of an earlier
// era was acknowledged.
TEST_CASE("a departure is not confirmed by what an earlier era stored") {
  RestartedNode node(OwnRow(false));
  auto& store = node.node.store;
  node.node.control->Start();
  node.Report(100, 9);
  node.Run();
  const auto copy = store.Copy();
  node.node.control->OnDeparture(InstanceId("i"), 100, [](bool) {});
  node.Run();
  REQUIRE(node.StoredRow().departed);
  store.ComeBackFrom(copy);
  store.CutPolls();
  // The node has noticed, and cannot read yet.
  node.loop.RunFor(milliseconds(5), store);
  store.unavailable = true;
  std::vector<bool> confirmations;
  node.Run();
  node.loop.RunFor(milliseconds(100), store);
  store.unavailable = false;
  node.node.control->OnDeparture(
      InstanceId("i"), 100,
      [&confirmations](bool in_effect) { confirmations.push_back(in_effect); });
  node.loop.RunFor(milliseconds(2000), store);
  CHECK(node.StoredRow().departed);
  CHECK(confirmations == std::vector<bool>{true});
}

// Guards against a server that has left and is used again: its restarted node
// overwrote the departure that a peer had written for it.
TEST_CASE("a conflict with a departure in the own row does not undo it") {
  RestartedNode node(OwnRow(false));
  auto& store = node.node.store;
  node.node.control->Start();
  node.Report(100, 9);
  node.Run();
  REQUIRE_FALSE(node.StoredRow().leaving);
  // The poll that would show it is still to come.
  store.Put("n", OwnRow(true));
  auto report = ReportOf(node.backend, 100, 10);
  report.slots = Slots(9);
  node.node.control->OnReport(report, [](bool) {});
  node.Run();
  CHECK(node.StoredRow().departed);
  CHECK(node.StatusOfCall() == 503);
  CHECK(node.backend.runs == 0);
}

// Guards against a return that is never noticed after an odd header.
TEST_CASE("a missing, falling or jumping era leads to a new read") {
  ReturnFixture fixture(StoreEra(5));
  const int reads = fixture.store().reads;
  SECTION("absent once") {
    fixture.store().era.reset();
    fixture.store().Put("config", "8");
    fixture.store().DeliverReplies();
    fixture.store().era = StoreEra(5);
  }
  SECTION("falling") {
    fixture.store().era = StoreEra(2);
    fixture.store().Put("config", "8");
  }
  SECTION("jumping") {
    fixture.store().era = StoreEra(5000);
    fixture.store().Put("config", "8");
  }
  SECTION("gone for good") {
    fixture.store().era.reset();
    fixture.store().Put("config", "8");
  }
  fixture.Run(kRereadTime);
  CHECK(fixture.HasPolicy(8));
  CHECK(fixture.store().reads > reads);
  fixture.store().Put("config", "9");
  fixture.Run(kRereadTime);
  CHECK(fixture.HasPolicy(9));
}

}  // namespace cassiakeel::mesh
