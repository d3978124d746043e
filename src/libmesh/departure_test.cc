#include <algorithm>

#include "cassiakeel/mesh/directory_view.h"
#include "control_test_support.h"
#include "neighbor_contact.h"
#include "peer_state.h"
#include "row_announcer.h"

namespace cassiakeel::mesh {
namespace {

using std::chrono::milliseconds;

DirectoryEntry ActiveEntry(std::int64_t started_at_ms) {
  auto entry = MakeEntry("i");
  entry.service = ServiceName("back");
  entry.started_at_ms = started_at_ms;
  return entry;
}

DirectoryEntry DepartedEntry(std::int64_t started_at_ms) {
  auto entry = ActiveEntry(started_at_ms);
  entry.leaving = true;
  entry.departed = true;
  return entry;
}

RowMap RowsOf(const DirectoryEntry& entry, std::uint64_t version) {
  const auto& key = entry.node.Value();
  return {{key, {key, EncodeDirectoryEntry(entry), version, false}}};
}

// Sends a message about control state to the node at `address`.
void SendState(ControlLoop& loop,
               FakeStore& store,
               const PeerAddress& address,
               const std::string& state) {
  const auto client = h1::Client::Create(loop.io_context, loop.timers, {});
  h1::Fetch fetch;
  fetch.peer = address;
  fetch.request = {
      "POST", pvt::kPeerStatePath, {{"Host", address.Value()}}, state};
  fetch.deadline = loop.clock.Now() + milliseconds(1000);
  bool acknowledged = false;
  client->Start(std::move(fetch), [&acknowledged](h1::FetchResult result) {
    acknowledged = result.response.status == 200;
  });
  for (int i = 0; i < 100 && !acknowledged; ++i) {
    loop.RunFor(milliseconds(10), store);
  }
  REQUIRE(acknowledged);
}

// A node whose process has started while the store does not answer, and which
// gets its state from a peer.
struct NodeWithoutStore : RestartedNode {
  explicit NodeWithoutStore(const DirectoryEntry& known_by_peer)
      : RestartedNode(OwnRow(false)), own_row(known_by_peer) {
    this->node.store.unavailable = true;
    this->node.control->Start();
    this->own_row.address = this->mesh.settings["n"].inbound_address;
  }
  void ReceiveState() {
    this->Receive(pvt::EncodePeerState(
        {{{"config", {"config", "7", 1, false}}}, RowsOf(this->own_row, 2)}));
  }
  void Receive(const std::string& state) {
    SendState(this->loop, this->node.store,
              this->mesh.settings["n"].inbound_address, state);
  }

  DirectoryEntry own_row;
};

// A node that only takes announcements.
class AnnouncementReader {
 public:
  explicit AnnouncementReader(ControlLoop& loop)
      : address(LocalAddress()),
        server(h1::Server::Create(
            loop.io_context,
            loop.timers,
            this->address,
            this->limits,
            [this](const std::shared_ptr<h1::Exchange>& exchange) {
              this->Handle(exchange);
            })) {
    REQUIRE(this->server);
  }

  DirectoryEntry Entry(const std::string& name) const {
    auto entry = MakeEntry("i-" + name);
    entry.node = NodeId(name);
    entry.address = this->address;
    return entry;
  }

  PeerAddress address;
  bool acknowledges = true;
  std::vector<DirectoryEntry> received;

 private:
  void Handle(const std::shared_ptr<h1::Exchange>& exchange) {
    const auto& request = exchange->request();
    const auto state = pvt::DecodePeerState(request.body);
    if (request.target == pvt::kPeerStatePath && state && state->announced) {
      this->received.push_back(*state->announced);
      if (!this->acknowledges) {
        this->unanswered.push_back(exchange);
        return;
      }
    }
    exchange->Respond({200, {}, {}});
  }

