#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

#include "cassiakeel/base/random.h"
#include "cassiakeel/once/deduplicator.h"
#include "cassiakeel/platform/memory_platform.h"

namespace cassiakeel::once {
namespace {

const ServiceName kIntake("intake");

/// The only node of a service, using the system clock.
struct SingleNode {
  SystemClock clock;
  platform::MemoryPlatform platform;
  std::atomic<int> next_id{0};
  std::unique_ptr<Deduplicator> deduplicator;

  explicit SingleNode(DeduplicationLimits limits = DeduplicationLimits()) {
    const ServiceNode self{{NodeId("a"), Incarnation(1)}, ZoneName("z")};
    DeduplicatorConfig config;
    config.self = self;
    config.service = kIntake;
    config.limits = limits;
    DeduplicatorEnvironment environment;
    environment.clock = &this->clock;
    environment.table = &this->platform.table();
    environment.objects = &this->platform.objects();
    environment.nodes = [self] { return std::vector<ServiceNode>{self}; };
    environment.wall_offset = [this] {
      return WallOffset{{}, this->clock.Now(), this->clock.WallNow()};
    };
    environment.request_grant = [](const GrantRequest&) { return false; };
    environment.make_id = [this] { return std::to_string(this->next_id++); };
    this->deduplicator =
        std::move(Deduplicator::Create(config, environment).value());
  }
};

}  // namespace

// Guards against a race between traffic threads and maintenance in which two
// copies of a request both run, or a joined request gets no response.
TEST_CASE("concurrent copies of a request run once and all get the response") {
  constexpr int kThreads = 4;
  constexpr int kKeys = 200;
  SingleNode node;
  node.deduplicator->Maintain();
  std::atomic<int> runs{0};
  std::atomic<int> answers{0};
  const auto call_all = [&](int thread) {
    for (int i = 0; i < kKeys; ++i) {
      const Request request{IdempotencyKey("key" + std::to_string(i)), 1,
                            AttemptId(std::to_string(thread * kKeys + i))};
      const Decision decision = node.deduplicator->Begin(
          request, [&](const AttemptResult&) { ++answers; });
      if (decision.action == Action::kRun) {
        ++runs;
        node.deduplicator->Complete(request, decision.epoch,
                                    {Outcome::kRan, Reason::kNone, nullptr});
      }
      answers += decision.action == Action::kJoin ? 0 : 1;
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back(call_all, thread);
  }
  for (int round = 0; round < 20; ++round) {
    node.deduplicator->Maintain();
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(runs == kKeys);
  CHECK(answers == kThreads * kKeys);
  CHECK(node.deduplicator->OwnerOf(kIntake, IdempotencyKey("key1")) ==
        NodeRef{NodeId("a"), Incarnation(1)});
}

// Guards against reporting a request as not run although its first copy ran
// before the shard was handed over, and against a last node that cannot leave.
TEST_CASE("a second copy after the handoff is not reported as not run") {
  SingleNode node;
  node.deduplicator->Maintain();
  const Request request{IdempotencyKey("key"), 1, AttemptId("1")};
  const Decision first = node.deduplicator->Begin(request, nullptr);
  REQUIRE(first.action == Action::kRun);
  node.deduplicator->Complete(request, first.epoch,
                              {Outcome::kRan, Reason::kNone, nullptr});
  node.deduplicator->Leave();
  for (int round = 0; round < 5; ++round) {
    node.deduplicator->Maintain();
  }
  CHECK(node.deduplicator->HasLeft());
  CHECK(node.deduplicator->OwnedShards() == 0);
  CHECK(node.deduplicator->Begin(request, nullptr).outcome ==
        Outcome::kUnknown);
  CHECK(node.deduplicator->ResolveAttempt(request) == Outcome::kUnknown);
}

// Guards against a full table that removes unexpired entries to make room.
TEST_CASE("a full table rejects new keys and still decides on existing ones") {
  DeduplicationLimits limits;
  limits.dispatched_attempts = 1;
  SingleNode node(limits);
  node.deduplicator->Maintain();
  const Request request{IdempotencyKey("key"), 1, AttemptId("1")};
  CHECK(node.deduplicator->Begin(request, nullptr).action == Action::kRun);
  const Request other{IdempotencyKey("other"), 1, AttemptId("2")};
  CHECK(node.deduplicator->Begin(other, nullptr).reason == Reason::kOverload);
  CHECK(node.deduplicator->Begin(request, nullptr).action == Action::kJoin);
}

}  // namespace cassiakeel::once
