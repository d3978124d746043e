#define CATCH_CONFIG_MAIN
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <future>
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

TEST_CASE("settings take values from flags") {
  const auto parsed =
      Parse({"--node-id", "n7", "--zone-distance", "east-b=1500"});
  REQUIRE(parsed);
  CHECK(parsed->settings.node_id == NodeId("n7"));
  CHECK(parsed->settings.zone_distance.at(ZoneName("east-b")) ==
        std::chrono::microseconds(1500));
}

TEST_CASE(
    "an invalid setting is reported with its name, value and accepted values") {
  const auto check = [](std::vector<const char*> arguments,
                        const std::string& expected) {
    const auto parsed = Parse(std::move(arguments));
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error().message == expected);
  };
  check({"--listen", "nowhere"},
        "--listen \"nowhere\" is invalid; expected IP:port");
  check({"--traffic-threads", "0"},
        "--traffic-threads \"0\" is invalid; expected 1 to 16");
  check({"--log-level", "loud"},
        "--log-level \"loud\" is invalid; expected debug, info, warn or error");
}

// Guards against settings that are missing in the operations manual.
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

// Guards against nodes that form one cluster while each stores shard owners in
// its own platform: a non-idempotent call would run once per platform.
TEST_CASE("seed peers require a shared platform") {
  CHECK_FALSE(Parse({"--seed-peer", "127.0.0.1:7402"}));
  CHECK(
      Parse({"--seed-peer", "127.0.0.1:7402", "--platform", "127.0.0.1:7300"}));
}

// Guards against an unapproved policy in a production deployment.
TEST_CASE("a policy file is refused together with a platform") {
  CHECK_FALSE(
      Parse({"--policy-file", "x.csv", "--platform", "127.0.0.1:7300"}));
}

TEST_CASE("request paths are parsed into routes") {
  const auto call = ParseRoute("/board/rooms/12");
  CHECK(call.kind == RouteKind::kCall);
  CHECK(call.service == "board");
  CHECK(call.path == "/rooms/12");
  const auto forwarded = ParseRoute("/cassiakeel/v1/call/board/rooms/12");
  CHECK(forwarded.kind == RouteKind::kForwardedCall);
  CHECK(forwarded.service == "board");
  CHECK(forwarded.path == "/rooms/12");
  CHECK(ParseRoute("/cassiakeel/v1/status").path == "status");
  CHECK(ParseRoute("/metrics").kind == RouteKind::kOperation);
  CHECK(ParseRoute("/board").path == "/");
  CHECK(ParseRoute("/").kind == RouteKind::kMalformed);
  CHECK(ParseRoute("//x").kind == RouteKind::kMalformed);
}

// Guards against a peer that sets context fields of another hop by including
// them in its request or response.
TEST_CASE("context and hop-by-hop fields are not forwarded") {
  const auto passed = ForwardableHeaders({{"Accept", "text/plain"},
                                          {"cassiakeel-class", "critical"},
                                          {"Connection", "close"},
                                          {"idempotency-key", "k"}});
  REQUIRE(passed.size() == 1);
  CHECK(passed[0].first == "Accept");
}

TEST_CASE("outcome headers are parsed to the values that were formatted") {
  CallResult result = MakeErrorResult(Reason::kOverload, "admit");
  result.retry_after = std::chrono::milliseconds(1500);
  result.unspent_retries = 2;
  result.load = admission::Load{3, 8, 1, RequestClass::kInteractive, false};
  CallResult read;
  ReadOutcomeHeaders(OutcomeHeaders(result), read);
  CHECK(read.outcome == Outcome::kNotRun);
  CHECK(read.reason == Reason::kOverload);
  CHECK(read.unspent_retries == 2);
  CHECK(read.retry_after == std::chrono::seconds(2));
  REQUIRE(read.load);
  CHECK(read.load->limit == 8);
}

// Guards against "not run" for a response without this outcome, which would
// allow a retry of a call that may have run.
TEST_CASE("a response without outcome header has an unknown outcome") {
  CallResult read;
  ReadOutcomeHeaders({{"Content-Type", "text/html"}}, read);
  CHECK(read.outcome == Outcome::kUnknown);
}

// Guards against the answer "not run" for an attempt that arrives and runs
// after the query.
TEST_CASE("an attempt that was queried before it arrived is refused") {
  AttemptRegistry registry;
  const SteadyTime now{std::chrono::hours(1)};
  const AttemptId late("late");
  CHECK(ResolveAttempt(registry, late, now) == Outcome::kNotRun);
  CHECK(RegisterAttempt(registry, late, now) == Arrival::kFenced);
  const AttemptId normal("normal");
  CHECK(RegisterAttempt(registry, normal, now) == Arrival::kNew);
  // A duplicate must not be reported as "not run": the first delivery runs.
  CHECK(RegisterAttempt(registry, normal, now) == Arrival::kDuplicate);
  CHECK(ResolveAttempt(registry, normal, now) == Outcome::kUnknown);
  RecordAttemptEnd(registry, normal, Outcome::kRan);
  CHECK(ResolveAttempt(registry, normal, now) == Outcome::kRan);
}

TEST_CASE("an announcement is validated") {
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

// Guards against an earlier refusal that a backend server sends once more, on a
// kept connection, and that is taken for the outcome of the next call, which
// runs.
TEST_CASE("a repeated refusal does not reach the next call") {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  const auto port = std::to_string(acceptor.local_endpoint().port());
  std::thread backend([&] {
    const std::string end = "Content-Length: 0\r\n\r\n";
    const std::string refusal =
        "HTTP/1.1 503 Full\r\n" + std::string(routing::kOutcomeHeader) + ": " +
        std::string(OutcomeName(Outcome::kNotRun)) + "\r\n" + end;
    for (const bool refuses : {true, false}) {
      asio::ip::tcp::socket socket(io);
      acceptor.accept(socket);
      std::string request;
      asio::error_code error;
      asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                       error);
      asio::write(socket,
                  asio::buffer(refuses ? refusal : "HTTP/1.1 200 OK\r\n" + end),
                  error);
      request.clear();
      asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                       error);
      if (!error) {
        asio::write(socket, asio::buffer(refusal), error);
        return;
      }
    }
  });
  const SystemClock clock;
  auto thread = *TrafficThread::Create(1);
  thread->Run();
  ServingEndpoint serving(clock, *thread);
  serving.Announce(
      {ServiceName("board"), PeerAddress("127.0.0.1:" + port), Slots(4)});
  policy::KindPolicy kind;
  kind.idempotent = true;
  std::vector<Outcome> outcomes;
  for (const char* attempt : {"a1", "a2"}) {
    Call call;
    call.service = ServiceName("board");
    call.method = "GET";
    call.path = "/";
    call.kind = &kind;
    call.context.attempt = AttemptId(attempt);
    call.deadline = clock.Now() + std::chrono::seconds(2);
    std::promise<Outcome> ended;
    thread->Post([&] {
      serving.Serve(*thread, call, {}, [&ended](const CallResult& result) {
        ended.set_value(result.outcome);
      });
    });
    outcomes.push_back(ended.get_future().get());
  }
  thread->Stop();
  thread.reset();
  backend.join();
  CHECK(outcomes == std::vector<Outcome>{Outcome::kNotRun, Outcome::kRan});
}

// Guards against a memory leak: a completed call that kept its callback, which
// may own the call, would stay in memory together with its body.
TEST_CASE("a completed call releases its callback") {
  const SystemClock clock;
  auto thread = *TrafficThread::Create(1);
  ServingEndpoint serving(clock, *thread);
  control::Blackboard blackboard;
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
