#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <regex>

#include "attempt_registry.h"
#include "call.h"
#include "cassiakeel/node/settings.h"
#include "forwarder.h"
#include "local_api.h"
#include "router.h"

namespace cassiakeel::node {
namespace {

Result<ParsedSettings> Parse(std::vector<const char*> arguments) {
  arguments.insert(arguments.begin(), "cassiakeeld");
  return ParseSettings(static_cast<int>(arguments.size()), arguments.data());
}

}  // namespace

TEST_CASE("settings have defaults and take flags") {
  const auto parsed =
      Parse({"--node-id", "n7", "--zone-distance", "east-b=1500"});
  REQUIRE(parsed);
  CHECK(parsed->settings.node_id == NodeId("n7"));
  CHECK(parsed->settings.zone_distance.at(ZoneName("east-b")) ==
        std::chrono::microseconds(1500));
}

TEST_CASE("a bad setting names setting, value and what is accepted") {
  const auto check = [](std::vector<const char*> arguments,
                        const std::string& wanted) {
    const auto parsed = Parse(std::move(arguments));
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error().message == wanted);
  };
  check({"--listen", "nowhere"}, "--listen \"nowhere\": accepted is IP:port");
  check({"--traffic-threads", "0"},
        "--traffic-threads \"0\": accepted is 1 to 16");
  check({"--log-level", "loud"},
        "--log-level \"loud\": accepted is debug, info, warn or error");
}

// Guards against a setting that the page for operators does not list.
TEST_CASE("every setting is in the settings reference") {
  std::ifstream stream(CASSIAKEEL_SOURCE "/docs/OPERATIONS.md");
  const std::string page((std::istreambuf_iterator<char>(stream)), {});
  const auto parsed = Parse({"--help"});
  REQUIRE(parsed);
  const std::regex flag("--[a-z-]+");
  int flags = 0;
  for (std::sregex_iterator it(parsed->text.begin(), parsed->text.end(), flag);
       it != std::sregex_iterator(); ++it) {
    INFO(it->str());
    CHECK(page.find("`" + it->str() + "`") != std::string::npos);
    ++flags;
  }
  CHECK(flags > 15);
}

// Guards against nodes that form one deployment while each keeps shard owners
// in a platform of its own: a submission would run once per platform.
TEST_CASE("seed peers need a shared platform") {
  CHECK_FALSE(Parse({"--seed-peer", "127.0.0.1:7402"}));
  CHECK(
      Parse({"--seed-peer", "127.0.0.1:7402", "--platform", "127.0.0.1:7300"}));
}

// Guards against an unapproved policy in a real deployment.
TEST_CASE("a policy file is refused beside a platform") {
  CHECK_FALSE(
      Parse({"--policy-file", "x.csv", "--platform", "127.0.0.1:7300"}));
}

TEST_CASE("paths are routed") {
  const auto call = ParseRoute("/board/rooms/12");
  CHECK(call.kind == RouteKind::kCall);
  CHECK(call.service == "board");
  CHECK(call.rest == "/rooms/12");
  const auto forwarded = ParseRoute("/cassiakeel/v1/call/board/rooms/12");
  CHECK(forwarded.kind == RouteKind::kForwardedCall);
  CHECK(forwarded.service == "board");
  CHECK(forwarded.rest == "/rooms/12");
  CHECK(ParseRoute("/cassiakeel/v1/status").rest == "status");
  CHECK(ParseRoute("/metrics").kind == RouteKind::kOperation);
  CHECK(ParseRoute("/board").rest == "/");
  CHECK(ParseRoute("/").kind == RouteKind::kMalformed);
  CHECK(ParseRoute("//x").kind == RouteKind::kMalformed);
}

// Guards against a caller that sets fields of the context on a response or
// request by sending them through.
TEST_CASE("context and hop fields are not passed on") {
  const auto passed = ForwardableHeaders({{"Accept", "text/plain"},
                                          {"cassiakeel-class", "critical"},
                                          {"Connection", "close"},
                                          {"idempotency-key", "k"}});
  REQUIRE(passed.size() == 1);
  CHECK(passed[0].first == "Accept");
}

