#include "cassiakeel/mesh/directory_view.h"

#include "cassiakeel/mesh/departure_keeper.h"
#include "control_test_support.h"

namespace cassiakeel::mesh {
namespace {

using std::chrono::milliseconds;

const SteadyTime kStart{};

DirectoryEntry EntryOf(const std::string& node,
                       const std::string& instance,
                       std::int64_t started_at_ms,
                       bool departed = false) {
  auto entry = MakeEntry(instance);
  entry.node = NodeId(node);
  entry.started_at_ms = started_at_ms;
  entry.departed = departed;
  entry.leaving = departed;
  return entry;
}

// Rows of a table, with versions that grow with each entry from `version` on.
RowMap RowsOf(const std::vector<DirectoryEntry>& entries,
              std::uint64_t version) {
  RowMap rows;
  for (const auto& entry : entries) {
    const auto& key = entry.node.Value();
    rows[key] = {key, EncodeDirectoryEntry(entry), version++, false};
  }
  return rows;
}

std::optional<DirectoryEntry> Shown(const DirectoryView& view,
                                    milliseconds after,
                                    const std::string& node = "a") {
  const auto visible = VisibleDirectory(view, kStart + after);
  const auto found = visible.find(NodeId(node));
  return found == visible.end() ? std::nullopt : std::optional(found->second);
}

constexpr milliseconds kWithinGrace = kRewriteGrace - milliseconds(1);

}  // namespace

TEST_CASE("in calm the stored row is used, whatever was there before") {
  DirectoryView view;
  ApplyRows(view, RowsOf({EntryOf("a", "new", 200, true)}, 1), kStart);
  // The clock of the instance was set back.
  ApplyRows(view, RowsOf({EntryOf("a", "old", 100)}, 2), kStart);
  CHECK(Shown(view, milliseconds(0))->instance.Value() == "old");
  ApplyRows(view, {}, kStart);
  CHECK_FALSE(Shown(view, milliseconds(0)));
}

// Guards against requests that are refused for lack of a backend server while
// the nodes write their rows again.
TEST_CASE("an entry that the copy lacks is used until its grace ends") {
  DirectoryView view;
  ApplyRows(view, RowsOf({EntryOf("a", "i", 100)}, 9), kStart);
  BeginReturn(view, kStart);
  CHECK(Shown(view, 10 * kRewriteGrace));
  ApplyRows(view, {}, kStart);
  CHECK(Shown(view, kWithinGrace));
  CHECK(NextChange(view, kStart) == kStart + kRewriteGrace);
  CHECK_FALSE(Shown(view, kRewriteGrace));
  ApplyRows(view, RowsOf({EntryOf("a", "i", 100)}, 3), kStart);
  CHECK(Shown(view, kRewriteGrace));
  CHECK_FALSE(NextChange(view, kStart));
}

// Guards against a server that has left and is used again.
TEST_CASE("a departure that the copy lacks stays in force") {
  DirectoryView view;
  const auto live = EntryOf("a", "i", 100);
  ApplyRows(view, RowsOf({EntryOf("a", "i", 100, true)}, 9), kStart);
  BeginReturn(view, kStart);
  SECTION("the row shows the server as active") {
    ApplyRows(view, RowsOf({live}, 2), kStart);
  }
  SECTION("the row is missing") {
    ApplyRows(view, {}, kStart);
  }
  SECTION("the row shows a server that started earlier") {
    ApplyRows(view, RowsOf({EntryOf("a", "h", 50)}, 2), kStart);
  }
  SECTION("a restarted node has written that it is active") {
    ApplyRows(view, RowsOf({live}, 2), kStart);
    ApplyRows(view, RowsOf({live}, 5), kStart);
  }
  CHECK(Shown(view, kWithinGrace)->departed);
  CHECK(Shown(view, 10 * kRewriteGrace)->departed);
  REQUIRE(UnstoredDepartures(view).size() == 1);
  // Another return, from a copy that lacks it as well.
  BeginReturn(view, kStart + 2 * kRewriteGrace);
  CHECK(Shown(view, 3 * kRewriteGrace)->departed);
  ApplyRows(view, RowsOf({live}, 2), kStart + 2 * kRewriteGrace);
  CHECK(Shown(view, 9 * kRewriteGrace)->departed);
  // The next server of the instance ends it.
  ApplyRows(view, RowsOf({EntryOf("a", "j", 300)}, 8), kStart);
  CHECK(Shown(view, milliseconds(0))->instance.Value() == "j");
  CHECK(UnstoredDepartures(view).empty());
}

// Guards against a departure that the next return undoes: the departure of an
// earlier process with the same id was taken for it.
TEST_CASE("the departure of an earlier process does not stand for a later") {
  DirectoryView view;
  ApplyRows(view, RowsOf({EntryOf("a", "i", 200, true)}, 9), kStart);
  BeginReturn(view, kStart);
  ApplyRows(view, RowsOf({EntryOf("a", "i", 100, true)}, 2), kStart);
  CHECK(Shown(view, kWithinGrace)->started_at_ms == 200);
  CHECK(UnstoredDepartures(view).size() == 1);
  BeginReturn(view, kStart);
  ApplyRows(view, RowsOf({EntryOf("a", "i", 200)}, 5), kStart);
  CHECK(Shown(view, kRewriteGrace)->departed);
}

// Guards against requests for a service whose address another one has now.
TEST_CASE("an earlier server out of the copy is not used") {
  DirectoryView view;
  ApplyRows(view, RowsOf({EntryOf("a", "new", 200)}, 9), kStart);
  BeginReturn(view, kStart);
  const auto copy = RowsOf({EntryOf("a", "old", 100)}, 2);
  ApplyRows(view, copy, kStart);
  CHECK(Shown(view, kWithinGrace)->instance.Value() == "new");
  CHECK_FALSE(Shown(view, kRewriteGrace));
  // Neither after a second return, when the later one is known no more.
  const auto later = kStart + 2 * kRewriteGrace;
  BeginReturn(view, later);
  ApplyRows(view, copy, later);
  CHECK_FALSE(Shown(view, 2 * kRewriteGrace));
  // A row that its node has written since is its word.
  ApplyRows(view, RowsOf({EntryOf("a", "old", 100)}, 3), later);
  CHECK(Shown(view, 2 * kRewriteGrace)->instance.Value() == "old");
}

// Guards against a departure that a restarted node learned from a peer and
// forgets with its first read of the store, and against a directory that is
// gone when the grace ends.
TEST_CASE("the first read does not undo what a peer has told") {
  DirectoryView view;
  ApplyPeerRows(
      view, RowsOf({EntryOf("a", "i", 100, true), EntryOf("b", "i", 100)}, 9));
  CHECK(Shown(view, 10 * kRewriteGrace)->departed);
  CHECK(Shown(view, 10 * kRewriteGrace, "b"));
  CHECK_FALSE(NextChange(view, kStart));
  if (GENERATE(false, true)) {
    BeginReturn(view, kStart);
  }
  ApplyRows(view, RowsOf({EntryOf("a", "i", 100), EntryOf("c", "i", 100)}, 1),
            kStart);
  CHECK(Shown(view, 10 * kRewriteGrace)->departed);
  CHECK(Shown(view, kWithinGrace, "b"));
  CHECK_FALSE(Shown(view, kRewriteGrace, "b"));
  CHECK(Shown(view, kRewriteGrace, "c"));
}

// Guards against a departure that nobody writes because all turns fall to nodes
// that have ended.
TEST_CASE("nodes that have ended take no turn") {
  ControlLoop loop;
  FakeStore store;
  const auto keeper =
      DepartureKeeper::Create(store, MakeHistory(), loop.timers, "t",
                              NodeId("b"), [](const DirectoryEntry&) {});
  Directory directory;
  for (int i = 0; i < 100; ++i) {
    const auto node = "ended-" + std::to_string(i);
    directory[NodeId(node)] = EntryOf(node, "i", 100, true);
  }
  keeper->Update({EntryOf("a", "i", 100, true)}, {}, directory);
  loop.RunFor(milliseconds(1000), store);
  CHECK(store.rows.contains("a"));
}

// Guards against a departure that is lost with its node, and against nodes that
// all write it.
TEST_CASE("peers write a lost departure of a node that has ended once") {
  ControlLoop loop;
  FakeStore store;
  const auto history = MakeHistory();
  std::vector<std::shared_ptr<DepartureKeeper>> keepers;
  Directory directory;
  for (const auto* name : {"a", "b", "c", "d"}) {
    directory[NodeId(name)] = EntryOf(name, "i", 100);
  }
  int written = 0;
  for (const auto& [node, entry] : directory) {
    if (node == NodeId("a")) {
      continue;  // This node has ended.
    }
    keepers.push_back(DepartureKeeper::Create(
        store, history, loop.timers, "t", node,
        [&written](const DirectoryEntry&) { ++written; }));
  }
  const auto departure = EntryOf("a", "i", 100, true);
  const auto update = [&] {
    for (const auto& keeper : keepers) {
      keeper->Update({departure}, store.rows, directory);
    }
  };
  SECTION("the row shows the server as active") {
    store.Put("a", EncodeDirectoryEntry(EntryOf("a", "i", 100)));
    update();
  }
  SECTION("the row is missing") {
    update();
  }
  SECTION("a restarted node writes the row of the copy meanwhile") {
    update();
    store.Put("a", EncodeDirectoryEntry(EntryOf("a", "i", 100)));
  }
  loop.RunFor(milliseconds(2500), store);
  CHECK(DecodeDirectoryEntry("a", store.rows["a"].value)->departed);
  CHECK(written == 1);
  // Each of the three peers tries once, and once more after a conflict.
  CHECK(store.writes <= 6);
}

// Guards against a departure that no peer writes after a conflict with that of
// an earlier process.
TEST_CASE("a departure is written over that of an earlier process") {
  ControlLoop loop;
  FakeStore store;
  const auto keeper =
      DepartureKeeper::Create(store, MakeHistory(), loop.timers, "t",
                              NodeId("b"), [](const DirectoryEntry&) {});
  keeper->Update({EntryOf("a", "i", 200, true)}, {}, {});
  store.Put("a", EncodeDirectoryEntry(EntryOf("a", "i", 100, true)));
  loop.RunFor(milliseconds(1500), store);
  CHECK(DecodeDirectoryEntry("a", store.rows["a"].value)->started_at_ms == 200);
}

// Guards against a departure that nobody writes, because its node has restarted
// and publishes nothing and no peer is left that knows it.
TEST_CASE("a node writes its own departure that it does not publish") {
  ControlLoop loop;
  FakeStore store;
  store.Put("a", EncodeDirectoryEntry(EntryOf("a", "i", 100)));
  const auto keeper =
      DepartureKeeper::Create(store, MakeHistory(), loop.timers, "t",
                              NodeId("a"), [](const DirectoryEntry&) {});
  const auto departure = EntryOf("a", "i", 100, true);
  keeper->Update({departure}, store.rows, {{NodeId("a"), departure}});
  loop.RunFor(milliseconds(1000), store);
  CHECK(DecodeDirectoryEntry("a", store.rows["a"].value)->departed);
}

// Guards against a departure that nobody writes, because all turns belong to
// nodes that have ended.
TEST_CASE("nodes that have left take no turn to write a departure") {
  ControlLoop loop;
  FakeStore store;
  Directory directory;
  for (int i = 0; i < 200; ++i) {
    const auto name = "ended" + std::to_string(i);
    directory[NodeId(name)] = EntryOf(name, "i", 100, true);
  }
  const auto keeper =
      DepartureKeeper::Create(store, MakeHistory(), loop.timers, "t",
                              NodeId("b"), [](const DirectoryEntry&) {});
  keeper->Update({EntryOf("a", "i", 100, true)}, {}, directory);
  loop.RunFor(milliseconds(1000), store);
  CHECK(store.rows.contains("a"));
}

TEST_CASE("a peer leaves the row of a later server alone") {
  ControlLoop loop;
  FakeStore store;
  const auto keeper =
      DepartureKeeper::Create(store, MakeHistory(), loop.timers, "t",
                              NodeId("b"), [](const DirectoryEntry&) {});
  keeper->Update({EntryOf("a", "i", 100, true)}, {}, {});
  store.Put("a", EncodeDirectoryEntry(EntryOf("a", "j", 200)));
  loop.RunFor(milliseconds(1500), store);
  CHECK(store.writes == 1);
  CHECK(DecodeDirectoryEntry("a", store.rows["a"].value)->instance.Value() ==
        "j");
}

}  // namespace cassiakeel::mesh
