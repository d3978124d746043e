// Checks random histories of a store that comes back from older copies: what a
// node shows may not go back in one run of it, and all agree in the end.

#include "store_return_node_model.h"

namespace cassiakeel::mesh {
namespace {

void ScheduleDisturbances(ModelWorld& world,
                          std::vector<std::unique_ptr<ModelNode>>& nodes) {
  world.After(world.Random(200, 900), [&world, &nodes] {
    if (!world.IsDisturbed()) {
      return;
    }
    auto& node = *nodes.at(static_cast<std::size_t>(
        world.Random(0, static_cast<int>(nodes.size()) - 1)));
    switch (world.Random(0, 9)) {
      case 0:
      case 1:
        world.Return();
        break;
      case 2:
        node.Restart();
        break;
      case 3:
        node.Pause(world.Random(100, 5000));
        break;
      case 4:
        // The server ends without a word, and its successor starts.
        node.StartServer();
        break;
      case 5:
        if (world.Chance(30) && &node != nodes.front().get()) {
          node.End();
        }
        break;
      default:
        node.DepartServer();
        break;
    }
    ScheduleDisturbances(world, nodes);
  });
}

// Runs the history of `seed` and returns the first violation, if any.
std::string RunHistory(std::uint32_t seed,
                       bool names_era,
                       ModelFault fault = ModelFault::kNone) {
  IdleTimers timers;
  ModelWorld world(seed, names_era, fault);
  std::vector<std::unique_ptr<ModelNode>> nodes;
  nodes.reserve(kNodes);
  for (int i = 0; i < kNodes; ++i) {
    nodes.push_back(std::make_unique<ModelNode>(world, timers, i));
  }
  world.on_return = [&world, &nodes] {
    for (const auto& node : nodes) {
      if (!world.names_era) {
        node->LoseConnections();
      }
    }
  };
  for (const auto& node : nodes) {
    node->Start();
    node->StartServer();
    node->Report();
  }
  world.TakeCopies();
  world.Operate();
  ScheduleDisturbances(world, nodes);
  while (world.now < kEndMs && world.violation.empty()) {
    const auto next = world.events.begin();
    world.now = next->first;
    const auto action = std::move(next->second);
    world.events.erase(next);
    action();
    if (world.Chance(5)) {
      nodes.front()->HearPeer(*nodes.back());
      nodes.back()->HearPeer(*nodes.front());
    }
  }
  for (const auto& node : nodes) {
    node->CheckEnd(nodes);
  }
  return world.violation;
}

// The violation that the checker finds in one of the histories.
std::string FindViolation(ModelFault fault) {
  constexpr std::uint32_t kSeeds = 300;
  for (std::uint32_t seed = 0; seed < kSeeds; ++seed) {
    auto violation = RunHistory(seed, true, fault);
    if (!violation.empty()) {
      return violation;
    }
  }
  return "none";
}

}  // namespace

// Guards against a policy, a departure or a server that a return of the store
// undoes, and against nodes that disagree with the store for good.
TEST_CASE("random histories of returns undo nothing that a node has shown") {
  const auto names_era = GENERATE(true, false);
  constexpr std::uint32_t kSeeds = 1000;
  int failed = 0;
  for (std::uint32_t seed = 0; seed < kSeeds; ++seed) {
    const auto violation = RunHistory(seed, names_era);
    if (!violation.empty()) {
      ++failed;
      UNSCOPED_INFO("seed " << seed << ": " << violation);
    }
  }
  CHECK(failed == 0);
}

// A checker that misses these could not find the faults of the nodes either.
TEST_CASE("the checker finds a row version that outlives its era") {
  CHECK(FindViolation(ModelFault::kKeepVersion) ==
        "a node has an older policy than the store");
}

TEST_CASE("the checker finds a forgotten departure") {
  CHECK(FindViolation(ModelFault::kForgetDeparture) ==
        "a departed server is shown as live");
}

TEST_CASE("the checker finds an older policy that is taken") {
  CHECK(FindViolation(ModelFault::kTakeOlderPolicy) ==
        "an older policy is taken");
}

TEST_CASE("the checker finds older rows that are used after the grace") {
  CHECK(FindViolation(ModelFault::kUseCopyAfterGrace) ==
        "a server is replaced by an earlier one");
}

TEST_CASE("the checker finds a reply of an earlier era that is used") {
  CHECK(FindViolation(ModelFault::kUseLateReply) ==
        "a reply of an earlier era is used");
}

}  // namespace cassiakeel::mesh
