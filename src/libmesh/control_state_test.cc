#include "cassiakeel/mesh/backend_watch.h"
#include "cassiakeel/mesh/control.h"
#include "cassiakeel/mesh/registrar.h"
#include "cassiakeel/mesh/table_follower.h"
#include "mesh_test_support.h"

namespace cassiakeel::mesh {
namespace {

using std::chrono::milliseconds;

struct ControlLoop {
  ControlLoop() : timers(h1::TimerQueue::Create(io_context, clock)) {}
  // Runs timers on real time and the store's answers in between.
  void RunFor(milliseconds time, FakeStore& store) {
    const auto end = this->clock.Now() + time;
    while (this->clock.Now() < end) {
      store.Settle();
      this->io_context.run_for(milliseconds(5));
      this->io_context.restart();
    }
  }
  asio::io_context io_context;
  SystemClock clock;
  std::shared_ptr<h1::TimerQueue> timers;
};

BackendReport Report(const std::string& id,
                     std::int64_t born,
                     std::uint64_t sequence) {
  BackendReport report;
  report.instance = InstanceId(id);
  report.service = ServiceName("s");
  report.address = PeerAddress("127.0.0.1:1");
  report.started_at_ms = born;
  report.sequence = sequence;
  return report;
}

DirectoryEntry Entry(const std::string& instance) {
  DirectoryEntry entry;
  entry.node = NodeId("n");
  entry.address = PeerAddress("127.0.0.1:1");
  entry.zone = ZoneName("z");
  entry.service = ServiceName("s");
  entry.instance = InstanceId(instance);
  return entry;
}

Result<std::shared_ptr<const TrafficPolicy>> DecodeTestPolicy(
    const std::string& value) {
  if (value == "bad") {
    return Fail("decode policy", value);
  }
  return std::make_shared<const TrafficPolicy>(
      PolicyVersion(std::stoul(value)),
      std::vector<Route>{TestMesh::MakeRoute("back", true)}, InputLimits());
}

// A node with its control state and a store of its own.
class ControlledNode {
 public:
  ControlledNode(TestMesh& mesh, ControlLoop& loop, const std::string& name)
      : node(mesh.AddNode(name, "back")),
        control(MeshControl::Create(loop.io_context,
                                    mesh.settings[name],
                                    {"policies", "config", "nodes"},
                                    this->store,
                                    loop.timers,
                                    loop.clock,
                                    this->node,
                                    DecodeTestPolicy)) {}

