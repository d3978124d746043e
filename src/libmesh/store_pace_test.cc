// How often nodes poll the policy.

#include "store_pace.h"

#include "control_test_support.h"

namespace cassiakeel::mesh {
namespace {

using std::chrono::milliseconds;

// Longest wait of a poll in a fleet of three nodes.
constexpr milliseconds kSmallFleetWait{2000};
// Longer than a starting node takes to learn of its fleet.
constexpr milliseconds kLearnTime{2200};
// Longer than a poll that replaces one with a longer wait is put off.
constexpr milliseconds kReplaceTime{1200};

void PutRow(FakeStore& store, const std::string& node) {
  auto entry = MakeEntry("i-" + node);
  entry.node = NodeId(node);
  store.Put(node, EncodeDirectoryEntry(entry));
}

struct StartingNode {
  StartingNode() : node(mesh, loop, "n") { this->store().Put("config", "7"); }
  FakeStore& store() { return this->node.store; }
  void Start() {
    this->node.control->Start();
    this->Run(milliseconds(20));
  }
  void Run(milliseconds time) { this->loop.RunFor(time, this->store()); }

  ControlLoop loop;
  TestMesh mesh;
  ControlledNode node;
};

}  // namespace

// Guards against a fleet that starts and polls at the pace of the few nodes
// whose rows are there already.
TEST_CASE("nodes that start together do not poll as in a small fleet") {
  const auto rows = GENERATE(0, 3);
  constexpr int kNodes = 20;
  milliseconds total{0};
  for (int i = 0; i < kNodes; ++i) {
    StartingNode starting;
    for (int row = 0; row < rows; ++row) {
      PutRow(starting.store(), "other-" + std::to_string(row));
    }
    starting.Start();
    total += starting.store().ShortestWait();
  }
  CHECK(total > 2 * kNodes * kSmallFleetWait);
}

// Guards against a small fleet that does not notice a return of the store until
// the polls of its start have ended.
TEST_CASE("a small fleet polls at its own pace soon after its start") {
  std::unique_ptr<StartingNode> starting;
  // A poll that ends soon anyway is not replaced.
  while (!starting || starting->store().ShortestWait() < 4 * kSmallFleetWait) {
    starting = std::make_unique<StartingNode>();
    starting->Start();
    for (const auto* node : {"n", "other-1", "other-2"}) {
      PutRow(starting->store(), node);
    }
    starting->Run(milliseconds(20));
  }
  starting->Run(kLearnTime + kReplaceTime);
  CHECK(starting->store().ShortestWait() <= kSmallFleetWait);
}

// Guards against a node that is taken for one of a starting fleet although its
// fleet has been there before.
TEST_CASE("a restarted node polls at the pace of its fleet") {
  StartingNode starting;
  for (const auto* node : {"n", "other-1", "other-2"}) {
    PutRow(starting.store(), node);
  }
  starting.Start();
  starting.Run(kReplaceTime);
  // The poll of the start is kept if no later one would end after it.
  CHECK(starting.store().ShortestWait() <= kReplaceTime + kSmallFleetWait);
}

}  // namespace cassiakeel::mesh
