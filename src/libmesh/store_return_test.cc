// The shared store comes back from an older copy and gives its row versions out
// again. A "confirmed" row is one that the store has after that.

#include <future>

#include "control_test_support.h"
#include "peer_versions.h"

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
  bool HasPolicy(int version) {
    std::promise<std::string> text;
    this->node.node.CollectMetrics(
        [&text](std::string value) { text.set_value(std::move(value)); });
    return text.get_future().get().find("cassiakeel_policy_version " +
                                        std::to_string(version) + "\n") !=
           std::string::npos;
  }

  ControlLoop loop;
  TestMesh mesh;
  ControlledNode node;
};

// A store whose writes get their replies from the test.
class HeldWrites final : public SharedStore {
 public:
  struct Call {
    std::uint64_t expected_version;
    std::function<void(WriteReply)> handler;
  };
  void Read(const std::string&, std::function<void(StoreReply)>) override {}
  void Follow(const std::string&,
              std::uint64_t,
              milliseconds,
              std::function<void(StoreReply)>) override {}
  void Write(const std::string&,
             const std::string&,
             const std::optional<std::string>&,
             std::uint64_t expected_version,
             std::function<void(WriteReply)> handler) override {
    this->calls.push_back({expected_version, std::move(handler)});
  }
  std::vector<Call> calls;
};

StoreHistoryState StateOf(std::uint64_t era, std::uint64_t epoch) {
  return {StoreEra(era), epoch, false};
}

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

