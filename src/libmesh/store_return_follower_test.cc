// Followers and the registrar on their own when the shared store comes back
// from an older copy.

#include <set>

#include "control_test_support.h"

namespace cassiakeel::mesh {
namespace {

using std::chrono::milliseconds;

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

// Two tables of a store, each with its follower.
struct TwoTables {
  explicit TwoTables(std::optional<StoreEra> era = std::nullopt)
      : history(StoreHistory::Create(
            [this](const StoreHistory::Return&) {
              for (auto* follower : {&this->first, &this->second}) {
                (*follower)->OnStoreReturned(milliseconds(0));
              }
            },
            [](StoreEra) {})),
        first(this->Follow(this->first_store)),
        second(this->Follow(this->second_store)) {
    this->first_store.era = era;
    this->second_store.era = era;
    this->first_store.Put("a", "1");
    this->second_store.version = 5;
    this->second_store.Put("b", "1");
    this->first->Start();
    this->second->Start();
    this->Run();
  }
  std::shared_ptr<TableFollower> Follow(FakeStore& store) {
    return TableFollower::Create(
        store, this->history, this->loop.timers, "t", milliseconds(0),
        [](const RowMap&) {}, [](bool, const std::string&) {});
  }
  void Run() {
    for (int i = 0; i < 5; ++i) {
      this->loop.RunFor(milliseconds(5), this->first_store);
      this->loop.RunFor(milliseconds(5), this->second_store);
    }
  }

  ControlLoop loop;
  FakeStore first_store;
  FakeStore second_store;
  std::shared_ptr<StoreHistory> history;
  std::shared_ptr<TableFollower> first;
  std::shared_ptr<TableFollower> second;
};

}  // namespace

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

// Guards against a row that stays lost while the poll of its table outlives the
// return: the versions of each table were compared apart.
TEST_CASE("a read below the version of another table shows a return") {
  TwoTables tables;
  const int reads = tables.second_store.reads;
  const auto version = GENERATE(3, 6);
  tables.first_store.version = static_cast<std::uint64_t>(version);
  tables.first_store.EndPolls();
  tables.Run();
  CHECK(tables.history->epoch() == (version < 6 ? 1 : 0));
  CHECK(tables.second_store.reads == (version < 6 ? reads + 1 : reads));
}

// Guards against rows that stay lost, and against servers that get no calls
// until their rows are back: a read without them was taken for the present.
TEST_CASE("a row that is missing without a change shows a return") {
  TwoTables tables;
  auto& store = tables.second_store;
  const auto copy = store.Copy();
  store.Put("c", "1");
  tables.Run();
  store.ComeBackFrom(copy);
  store.era.reset();
  store.version += 30;
  store.EndPolls();
  tables.Run();
  CHECK(tables.history->epoch() == 1);
}

// Guards against an own row, or a departure, that stays lost because no read
// has shown it before the return.
TEST_CASE("a read that lacks an own write shows a return") {
  TwoTables tables;
  auto& store = tables.second_store;
  WriteReply written;
  written.applied = true;
  written.version = store.version + 1;
  tables.history->ObserveWrite({"t", "b", false, 0}, written);
  store.version += 30;
  store.EndPolls();
  tables.Run();
  CHECK(tables.history->epoch() == 1);
  store.EndPolls();
  tables.Run();
  CHECK(tables.history->epoch() == 1);
}

// Guards against a table that is read again only after a poll of 25 s, because
// it was last read while the store named its era.
TEST_CASE("a table read with an era is verified once the store names none") {
  TwoTables tables(StoreEra(1));
  auto& store = tables.second_store;
  const auto copy = store.Copy();
  store.Put("c", "1");
  tables.Run();
  store.ComeBackFrom(copy);
  store.version += 30;
  store.era.reset();
  tables.first_store.version = store.version;
  tables.first_store.era.reset();
  tables.first_store.EndPolls();
  tables.Run();
  tables.second->Verify();
  tables.Run();
  CHECK(tables.history->epoch() == 1);
}

// Guards against rows that stay lost until the longest wait of a poll is over,
// and against reads of a table that nothing has been written to.
TEST_CASE("without an era, a table is verified once the store has written") {
  TwoTables tables;
  const int reads = tables.second_store.reads;
  const auto verify = [&tables] {
    tables.second->Verify();
    tables.second->Verify();
    tables.Run();
    return tables.second_store.reads;
  };
  CHECK(verify() == reads);
  tables.first_store.version = 7;
  tables.second_store.version = 7;
  tables.first_store.EndPolls();
  tables.Run();
  CHECK(verify() == reads + 1);
  CHECK(verify() == reads + 1);
  CHECK(tables.history->epoch() == 0);
}

// Guards against nodes that all end their polls at the same moment, so that
// none of them notices a return in between.
TEST_CASE("polls of the policy wait for random times") {
  FollowerFixture table;
  auto& [loop, store, seen, follower] = table;
  follower->SetMeanPollWait(milliseconds(1000));
  std::set<milliseconds> waits;
  for (int i = 0; i < 20; ++i) {
    store.EndPolls();
    loop.RunFor(milliseconds(6), store);
    waits.insert(store.last_wait);
  }
  CHECK(waits.size() > 10);
  CHECK(*waits.rbegin() <= milliseconds(2000));
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

}  // namespace cassiakeel::mesh