  FakeStore store;
  MeshNode& node;
  std::unique_ptr<MeshControl> control;
};

// A follower that has read a table of one row.
struct FollowedTable {
  FollowedTable() {
    this->store.Put("a", "1");
    this->follower = TableFollower::Create(
        this->store, this->loop.timers, "t", milliseconds(0),
        [this](const RowMap& rows) { this->seen = rows; },
        [](bool, const std::string&) {});
    this->follower->Start();
    this->loop.RunFor(milliseconds(20), this->store);
  }
  ControlLoop loop;
  FakeStore store;
  RowMap seen;
  std::shared_ptr<TableFollower> follower;
};

}  // namespace

TEST_CASE("a late report of a predecessor does not replace its successor") {
  ControlLoop loop;
  const auto watch = BackendWatch::Create(
      loop.timers, loop.clock, milliseconds(5000), [](const LocalBackend&) {});
  watch->OnReport(Report("old", 100, 7));
  watch->OnReport(Report("new", 200, 1));
  watch->OnReport(Report("old", 100, 8));
  CHECK(watch->current().report.instance.Value() == "new");
}

TEST_CASE(
    "a restart under the same id is news although its count starts anew") {
  ControlLoop loop;
  int changes = 0;
  const auto watch =
      BackendWatch::Create(loop.timers, loop.clock, milliseconds(5000),
                           [&changes](const LocalBackend&) { ++changes; });
  auto leaving = Report("same", 100, 50);
  leaving.leaving = true;
  watch->OnReport(leaving);
  watch->OnReport(Report("same", 200, 1));
  CHECK_FALSE(watch->current().report.leaving);
  CHECK(changes == 2);
}

TEST_CASE("a server that said it leaves stays leaving for later reports") {
  ControlLoop loop;
  const auto watch = BackendWatch::Create(
      loop.timers, loop.clock, milliseconds(5000), [](const LocalBackend&) {});
  watch->OnReport(Report("a", 1, 1));
  watch->OnDeparture(InstanceId("a"), 0);
  watch->OnReport(Report("a", 1, 2));
  CHECK(watch->current().report.leaving);
}

TEST_CASE("a late report of a server that departed before is no news of it") {
  // The node restarted, confirmed the departure of a server that it did not
  // know, and then got a report that had been under way.
  ControlLoop loop;
  const auto watch = BackendWatch::Create(
      loop.timers, loop.clock, milliseconds(5000), [](const LocalBackend&) {});
  watch->OnDeparture(InstanceId("a"), 0);
  watch->OnReport(Report("a", 1000, 3));
  CHECK(watch->current().report.leaving);
  // A start of its own after that is another matter.
  const auto later = std::chrono::duration_cast<milliseconds>(
                         loop.clock.WallNow().time_since_epoch())
                         .count() +
                     10;
  watch->OnReport(Report("a", later, 1));
  CHECK_FALSE(watch->current().report.leaving);
}

TEST_CASE("a server without reports is taken as gone and comes back with one") {
  ControlLoop loop;
  FakeStore store;
  const auto watch = BackendWatch::Create(
      loop.timers, loop.clock, milliseconds(40), [](const LocalBackend&) {});
  watch->OnReport(Report("a", 1, 1));
  loop.RunFor(milliseconds(100), store);
  CHECK_FALSE(watch->current().present);
  watch->OnReport(Report("a", 1, 2));
  CHECK(watch->current().present);
}

TEST_CASE(
    "a restarted node takes up its server until a report says otherwise") {
  ControlLoop loop;
  const auto watch = BackendWatch::Create(
      loop.timers, loop.clock, milliseconds(5000), [](const LocalBackend&) {});
  watch->Restore(Report("known", 100, 0));
  CHECK(watch->current().present);
  watch->OnReport(Report("successor", 200, 1));
  watch->Restore(Report("known", 100, 0));
  CHECK(watch->current().report.instance.Value() == "successor");
}

TEST_CASE("a follower reads anew when the store forgot its history") {
  FollowedTable table;
  auto& [loop, store, seen, follower] = table;
  store.forget_history = true;
  store.rows.erase("a");
  store.Put("b", "2");
  loop.RunFor(milliseconds(50), store);
  CHECK(store.reads == 2);
  CHECK(seen.size() == 1);
  CHECK(seen.contains("b"));
}

TEST_CASE(
    "a follower whose call went silent reads anew when others know more") {
  FollowedTable table;
  auto& [loop, store, seen, follower] = table;
  store.silent = true;
  store.Put("b", "2");
  loop.RunFor(milliseconds(50), store);
  CHECK(seen.size() == 1);
  store.silent = false;
  follower->Expect([&table] { return table.seen.size() < 2; });
  follower->Expect([&table] { return table.seen.size() < 2; });
  loop.RunFor(milliseconds(700), store);
  CHECK(seen.size() == 2);
  CHECK(store.reads == 2);
}

TEST_CASE("a follower outlives an outage and tells of it once") {
  ControlLoop loop;
  FakeStore store;
  store.down = true;
  std::vector<bool> link;
  const auto follower = TableFollower::Create(
      store, loop.timers, "t", milliseconds(0), [](const RowMap&) {},
      [&link](bool up, const std::string&) { link.push_back(up); });
  follower->Start();
  loop.RunFor(milliseconds(150), store);
  store.down = false;
  store.Put("a", "1");
  loop.RunFor(milliseconds(600), store);
  CHECK(follower->loaded());
  CHECK(link == std::vector<bool>{false, true});
}

TEST_CASE("a write that takes effect late does not undo a newer one") {
  ControlLoop loop;
  FakeStore store;
  const auto registrar =
      Registrar::Create(store, loop.timers, "t", NodeId("n"));
  registrar->OnRows({});
  store.lose_writes = 1;
  registrar->Publish(Entry("first"));
  loop.RunFor(milliseconds(10), store);
  registrar->Publish(Entry("second"));
  loop.RunFor(milliseconds(400), store);
  REQUIRE(store.rows.contains("n"));
  const auto written = store.rows["n"].value;
  for (const auto& late : store.late_writes) {
    late();
  }
  CHECK(store.rows["n"].value == written);
  CHECK(DecodeEntry("n", written)->instance.Value() == "second");
}

TEST_CASE("a registration whose answer was lost is found to be done") {
  ControlLoop loop;
  FakeStore store;
  const auto registrar =
      Registrar::Create(store, loop.timers, "t", NodeId("n"));
  registrar->OnRows({});
  store.lose_writes = 1;
  registrar->Publish(Entry("first"));
  store.late_writes.front()();
  loop.RunFor(milliseconds(400), store);
  CHECK(store.writes == 2);
  CHECK(DecodeEntry("n", store.rows["n"].value)->instance.Value() == "first");
}

TEST_CASE(
    "a row of another writer names no backend server and harms no other") {
  RowMap rows;
  rows["good"] = {"good", EncodeEntry(Entry("i")), 1, false};
  rows["bytes"] = {"bytes", "\x01\x02", 2, false};
  rows["types"] = {"types", R"({"address":7,"zone":"z"})", 3, false};
  const auto directory = DecodeDirectory(rows);
  CHECK(directory.size() == 1);
  CHECK(directory.contains(NodeId("good")));
}

// Guards against a node that refuses all that begins on its machine because it
// was restarted while the store was away.
TEST_CASE("a node that the store does not serve gets its state from a peer") {
  FakeBackend backend([](const std::shared_ptr<h1::Exchange>& exchange) {
    exchange->Respond(FakeBackend::Success(exchange->request()));
  });
  ControlLoop loop;
  TestMesh mesh;
  ControlledNode a(mesh, loop, "a");
  ControlledNode b(mesh, loop, "b");
  mesh.SetBackend("b", backend);
  a.store.Put("b", EncodeEntry(mesh.directory[NodeId("b")]));
  a.store.Put("config", "7");
  b.store.down = true;
  a.control->Start();
  b.control->Start();
  const auto run = [&](int rounds) {
    for (int i = 0; i < rounds; ++i) {
      loop.RunFor(milliseconds(10), a.store);
      loop.RunFor(milliseconds(10), b.store);
    }
  };
  run(1);
  CHECK(mesh.Call("b", "/back/1", "early").response.status == 503);
  // The store holds a policy that nobody may use, and the one in force is
  // handed over.
  a.store.Put("config", "bad");
  for (int i = 0; i < 40; ++i) {
    CHECK(mesh.Call("a", "/back/1", "x").response.status == 200);
    run(2);
    if (mesh.Call("b", "/back/1", "y").response.status == 200) {
      break;
    }
  }
  CHECK(mesh.Call("b", "/back/1", "late").response.status == 200);
}

}  // namespace cassiakeel::mesh