// Guards against a copy that is taken for the present, because the reply that
// ended the outage was no whole read.
TEST_CASE("a return after an outage is noticed if the era is gone as well") {
  ControlLoop loop;
  FakeStore store;
  std::shared_ptr<TableFollower> follower;
  const auto history = StoreHistory::Create(
      [&follower](const StoreHistory::Return&) {
        follower->OnStoreReturned(milliseconds(0));
      },
      [](StoreEra) {});
  follower = TableFollower::Create(
      store, history, loop.timers, "t", milliseconds(0), [](const RowMap&) {},
      [](bool, const std::string&) {});
  store.Put("a", "1");
  follower->Start();
  loop.RunFor(milliseconds(20), store);
  store.unavailable = true;
  store.CutPolls();
  loop.RunFor(milliseconds(30), store);
  store.era.reset();
  store.Put("a", "2");
  SECTION("the poll is answered") {}
  SECTION("the history is lost") {
    store.lose_history = true;
  }
  store.unavailable = false;
  loop.RunFor(milliseconds(400), store);
  CHECK(history->epoch() == 1);
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

// Guards against stale reads that are taken for a return.
TEST_CASE("a stale read in the same era is repeated until it is not stale") {
  FollowerFixture table;
  auto& [loop, store, seen, follower] = table;
  const auto stale = store.Copy();
  store.Put("b", "2");
  loop.RunFor(milliseconds(20), store);
  REQUIRE(seen.size() == 2);
  const auto current = store.Copy();
  store.lose_history = true;
  store.rows = stale.first;
  store.version = stale.second;
  store.ReplyToFollowers();
  const int reads = store.reads;
  loop.RunFor(milliseconds(600), store);
  CHECK(seen.size() == 2);
  CHECK(store.reads > reads + 2);
  CHECK(store.reads < reads + 10);
  store.rows = current.first;
  store.version = current.second;
  store.Put("c", "3");
  loop.RunFor(milliseconds(1600), store);
  CHECK(seen.size() == 3);
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

// Guards against a departure that is confirmed and in no store: the reply to a
// write from before the return was taken for that of the write after it.
TEST_CASE("a write under way at a return is built anew") {
  ControlLoop loop;
  HeldWrites store;
  std::shared_ptr<Registrar> registrar;
  const auto history = StoreHistory::Create(
      [&registrar](const StoreHistory::Return&) {
        registrar->OnStoreReturned();
      },
      [](StoreEra) {});
  registrar = Registrar::Create(store, history, loop.timers, "t", NodeId("n"));
  history->Observe(StoreEra(1), 0);
  RowMap before;
  before["n"] = {"n", EncodeDirectoryEntry(MakeEntry("old")), 7, false};
  registrar->OnRows(before);
  registrar->Publish(MakeEntry("new"));
  REQUIRE(store.calls.size() == 1);
  CHECK(store.calls[0].expected_version == 7);
  history->Observe(StoreEra(2), 0);
  bool stored = false;
  registrar->WhenStored([&stored](bool result) { stored = result; });
  CHECK(store.calls.size() == 1);
  RowMap copy;
  copy["n"] = {"n", EncodeDirectoryEntry(MakeEntry("older")), 3, false};
  registrar->OnRows(copy);
  REQUIRE(store.calls.size() == 2);
  CHECK(store.calls[1].expected_version == 3);
  WriteReply applied;
  applied.applied = true;
  applied.version = 8;
  applied.era = StoreEra(1);
  store.calls[0].handler(applied);
  CHECK_FALSE(stored);
  applied.version = 4;
  applied.era = StoreEra(2);
  store.calls[1].handler(applied);
  CHECK(stored);
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

TEST_CASE("replies are placed by their era and the epoch of their call") {
  const auto known = StateOf(3, 2);
  const auto place = [&known](std::optional<std::uint64_t> era,
                              std::uint64_t epoch) {
    return PlaceReply(known, era ? std::optional(StoreEra(*era)) : std::nullopt,
                      epoch);
  };
  CHECK(place(3, 2) == ReplyPlace::kSame);
  CHECK(place(3, 1) == ReplyPlace::kLate);
  CHECK(place(4, 2) == ReplyPlace::kReturned);
  CHECK(place(4, 1) == ReplyPlace::kReturned);
  CHECK(place(9, 2) == ReplyPlace::kReturned);
  CHECK(place(2, 1) == ReplyPlace::kLate);
  // A call of this epoch was sent after the higher era had been seen.
  CHECK(place(2, 2) == ReplyPlace::kReturned);
  CHECK(place(std::nullopt, 2) == ReplyPlace::kUnplaced);
  CHECK(place(std::nullopt, 1) == ReplyPlace::kLate);
  // The first era is no return, unless rows were taken without one before.
  CHECK(PlaceReply(StateOf(0, 0), StoreEra(5), 0) == ReplyPlace::kSame);
  CHECK(PlaceReply({StoreEra(0), 0, true}, StoreEra(5), 0) ==
        ReplyPlace::kReturned);
  CHECK(PlaceReply(StateOf(0, 1), StoreEra(5), 0) == ReplyPlace::kLate);
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

// Guards against a peer's older numbers that hide the newer state behind them.
TEST_CASE("positions of peers are ordered by the era before the version") {
  pvt::PeerVersions versions;
  const SteadyTime now;
  pvt::SetOwnDirectory(versions, {StoreEra(1), 90});
  CHECK_FALSE(pvt::RecordPeerVersions(versions, {0, {StoreEra(1), 80}}, now));
  CHECK(pvt::RecordPeerVersions(versions, {0, {StoreEra(2), 10}}, now));
  CHECK_FALSE(pvt::RecordPeerVersions(versions, {0, {StoreEra(1), 95}}, now));
  pvt::SetOwnDirectory(versions, {StoreEra(2), 10});
  CHECK(pvt::RecordPeerVersions(versions, {0, {StoreEra(2), 11}}, now));
  // A store without an era: what peers told before counts for nothing.
  versions = {};
  pvt::SetOwnDirectory(versions, {StoreEra(0), 90});
  pvt::SetOwnDirectory(versions, {StoreEra(0), 10});
  CHECK(pvt::RecordPeerVersions(versions, {0, {StoreEra(0), 11}}, now));
}

}  // namespace cassiakeel::mesh
