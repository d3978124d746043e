#include "cassiakeel/base/alter_text.h"
#include "cassiakeel/mesh/registrar.h"
#include "mesh_test_support.h"
#include "peer_state.h"

namespace cassiakeel::mesh {
namespace {

using std::chrono::milliseconds;

}  // namespace

TEST_CASE("calls and results are preserved by formatting and parsing") {
  const CallInfo info{ServiceName("s"),
                      ServiceName("c"),
                      "r",
                      2,
                      0.25,
                      true,
                      milliseconds(300),
                      true,
                      {}};
  const auto call = ParseCall(FormatCall(info));
  REQUIRE(call);
  CHECK(call->service == info.service);
  CHECK(call->priority == 2);
  CHECK(call->tree_rank == Approx(0.25));
  CHECK(call->is_retry);
  ServeResult result;
  result.outcome = Outcome::kNotRun;
  result.reason = Reason::kOverload;
  result.shed_level = 1.5;
  result.downstream_failed = true;
  result.needs_state = true;
  result.load.limit = 9;
  const auto parsed = ParseResult(FormatResult(result));
  REQUIRE(parsed);
  CHECK(parsed->reason == Reason::kOverload);
  CHECK(parsed->shed_level == Approx(1.5));
  CHECK(parsed->load.limit == 9);
  CHECK(parsed->downstream_failed);
  CHECK(parsed->needs_state);
  CHECK_FALSE(ParseCall("a|b"));
  CHECK_FALSE(ParseResult("9|0|0|0|0|0|0|0|0|0|0|0|0|0|0"));
}

TEST_CASE("malformed control state of a peer is rejected") {
  CHECK_FALSE(pvt::DecodePeerState("{}"));
  CHECK_FALSE(pvt::DecodePeerState("[1"));
  CHECK_FALSE(pvt::DecodePeerState(
      R"({"policy":[],"directory":[{"key":"a","value":1,"version":2}]})"));
  const RowMap rows{{"a", {"a", "x", 3, false}}};
  const auto state = pvt::DecodePeerState(pvt::EncodePeerState({{}, rows}));
  REQUIRE(state);
  CHECK(state->policy.empty());
  CHECK(state->directory.at("a").version == 3);
}

// Corrupted messages of peers and corrupted rows of the store must either be
// rejected or yield values within their ranges.
TEST_CASE("corrupted messages and rows are rejected or yield values in range") {
  CallInfo info;
  info.service = ServiceName("s");
  info.route = "r";
  info.tree_rank = 0.5;
  ServeResult result;
  result.outcome = Outcome::kNotRun;
  result.reason = Reason::kOverload;
  result.load.limit = 9;
  DirectoryEntry known;
  known.node = NodeId("n");
  known.address = PeerAddress("127.0.0.1:80");
  known.zone = ZoneName("z");
  known.service = ServiceName("s");
  known.instance = InstanceId("i");
  const std::string row = EncodeDirectoryEntry(known);
  const std::string state =
      pvt::EncodePeerState({{}, {{"n", {"n", row, 3, false}}}});
  REQUIRE(DecodeDirectoryEntry("n", row));
  Rng rng(7);
  for (int i = 0; i < 20000; ++i) {
    if (const auto call = ParseCall(AlterText(FormatCall(info), rng))) {
      CHECK(call->tree_rank >= 0);
      CHECK(call->tree_rank <= 1);
      CHECK(call->target_latency.count() >= 0);
      CHECK(ParseCall(FormatCall(*call)));
    }
    if (const auto parsed = ParseResult(AlterText(FormatResult(result), rng))) {
      CHECK(static_cast<int>(parsed->outcome) <=
            static_cast<int>(Outcome::kUnknown));
      CHECK(parsed->load.in_flight >= 0);
      CHECK(parsed->load.limit >= 0);
      CHECK(parsed->load.queued >= 0);
      CHECK(parsed->retry_after.count() >= 0);
      CHECK(parsed->shed_level >= 0);
      CHECK(ParseResult(FormatResult(*parsed)));
    }
    if (const auto entry = DecodeDirectoryEntry("n", AlterText(row, rng))) {
      CHECK(entry->slots.Value() >= 1);
    }
    const auto rows = pvt::DecodePeerState(AlterText(state, rng));
    CHECK((!rows || DecodeDirectory(rows->directory).size() <= 1));
  }
}

TEST_CASE("the longest prefix matches and requests are split by weight") {
  auto wide = TestMesh::MakeRoute("x", true);
  wide.path_prefix = "/a/";
  auto narrow = TestMesh::MakeRoute("y", true);
  narrow.path_prefix = "/a/b/";
  narrow.services = {{ServiceName("y"), 90}, {ServiceName("z"), 10}};
  const TrafficPolicy policy(PolicyVersion(1), {wide, narrow}, {});
  CHECK(policy.Find("HOST:80", "/a/b/c")->name.Value() == "r-y");
  CHECK(policy.Find("host", "/a/c?x=/a/b/")->name.Value() == "r-x");
  CHECK(policy.Find("host", "/a") == nullptr);
  CHECK(policy.Find("nobody", "/a/") == nullptr);
  Rng rng(1);
  int small = 0;
  for (int i = 0; i < 5000; ++i) {
    small += DrawService(narrow, rng).Value() == "z" ? 1 : 0;
  }
  CHECK(small > 400);
  CHECK(small < 600);
}

}  // namespace cassiakeel::mesh
