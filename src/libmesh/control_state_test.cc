#include <future>

#include "control_test_support.h"

namespace cassiakeel::mesh {
namespace {

using std::chrono::milliseconds;

}  // namespace

TEST_CASE("a delayed report of the previous server process is ignored") {
  ControlLoop loop;
  const auto watch = BackendWatch::Create(
      loop.timers, loop.clock, milliseconds(5000), [](const LocalBackend&) {});
  watch->OnReport(MakeReport("old", 100, 7));
  watch->OnReport(MakeReport("new", 200, 1));
  watch->OnReport(MakeReport("old", 100, 8));
  CHECK(watch->current().report.instance.Value() == "new");
}

TEST_CASE(
    "a restart with the same id is detected although the sequence restarts") {
  ControlLoop loop;
  int changes = 0;
  const auto watch =
      BackendWatch::Create(loop.timers, loop.clock, milliseconds(5000),
                           [&changes](const LocalBackend&) { ++changes; });
  auto leaving = MakeReport("same", 100, 50);
  leaving.leaving = true;
  watch->OnReport(leaving);
  watch->OnReport(MakeReport("same", 200, 1));
  CHECK_FALSE(watch->current().report.leaving);
  CHECK(changes == 2);
}

// Guards against a departure that is confirmed and has no effect, because the
// report of another writer with a higher sequence number was taken before.
TEST_CASE("a server is leaving although a report has a lower sequence") {
  ControlLoop loop;
  const auto watch = BackendWatch::Create(
      loop.timers, loop.clock, milliseconds(5000), [](const LocalBackend&) {});
  watch->OnReport(MakeReport("a", 100, 1000));
  auto leaving = MakeReport("a", 100, 8);
  leaving.leaving = true;
  watch->OnReport(leaving);
  CHECK(watch->current().report.leaving);
  // The departure of a previous process says nothing about this one.
  watch->OnReport(MakeReport("b", 200, 1));
  watch->OnReport(leaving);
  CHECK_FALSE(watch->current().report.leaving);
}

TEST_CASE("a deregistered server stays leaving despite later reports") {
  ControlLoop loop;
  const auto watch = BackendWatch::Create(
      loop.timers, loop.clock, milliseconds(5000), [](const LocalBackend&) {});
  watch->OnReport(MakeReport("a", 1, 1));
  watch->OnDeparture(InstanceId("a"), 0);
  watch->OnReport(MakeReport("a", 1, 2));
  CHECK(watch->current().report.leaving);
}

TEST_CASE("a delayed report of a deregistered server does not reactivate it") {
  // A restarted node confirms the deregistration of a server that it does not
  // know, and then receives a report that was still in transit.
  ControlLoop loop;
  const auto watch = BackendWatch::Create(
      loop.timers, loop.clock, milliseconds(5000), [](const LocalBackend&) {});
  watch->OnDeparture(InstanceId("a"), 0);
  watch->OnReport(MakeReport("a", 1000, 3));
  CHECK(watch->current().report.leaving);
  // A server process that started after the deregistration is active.
  const auto later = std::chrono::duration_cast<milliseconds>(
                         loop.clock.WallNow().time_since_epoch())
                         .count() +
                     10;
  watch->OnReport(MakeReport("a", later, 1));
  CHECK_FALSE(watch->current().report.leaving);
}

TEST_CASE("a server without reports is considered gone until the next report") {
  ControlLoop loop;
  FakeStore store;
  const auto watch = BackendWatch::Create(
      loop.timers, loop.clock, milliseconds(40), [](const LocalBackend&) {});
  watch->OnReport(MakeReport("a", 1, 1));
  loop.RunFor(milliseconds(100), store);
  CHECK_FALSE(watch->current().present);
  watch->OnReport(MakeReport("a", 1, 2));
  CHECK(watch->current().present);
}

TEST_CASE("a restarted node restores its server unless a report has arrived") {
  ControlLoop loop;
  const auto watch = BackendWatch::Create(
      loop.timers, loop.clock, milliseconds(5000), [](const LocalBackend&) {});
  watch->Restore(MakeReport("known", 100, 0));
  CHECK(watch->current().present);
  watch->OnReport(MakeReport("successor", 200, 1));
  watch->Restore(MakeReport("known", 100, 0));
  CHECK(watch->current().report.instance.Value() == "successor");
}

// Guards against a departure, or a live server, that its restarted node
// overwrites with an earlier server out of an older copy of the store.
TEST_CASE("a restored server gives way to a later one in its row") {
  ControlLoop loop;
  std::vector<LocalBackend> changes;
  const auto watch = BackendWatch::Create(
      loop.timers, loop.clock, milliseconds(5000),
      [&changes](const LocalBackend& backend) { changes.push_back(backend); });
  const auto& current = watch->current().report;
  watch->Restore(MakeReport("a", 100, 0));
  SECTION("a server") {
    watch->Restore(MakeReport("b", 200, 0));
    CHECK(current.instance.Value() == "b");
    CHECK_FALSE(current.leaving);
    watch->Restore(MakeReport("a", 100, 0));
    CHECK(current.instance.Value() == "b");
  }
  SECTION("a departure") {
    const std::string id = GENERATE("a", "b");
    CHECK(watch->RestoreDeparture(InstanceId(id), 200));
    CHECK(current.instance.Value() == id);
    CHECK(current.started_at_ms == 200);
    CHECK(current.leaving);
    REQUIRE(changes.size() == 2);
  }
  SECTION("a report has confirmed it, because the clock was set back") {
    watch->OnReport(MakeReport("a", 100, 1));
    watch->Restore(MakeReport("b", 200, 0));
    watch->RestoreDeparture(InstanceId("b"), 200);
    CHECK(current.instance.Value() == "a");
    CHECK_FALSE(current.leaving);
  }
  SECTION("a report has confirmed an earlier process of a departed one") {
    watch->OnReport(MakeReport("a", 100, 1));
    watch->RestoreDeparture(InstanceId("a"), 200);
    CHECK(current.started_at_ms == 200);
    CHECK(current.leaving);
  }
}

// Guards against a server that left and is used again after a restart of its
// node, because a report from before its departure arrives late.
TEST_CASE("a restarted node does not take up a server that has departed") {
  RestartedNode restarted(OwnRow(true));
  restarted.node.control->Start();
  restarted.Run();
  restarted.Report(100, 9);
  CHECK(restarted.StatusOfCall() == 503);
  CHECK(restarted.backend.runs == 0);
  CHECK(restarted.StoredRow().departed);
  // Another process of the server, under the same id.
  restarted.Report(200, 1);
  // Longer than the interval at which the node reads the directory.
  restarted.loop.RunFor(milliseconds(2500), restarted.node.store);
  CHECK(restarted.StatusOfCall() == 200);
  CHECK_FALSE(restarted.StoredRow().leaving);
}

// As above; the late report overtakes the first read of the directory, and
// other nodes still send calls to the server.
TEST_CASE("a report has no effect before the node knows its own row") {
  RestartedNode restarted(OwnRow(true));
  restarted.node.store.unavailable = true;
  restarted.node.control->Start();
  restarted.Report(100, 9);
  auto active = *DecodeDirectoryEntry("n", OwnRow(false));
  active.leaving = false;
  active.address = restarted.mesh.settings["n"].inbound_address;
  restarted.mesh.directory[active.node] = active;
  restarted.mesh.Publish({TestMesh::MakeRoute("back", false)});
  CHECK(restarted.StatusOfCall() == 503);
  CHECK(restarted.backend.runs == 0);
  restarted.node.store.unavailable = false;
  restarted.loop.RunFor(milliseconds(400), restarted.node.store);
  CHECK(restarted.StatusOfCall() == 503);
  CHECK(restarted.backend.runs == 0);
  CHECK(restarted.StoredRow().departed);
}

// Guards against a server that is shut out after a gap in its reports.
TEST_CASE("a restarted node takes up a server that had stopped reporting") {
  RestartedNode restarted(OwnRow(false));
  restarted.node.control->Start();
  restarted.Report(100, 9);
  CHECK(restarted.StatusOfCall() == 200);
  CHECK_FALSE(restarted.StoredRow().leaving);
}

TEST_CASE("the departure of a server that never reported is published") {
  RestartedNode restarted(OwnRow(false));
  restarted.node.control->Start();
  restarted.Run();
  restarted.node.control->OnDeparture(InstanceId("i"), 300, [](bool) {});
  restarted.Run();
  CHECK(restarted.StoredRow().departed);
  CHECK(restarted.StoredRow().started_at_ms == 300);
  restarted.Report(300, 1);
  CHECK(restarted.StatusOfCall() == 503);
  CHECK(restarted.backend.runs == 0);
}

// Guards against a server that left and is used again after a restart, because
// its departure was confirmed during an outage of the store, when the row still
// says that it is active.
TEST_CASE("a departure is confirmed only when the store has it") {
  RestartedNode restarted(OwnRow(false));
  auto& store = restarted.node.store;
  auto& control = *restarted.node.control;
  control.Start();
  restarted.Report(100, 9);
  CHECK(restarted.StatusOfCall() == 200);
  // Neither the write nor its reply gets through.
  store.lost_replies_left = 100;
  std::vector<bool> confirmations;
  const auto confirm = [&confirmations](bool in_effect) {
    confirmations.push_back(in_effect);
  };
  SECTION("by deregistration") {
    control.OnDeparture(InstanceId("i"), 100, confirm);
  }
  SECTION("by a report") {
    auto report = ReportOf(restarted.backend, 100, 10);
    report.leaving = true;
    control.OnReport(report, confirm);
  }
  // The server gets no new work from now on, whatever the store does.
  const int runs = restarted.backend.runs;
  CHECK(restarted.StatusOfCall() == 503);
  CHECK(confirmations.empty());
  restarted.loop.RunFor(milliseconds(1000), store);
  CHECK(confirmations == std::vector<bool>{false});
  // The server repeats what it said once the store works again.
  store.lost_replies_left = 0;
  control.OnDeparture(InstanceId("i"), 100, confirm);
  restarted.Run();
  CHECK(confirmations == std::vector<bool>{false, true});
  CHECK(restarted.StoredRow().departed);
  CHECK(restarted.backend.runs == runs);
}

TEST_CASE(
    "a follower reads the table again when the store has lost its history") {
  FollowerFixture table;
  auto& [loop, store, seen, follower] = table;
  store.lose_history = true;
  store.rows.erase("a");
  store.Put("b", "2");
  loop.RunFor(milliseconds(50), store);
  CHECK(store.reads == 2);
  CHECK(seen.size() == 1);
  CHECK(seen.contains("b"));
}

TEST_CASE(
    "a follower whose poll hangs reads again when a peer has newer rows") {
  FollowerFixture table;
  auto& [loop, store, seen, follower] = table;
  store.hang_follows = true;
  store.Put("b", "2");
  loop.RunFor(milliseconds(50), store);
  CHECK(seen.size() == 1);
  store.hang_follows = false;
  follower->ReloadIfBehind([&table] { return table.seen.size() < 2; });
  follower->ReloadIfBehind([&table] { return table.seen.size() < 2; });
  loop.RunFor(milliseconds(700), store);
  CHECK(seen.size() == 2);
  CHECK(store.reads == 2);
}

TEST_CASE("a follower recovers from an outage and reports it once") {
  ControlLoop loop;
  FakeStore store;
  store.unavailable = true;
  std::vector<bool> connection_states;
  const auto follower = TableFollower::Create(
      store, MakeHistory(), loop.timers, "t", milliseconds(0),
      [](const RowMap&) {},
      [&connection_states](bool up, const std::string&) {
        connection_states.push_back(up);
      });
  follower->Start();
  loop.RunFor(milliseconds(150), store);
  store.unavailable = false;
  store.Put("a", "1");
  loop.RunFor(milliseconds(600), store);
  CHECK(follower->loaded());
  CHECK(connection_states == std::vector<bool>{false, true});
}

TEST_CASE("a delayed write does not overwrite a newer one") {
  ControlLoop loop;
  FakeStore store;
  const auto registrar =
      Registrar::Create(store, MakeHistory(), loop.timers, "t", NodeId("n"));
  registrar->OnRows({});
  store.lost_replies_left = 1;
  registrar->Publish(MakeEntry("first"));
  loop.RunFor(milliseconds(10), store);
  registrar->Publish(MakeEntry("second"));
  loop.RunFor(milliseconds(400), store);
  REQUIRE(store.rows.contains("n"));
  const auto written = store.rows["n"].value;
  for (const auto& write : store.delayed_writes) {
    write();
  }
  CHECK(store.rows["n"].value == written);
  CHECK(DecodeDirectoryEntry("n", written)->instance.Value() == "second");
}

TEST_CASE("a registration is detected as complete after its reply was lost") {
  ControlLoop loop;
  FakeStore store;
  const auto registrar =
      Registrar::Create(store, MakeHistory(), loop.timers, "t", NodeId("n"));
  registrar->OnRows({});
  store.lost_replies_left = 1;
  registrar->Publish(MakeEntry("first"));
  store.delayed_writes.front()();
  loop.RunFor(milliseconds(400), store);
  CHECK(store.writes == 2);
  CHECK(DecodeDirectoryEntry("n", store.rows["n"].value)->instance.Value() ==
        "first");
}

TEST_CASE("a directory row that cannot be decoded is skipped") {
  RowMap rows;
  rows["good"] = {"good", EncodeDirectoryEntry(MakeEntry("i")), 1, false};
  rows["bytes"] = {"bytes", "\x01\x02", 2, false};
  rows["types"] = {"types", R"({"address":7,"zone":"z"})", 3, false};
  const auto directory = DecodeDirectory(rows);
  CHECK(directory.size() == 1);
  CHECK(directory.contains(NodeId("good")));
}

// A node that restarted during an outage of the store has no policy or
// directory and would refuse all requests until the store recovers.
TEST_CASE("a node without access to the store gets its state from a peer") {
  FakeBackend backend([](const std::shared_ptr<h1::Exchange>& exchange) {
    exchange->Respond(FakeBackend::Success(exchange->request()));
  });
  ControlLoop loop;
  TestMesh mesh;
  ControlledNode a(mesh, loop, "a");
  ControlledNode b(mesh, loop, "b");
  mesh.SetBackend("b", backend);
  a.store.Put("b", EncodeDirectoryEntry(mesh.directory[NodeId("b")]));
  a.store.Put("config", "7");
  b.store.unavailable = true;
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
  // The policy in the store is now invalid; the peer sends the policy in force.
  a.store.Put("config", "bad");
  for (int i = 0; i < 40; ++i) {
    CHECK(mesh.Call("a", "/back/1", "x").response.status == 200);
    run(2);
    if (mesh.Call("b", "/back/1", "y").response.status == 200) {
      break;
    }
  }
  CHECK(mesh.Call("b", "/back/1", "late").response.status == 200);

  // Guards against a withdrawn key that is in use for as long as the store
  // turns the node away.
  a.store.Put("config", "8");
  const auto policy_of_b = [&mesh] {
    std::promise<std::string> text;
    mesh.nodes["b"]->CollectMetrics(
        [&text](std::string value) { text.set_value(std::move(value)); });
    const auto metrics = text.get_future().get();
    return metrics.find("cassiakeel_policy_version 8") != std::string::npos;
  };
  for (int i = 0; i < 100 && !policy_of_b(); ++i) {
    CHECK(mesh.Call("a", "/back/1", "z").response.status == 200);
    run(2);
  }
  CHECK(policy_of_b());
}

// Guards against backend servers that nobody sees: polls that began while the
// store was silent stay without a reply until they time out, on all nodes
// alike.
TEST_CASE("a node reads again when its row is stored and its poll hangs") {
  RestartedNode restarted(OwnRow(false));
  auto& store = restarted.node.store;
  restarted.node.control->Start();
  restarted.Run();
  store.hang_follows = true;
  store.ReplyToFollowers();
  restarted.Report(200, 1);
  restarted.Run();
  REQUIRE(restarted.StoredRow().started_at_ms == 200);
  store.hang_follows = false;
  const int reads = store.reads;
  restarted.loop.RunFor(milliseconds(2600), store);
  CHECK(store.reads == reads + 1);
}

}  // namespace cassiakeel::mesh