  std::vector<std::shared_ptr<h1::Exchange>> unanswered;
  h1::ServerLimits limits;
  Result<std::unique_ptr<h1::Server>> server;
};

}  // namespace

// Guards against a server whose departure was confirmed and that is used again:
// its node starts while the store is away, and the peer that sends the
// directory has not read the departure.
TEST_CASE("a peer's rows alone do not bring a server into use") {
  NodeWithoutStore restarted(ActiveEntry(100));
  restarted.ReceiveState();
  CHECK(restarted.StatusOfCall() == 503);
  CHECK(restarted.backend.runs == 0);
  SECTION("it stays out of use if a peer learns of its departure") {
    restarted.Receive(
        pvt::EncodePeerState({{}, RowsOf(DepartedEntry(100), 3)}));
    restarted.Report(100, 9);
    CHECK(restarted.StatusOfCall() == 503);
    CHECK(restarted.backend.runs == 0);
  }
  SECTION("it is used after its next report, while the store is away") {
    restarted.Report(100, 9);
    CHECK(restarted.StatusOfCall() == 200);
  }
  SECTION("it stays out of use if it reports that it leaves") {
    auto report = ReportOf(restarted.backend, 100, 9);
    report.leaving = true;
    restarted.node.control->OnReport(report, [](bool) {});
    CHECK(restarted.StatusOfCall() == 503);
    restarted.Report(100, 10);
    CHECK(restarted.StatusOfCall() == 503);
    CHECK(restarted.backend.runs == 0);
  }
}

// Guards against a server that is taken up by a late report, which arrives
// before or after the state of a peer that knows of the departure.
TEST_CASE("a departure known to a peer holds against late reports") {
  NodeWithoutStore restarted(DepartedEntry(100));
  const bool arrives_first = GENERATE(true, false);
  if (arrives_first) {
    restarted.Report(100, 9);
  }
  restarted.ReceiveState();
  if (!arrives_first) {
    restarted.Report(100, 9);
  }
  CHECK(restarted.StatusOfCall() == 503);
  CHECK(restarted.backend.runs == 0);
}

// Guards against an outage of our own: the server that follows a departed one
// at the same address waits for the store.
TEST_CASE("the next server is used while the store is away") {
  NodeWithoutStore restarted(DepartedEntry(100));
  restarted.ReceiveState();
  CHECK(restarted.StatusOfCall() == 503);
  restarted.Report(200, 1);
  CHECK(restarted.StatusOfCall() == 200);
}

// Guards against a departure that only its node and the store know when its
// confirmation is sent, so that it is lost with both.
TEST_CASE("a departure is announced to all nodes before it is confirmed") {
  RestartedNode own(OwnRow(false));
  auto& store = own.node.store;
  AnnouncementReader reader(own.loop);
  const bool acknowledges = GENERATE(true, false);
  reader.acknowledges = acknowledges;
  for (const std::string name : {"a", "b"}) {
    store.Put(name, EncodeDirectoryEntry(reader.Entry(name)));
  }
  own.node.control->Start();
  own.Report(100, 9);
  REQUIRE(own.StatusOfCall() == 200);
  std::vector<std::size_t> received_at_confirmation;
  std::optional<SteadyTime> confirmed_at;
  const auto begin = own.loop.clock.Now();
  own.node.control->OnDeparture(InstanceId("i"), 100, [&](bool in_effect) {
    CHECK(in_effect);
    received_at_confirmation.push_back(reader.received.size());
    confirmed_at = own.loop.clock.Now();
  });
  own.loop.RunFor(milliseconds(400), store);
  CHECK(received_at_confirmation == std::vector<std::size_t>{2});
  for (const auto& entry : reader.received) {
    CHECK(entry.node == NodeId("n"));
    CHECK(entry.instance == InstanceId("i"));
    CHECK(entry.departed);
  }
  REQUIRE(confirmed_at);
  // A node that does not answer delays the confirmation by 200 ms at most; the
  // server expects it within a second.
  CHECK((*confirmed_at - begin >= milliseconds(150)) == !acknowledges);
  CHECK(*confirmed_at - begin < milliseconds(1000));
  // Once only.
  own.node.control->OnDeparture(InstanceId("i"), 100, [](bool) {});
  own.Run();
  CHECK(reader.received.size() == 2);
}

// Guards against messages for each server that starts, which the store carries.
TEST_CASE("a server is announced only if the store is away") {
  RestartedNode own(OwnRow(false));
  auto& store = own.node.store;
  AnnouncementReader reader(own.loop);
  store.Put("a", EncodeDirectoryEntry(reader.Entry("a")));
  own.node.control->Start();
  own.Report(200, 1);
  own.Run();
  CHECK(own.StoredRow().started_at_ms == 200);
  CHECK(reader.received.empty());
  store.unavailable = true;
  store.lost_replies_left = 100;
  own.Report(300, 1);
  // Longer than the interval at which the node reads the directory.
  own.loop.RunFor(milliseconds(2500), store);
  REQUIRE(reader.received.size() == 1);
  CHECK(reader.received[0].started_at_ms == 300);
  CHECK_FALSE(reader.received[0].leaving);
  own.Report(400, 1);
  own.Run();
  REQUIRE(reader.received.size() == 2);
  CHECK(reader.received[1].started_at_ms == 400);
}

// As above, up to the restarted node: its peer has not read the departure, but
// has got the announcement.
TEST_CASE("an announced departure is handed on to a node that restarts") {
  FakeBackend backend([](const std::shared_ptr<h1::Exchange>& exchange) {
    exchange->Respond(FakeBackend::Success(exchange->request()));
  });
  ControlLoop loop;
  TestMesh mesh;
  ControlledNode peer(mesh, loop, "peer");
  ControlledNode restarted(mesh, loop, "n", backend.address);
  auto row = ActiveEntry(100);
  row.address = mesh.settings["n"].inbound_address;
  peer.store.Put("n", EncodeDirectoryEntry(row));
  peer.store.Put("config", "7");
  restarted.store.unavailable = true;
  peer.control->Start();
  restarted.control->Start();
  const auto run = [&] {
    loop.RunFor(milliseconds(20), peer.store);
    loop.RunFor(milliseconds(20), restarted.store);
  };
  run();
  auto departure = DepartedEntry(100);
  departure.address = row.address;
  const bool is_announced = GENERATE(true, false);
  if (is_announced) {
    SendState(loop, peer.store, mesh.settings["peer"].inbound_address,
              pvt::EncodeAnnouncement(departure));
  }
  // Without a policy a node knows no route, and answers 503.
  int status = 503;
  for (int i = 0; i < 60 && status != 404; ++i) {
    mesh.Call("peer", "/back/1", "x");
    run();
    status = mesh.Call("n", "/unknown/1", "x").response.status;
  }
  REQUIRE(status == 404);
  restarted.control->OnReport(ReportOf(backend, 100, 9), [](bool) {});
  run();
  CHECK(mesh.Call("n", "/back/1", "x").response.status ==
        (is_announced ? 503 : 200));
  CHECK(backend.runs == (is_announced ? 0 : 1));
}

TEST_CASE("an announced server is used by other nodes") {
  FakeBackend backend([](const std::shared_ptr<h1::Exchange>& exchange) {
    exchange->Respond(FakeBackend::Success(exchange->request()));
  });
  ControlLoop loop;
  TestMesh mesh;
  ControlledNode reader(mesh, loop, "reader");
  mesh.AddNode("n", "back");
  mesh.SetBackend("n", backend);
  auto entry = mesh.directory[NodeId("n")];
  entry.leaving = entry.departed = true;
  reader.store.Put("n", EncodeDirectoryEntry(entry));
  reader.store.Put("config", "7");
  reader.control->Start();
  const auto status = [&] {
    loop.RunFor(milliseconds(40), reader.store);
    return mesh.Call("reader", "/back/1", "x").response.status;
  };
  REQUIRE(status() == 503);
  entry.leaving = entry.departed = false;
  entry.started_at_ms += 100;
  SendState(loop, reader.store, mesh.settings["reader"].inbound_address,
            pvt::EncodeAnnouncement(entry));
  CHECK(status() == 200);
}

TEST_CASE("an announced entry holds until its row is written") {
  const SteadyTime now;
  DirectoryView view;
  const auto shown = [&view, now] {
    return KnownDirectory(view, now).at(NodeId("n"));
  };
  ApplyRows(view, RowsOf(ActiveEntry(100), 1), now);
  CHECK(ApplyAnnouncement(view, DepartedEntry(100)));
  CHECK(shown().departed);
  // Its node refuses calls, and has to get some to ask for state if it
  // restarts.
  CHECK_FALSE(VisibleDirectory(view, now).at(NodeId("n")).departed);
  SECTION("the row of before is read again") {
    ApplyRows(view, RowsOf(ActiveEntry(100), 1), now);
    CHECK(shown().departed);
  }
  SECTION("the departure is stored") {
    ApplyRows(view, RowsOf(DepartedEntry(100), 2), now);
    CHECK(shown().departed);
    CHECK(view.announced_departures.empty());
    CHECK_FALSE(ApplyAnnouncement(view, DepartedEntry(100)));
  }
  SECTION("the store comes back from an older copy") {
    BeginReturn(view, now);
    ApplyRows(view, RowsOf(ActiveEntry(100), 1), now);
    CHECK(VisibleDirectory(view, now).at(NodeId("n")).departed);
    CHECK(UnstoredDepartures(view).size() == 1);
  }
  SECTION("a later server is stored") {
    ApplyRows(view, RowsOf(ActiveEntry(200), 3), now);
    CHECK_FALSE(shown().departed);
    // A late announcement of the earlier one.
    CHECK_FALSE(ApplyAnnouncement(view, DepartedEntry(100)));
    CHECK_FALSE(shown().departed);
  }
  SECTION("a later server is announced") {
    CHECK(ApplyAnnouncement(view, ActiveEntry(200)));
    CHECK(shown() == ActiveEntry(200));
    CHECK(VisibleDirectory(view, now).at(NodeId("n")) == ActiveEntry(200));
    CHECK_FALSE(ApplyAnnouncement(view, DepartedEntry(100)));
    ApplyRows(view, RowsOf(DepartedEntry(200), 4), now);
    CHECK(shown().departed);
  }
}

TEST_CASE("the departure of a later server than the stored one holds") {
  const SteadyTime now;
  DirectoryView view;
  auto earlier = ActiveEntry(100);
  earlier.instance = InstanceId("earlier");
  ApplyRows(view, RowsOf(earlier, 1), now);
  CHECK(ApplyAnnouncement(view, DepartedEntry(200)));
  CHECK(KnownDirectory(view, now).at(NodeId("n")).departed);
}

// Guards against a node without the store that forgets a departure when the
// next peer, which has not received it, sends its directory.
TEST_CASE("announced entries hold against the rows of a peer") {
  const SteadyTime now;
  DirectoryView view;
  const bool has_rows = GENERATE(true, false);
  if (has_rows) {
    ApplyPeerRows(view, RowsOf(ActiveEntry(100), 1));
  }
  CHECK(ApplyAnnouncement(view, DepartedEntry(100)));
  ApplyPeerRows(view, RowsOf(ActiveEntry(100), 1));
  CHECK(KnownDirectory(view, now).at(NodeId("n")).departed);
  ApplyPeerRows(view, RowsOf(ActiveEntry(200), 1));
  CHECK_FALSE(KnownDirectory(view, now).at(NodeId("n")).departed);
}

TEST_CASE("a departure that one peer knows holds against another's rows") {
  const SteadyTime now;
  DirectoryView view;
  ApplyPeerRows(view, RowsOf(DepartedEntry(100), 2));
  ApplyPeerRows(view, RowsOf(ActiveEntry(100), 1));
  CHECK(VisibleDirectory(view, now).at(NodeId("n")).departed);
}

// Guards against a node that stays without policy and directory until the store
// is back: it starts during an outage and nobody calls it, for example because
// its server has left.
TEST_CASE("a node that nobody calls gets its state while the store is away") {
  ControlLoop loop;
  TestMesh mesh;
  ControlledNode peer(mesh, loop, "peer");
  ControlledNode restarted(mesh, loop, "n");
  // Of a node that has ended; nothing listens there.
  auto ended = ActiveEntry(1);
  ended.node = NodeId("a");
  ended.address = LocalAddress();
  auto row = GENERATE(true, false) ? DepartedEntry(100) : ActiveEntry(100);
  row.address = mesh.settings["n"].inbound_address;
  peer.store.Put("a", EncodeDirectoryEntry(ended));
  peer.store.Put("n", EncodeDirectoryEntry(row));
  peer.store.Put("config", "7");
  restarted.store.unavailable = true;
  peer.control->Start();
  restarted.control->Start();
  int status = 503;
  for (int i = 0; i < 60 && status != 404; ++i) {
    loop.RunFor(milliseconds(20), peer.store);
    loop.RunFor(milliseconds(20), restarted.store);
    status = mesh.Call("n", "/unknown/1", "x").response.status;
  }
  CHECK(status == 404);
}

TEST_CASE("the next node follows in a circle and is another one") {
  Directory directory;
  const auto next = [&directory](const std::string& after) {
    const auto* entry = pvt::NextNode(directory, NodeId(after), NodeId("own"));
    return entry == nullptr ? "" : entry->node.Value();
  };
  CHECK(next("own").empty());
  for (const std::string name : {"a", "own", "x"}) {
    directory[NodeId(name)].node = NodeId(name);
  }
  CHECK(next("own") == "x");
  CHECK(next("x") == "a");
  CHECK(next("a") == "x");
  directory.erase(NodeId("own"));
  CHECK(next("own") == "x");
  directory.erase(NodeId("a"));
  directory.erase(NodeId("x"));
  directory[NodeId("own")].node = NodeId("own");
  CHECK(next("own").empty());
}

// Guards against a malformed message of another build that ends the node.
TEST_CASE("a malformed announcement is refused") {
  for (const std::string text :
       {R"({"announced":7})", R"({"announced":{"key":"n"}})",
        R"({"announced":{"key":"n","value":"{}"}})",
        R"({"announced":{"key":7,"value":"x"}})"}) {
    INFO(text);
    CHECK_FALSE(pvt::DecodePeerState(text));
  }
}

}  // namespace cassiakeel::mesh