TEST_CASE("an outcome survives the way between nodes") {
  CallResult result = Refuse(Reason::kOverload, "admit");
  result.retry_after = std::chrono::milliseconds(1500);
  result.unspent = 2;
  result.load = admission::Load{3, 8, 1, RequestClass::kInteractive, false};
  CallResult read;
  ReadOutcomeHeaders(OutcomeHeaders(result), read);
  CHECK(read.outcome == Outcome::kNotRun);
  CHECK(read.reason == Reason::kOverload);
  CHECK(read.unspent == 2);
  CHECK(read.retry_after == std::chrono::seconds(2));
  REQUIRE(read.load);
  CHECK(read.load->limit == 8);
}

// Guards against "not run" for an answer that does not say so.
TEST_CASE("an answer without outcome is unknown") {
  CallResult read;
  ReadOutcomeHeaders({{"Content-Type", "text/html"}}, read);
  CHECK(read.outcome == Outcome::kUnknown);
}

// Guards against "not run" for an attempt that arrives after the question.
TEST_CASE("an attempt that was asked for before it arrived is refused") {
  AttemptRegistry registry;
  const SteadyTime now{std::chrono::hours(1)};
  const AttemptId late("late");
  CHECK(ResolveAttempt(registry, late, now) == Outcome::kNotRun);
  CHECK(ArriveAttempt(registry, late, now) == Arrival::kClosed);
  const AttemptId normal("normal");
  CHECK(ArriveAttempt(registry, normal, now) == Arrival::kNew);
  // "Not run" for a second copy would be false: the first one runs.
  CHECK(ArriveAttempt(registry, normal, now) == Arrival::kDuplicate);
  CHECK(ResolveAttempt(registry, normal, now) == Outcome::kUnknown);
  EndAttempt(registry, normal, Outcome::kRan);
  CHECK(ResolveAttempt(registry, normal, now) == Outcome::kRan);
}

TEST_CASE("an announcement is checked") {
  const auto good = ParseAnnouncement(
      R"({"service":"board","address":"127.0.0.1:80","slots":7})");
  REQUIRE(good);
  CHECK(good->slots == Slots(7));
  for (const char* bad :
       {"", "[]", R"({"service":"","address":"127.0.0.1:80","slots":7})",
        R"({"service":"b","address":"here","slots":7})",
        R"({"service":"b","address":"127.0.0.1:80","slots":0})",
        R"({"service":"b","address":"127.0.0.1:80","slots":1e30})"}) {
    CHECK_FALSE(ParseAnnouncement(bad));
  }
}

// Guards against calls that hold each other by their callbacks: each call, with
// its body, would stay in memory after its end.
TEST_CASE("a call that has ended keeps nothing of its caller") {
  const SystemClock clock;
  auto thread = *TrafficThread::Create(1);
  ServingEndpoint serving(clock, *thread);
  control::PublishedState blackboard;
  EndpointPools pools(NodeId("n1"), {}, blackboard);
  Metrics metrics;
  std::atomic<once::Deduplicator*> deduplicator{nullptr};
  const ForwardEnvironment environment{clock,   NodeId("n1"), pools, serving,
                                       metrics, deduplicator, {}};
  Call call;
  call.service = ServiceName("board");
  call.context.attempt = AttemptId("a1");
  call.deadline = clock.Now() + std::chrono::seconds(1);
  const auto held = std::make_shared<int>(0);
  const auto on_end = [&](std::shared_ptr<int> copy) {
    return [copy = std::move(copy)](const CallResult& result) {
      CHECK(result.outcome == Outcome::kNotRun);
    };
  };
  const CancelCall served = serving.Serve(*thread, call, {}, on_end(held));
  CHECK(held.use_count() == 1);
  const CancelCall forwarded =
      Forward(environment, *thread, call, {}, on_end(held));
  CHECK(held.use_count() == 1);
}

}  // namespace cassiakeel::node
