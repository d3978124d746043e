#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "cassiakeel/mesh/backend_watch.h"
#include "cassiakeel/mesh/control.h"
#include "cassiakeel/mesh/registrar.h"
#include "cassiakeel/mesh/store_history.h"
#include "cassiakeel/mesh/table_follower.h"
#include "mesh_test_support.h"

namespace cassiakeel::mesh {

struct ControlLoop {
  ControlLoop() : timers(h1::TimerQueue::Create(io_context, clock)) {}
  // Runs timers in real time and executes the store's pending replies.
  void RunFor(std::chrono::milliseconds time, FakeStore& store) {
    const auto end = this->clock.Now() + time;
    while (this->clock.Now() < end) {
      store.DeliverReplies();
      this->io_context.run_for(std::chrono::milliseconds(5));
      this->io_context.restart();
    }
  }
  asio::io_context io_context;
  SystemClock clock;
  std::shared_ptr<h1::TimerQueue> timers;
};

// A history whose returns nobody handles.
inline std::shared_ptr<StoreHistory> MakeHistory() {
  return StoreHistory::Create([](const StoreHistory::Return&) {},
                              [](StoreEra) {});
}

inline BackendReport MakeReport(const std::string& id,
                                std::int64_t started_at_ms,
                                std::uint64_t sequence) {
  BackendReport report;
  report.instance = InstanceId(id);
  report.service = ServiceName("s");
  report.address = PeerAddress("127.0.0.1:1");
  report.started_at_ms = started_at_ms;
  report.sequence = sequence;
  return report;
}

inline DirectoryEntry MakeEntry(const std::string& instance) {
  DirectoryEntry entry;
  entry.node = NodeId("n");
  entry.address = PeerAddress("127.0.0.1:1");
  entry.zone = ZoneName("z");
  entry.service = ServiceName("s");
  entry.instance = InstanceId(instance);
  return entry;
}

// A policy such as "7", or "7 x" with a route to the service x instead of back.
inline Result<std::shared_ptr<const TrafficPolicy>> DecodeTestPolicy(
    const std::string& value) {
  if (value == "bad") {
    return Fail("decode policy", value);
  }
  std::size_t end = 0;
  const auto version = std::stoul(value, &end);
  const auto service = end < value.size() ? value.substr(end + 1) : "back";
  return std::make_shared<const TrafficPolicy>(
      PolicyVersion(version),
      std::vector<Route>{TestMesh::MakeRoute(service, true)}, InputLimits());
}

// A node with its control plane and its own store.
class ControlledNode {
 public:
  // `backend_address`: where the node expects its backend server after a
  // restart.
  ControlledNode(TestMesh& mesh,
                 ControlLoop& loop,
                 const std::string& name,
                 const PeerAddress& backend_address = {})
      : node(mesh.AddNode(name, "back")),
        control(MeshControl::Create(
            loop.io_context,
            WithBackend(mesh.settings[name], backend_address),
            {"policies", "config", "nodes"},
            this->store,
            loop.timers,
            loop.clock,
            this->node,
            DecodeTestPolicy)) {}

  FakeStore store;
  MeshNode& node;
  std::unique_ptr<MeshControl> control;

 private:
  static MeshSettings WithBackend(MeshSettings settings,
                                  const PeerAddress& address) {
    settings.backend_address = address;
    return settings;
  }
};

// The report that the backend server of `mesh` beside `node` sends.
inline BackendReport ReportOf(const FakeBackend& backend,
                              std::int64_t started_at_ms,
                              std::uint64_t sequence) {
  auto report = MakeReport("i", started_at_ms, sequence);
  report.service = ServiceName("back");
  report.address = backend.address;
  return report;
}

// One node that restarts: its store, its backend server and what it has to know
// besides its own row to forward requests.
struct RestartedNode {
  explicit RestartedNode(const std::string& own_row)
      : node(mesh, loop, "n", backend.address) {
    this->node.store.Put("config", "7");
    this->node.store.Put("n", own_row);
  }
  void Report(std::int64_t started_at_ms, std::uint64_t sequence) {
    this->node.control->OnReport(
        ReportOf(this->backend, started_at_ms, sequence), [](bool) {});
  }
  void Run() {
    this->loop.RunFor(std::chrono::milliseconds(60), this->node.store);
  }
  int StatusOfCall() {
    this->Run();
    return this->mesh.Call("n", "/back/1", "id").response.status;
  }
  DirectoryEntry StoredRow() {
    return *DecodeDirectoryEntry("n", this->node.store.rows["n"].value);
  }

  FakeBackend backend{[](const std::shared_ptr<h1::Exchange>& exchange) {
    exchange->Respond(FakeBackend::Success(exchange->request()));
  }};
  ControlLoop loop;
  TestMesh mesh;
  ControlledNode node;
};

// The row of the server in `ReportOf`, which started at 100.
inline std::string OwnRow(bool departed) {
  auto entry = MakeEntry("i");
  entry.node = NodeId("n");
  entry.service = ServiceName("back");
  entry.started_at_ms = 100;
  entry.leaving = true;
  entry.departed = departed;
  return EncodeDirectoryEntry(entry);
}

// A follower that has read a table with one row.
struct FollowerFixture {
  FollowerFixture() {
    this->store.Put("a", "1");
    this->follower = TableFollower::Create(
        this->store, MakeHistory(), this->loop.timers, "t",
        std::chrono::milliseconds(0),
        [this](const RowMap& rows) { this->seen = rows; },
        [](bool, const std::string&) {});
    this->follower->Start();
    this->loop.RunFor(std::chrono::milliseconds(20), this->store);
  }
  ControlLoop loop;
  FakeStore store;
  RowMap seen;
  std::shared_ptr<TableFollower> follower;
};

}  // namespace cassiakeel::mesh
