#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include "check.h"

// Each case runs a check on a history that violates its invariant, and on the
// closest history that does not. Guards against checks that miss violations and
// against checks that report permitted behaviour.
namespace cassiakeel::history {
namespace {

History ParseOrFail(const std::string& text) {
  const auto history = ParseHistory(text);
  REQUIRE(history.has_value());
  return *history;
}

/// Expects one violation in the history `broken`, and none after `line` in it
/// is replaced by `replacement`.
void CheckBrokenAndFixed(Violations (*check)(const History&),
                         const std::string& broken,
                         const std::string& line,
                         const std::string& replacement,
                         std::size_t excerpt_size) {
  const Violations found = check(ParseOrFail(broken));
  REQUIRE(found.size() == 1);
  CHECK(found.front().excerpt.size() == excerpt_size);
  std::string correct = broken;
  REQUIRE(correct.find(line) != std::string::npos);
  correct.replace(correct.find(line), line.size(), replacement);
  CHECK(check(ParseOrFail(correct)).empty());
}

}  // namespace

TEST_CASE("I1: more retries than the budget of the request") {
  CheckBrokenAndFixed(CheckRetryBudget,
                      R"({"at":1,"type":"submit","request":"r","retries":1}
{"at":2,"type":"attempt","request":"r","attempt":"a"}
{"at":3,"type":"attempt","request":"r","attempt":"b","retry":true}
{"at":4,"type":"attempt","request":"r","attempt":"c","retry":true})",
                      R"("attempt":"c","retry":true)", R"("attempt":"c")", 3);
}

TEST_CASE(
    "I2: a critical attempt is shed while less important work is served") {
  CheckBrokenAndFixed(
      CheckSheddingOrder,
      R"({"at":1,"type":"queue","node":"n","attempt":"a","class":"internal"}
{"at":2,"type":"refuse","node":"n","attempt":"b","reason":"overload"}
{"at":3,"type":"dispatch","node":"n","attempt":"a"})",
      R"("dispatch")", R"("refuse")", 3);
}

TEST_CASE("I3: an answer with the payload of another request") {
  CheckBrokenAndFixed(CheckAnswers,
                      R"({"at":1,"type":"submit","caller":"c","request":"r"}
{"at":2,"type":"run-start","request":"r","attempt":"a"}
{"at":3,"type":"run-end","attempt":"a","payload":"p"}
{"at":4,"type":"answer","caller":"c","request":"r","outcome":"ran","payload":"q"})",
                      R"("payload":"q")", R"("payload":"p")", 2);
}

TEST_CASE("I3: an incomplete answer") {
  CheckBrokenAndFixed(CheckAnswers,
                      R"({"at":1,"type":"submit","caller":"c","request":"r"}
{"at":2,"type":"run-start","request":"r","attempt":"a"}
{"at":3,"type":"run-end","attempt":"a","payload":"p"}
{"at":4,"type":"answer","caller":"c","request":"r","outcome":"ran","payload":"p","whole":false})",
                      R"("whole":false)", R"("whole":true)", 2);
}

TEST_CASE(
    "I3: an answer to the wrong caller, a duplicate or a missing answer") {
  CheckBrokenAndFixed(CheckAnswers,
                      R"({"at":1,"type":"submit","caller":"c","request":"r"}
{"at":2,"type":"answer","caller":"d","request":"r","outcome":"not-run"})",
                      R"("caller":"d")", R"("caller":"c")", 2);
  CheckBrokenAndFixed(CheckAnswers,
                      R"({"at":1,"type":"submit","caller":"c","request":"r"}
{"at":2,"type":"answer","caller":"c","request":"r","outcome":"not-run"}
{"at":3,"type":"answer","caller":"c","request":"r","outcome":"not-run"})",
                      R"({"at":3,"type":"answer")", R"({"at":3,"type":"fault")",
                      2);
  CheckBrokenAndFixed(CheckAnswers,
                      R"({"at":1,"type":"submit","caller":"c","request":"r"}
{"at":2,"type":"fault","caller":"c","request":"r"}
{"at":3,"type":"quiet"})",
                      R"("fault")", R"("answer")", 2);
}

TEST_CASE("I3: an answer with outcome ran without a run") {
  CheckBrokenAndFixed(CheckAnswers,
                      R"({"at":1,"type":"submit","caller":"c","request":"r"}
{"at":2,"type":"answer","caller":"c","request":"r","outcome":"ran"})",
                      R"("outcome":"ran")", R"("outcome":"unknown")", 2);
}

TEST_CASE("I4: an attempt runs after it was refused as not run") {
  CheckBrokenAndFixed(
      CheckNotRun,
      R"({"at":1,"type":"refuse","node":"n","attempt":"a","outcome":"not-run"}
{"at":2,"type":"run-start","node":"n","request":"r","attempt":"a"})",
      R"("not-run")", R"("unknown")", 2);
}

TEST_CASE(
    "I4: a request is answered as not run after one of its attempts ran") {
  CheckBrokenAndFixed(
      CheckNotRun,
      R"({"at":1,"type":"run-start","node":"n","request":"r","attempt":"a"}
{"at":2,"type":"refuse","node":"m","request":"r","attempt":"b","outcome":"not-run"}
{"at":3,"type":"answer","request":"r","outcome":"not-run"})",
      R"("answer","request":"r","outcome":"not-run")",
      R"("answer","request":"r","outcome":"unknown")", 2);
}

TEST_CASE("I5: the work of one key runs at two nodes") {
  CheckBrokenAndFixed(
      CheckAtMostOnce,
      R"({"at":1,"type":"run-start","node":"n","service":"s","attempt":"a","key":"k"}
{"at":2,"type":"run-start","node":"m","service":"s","attempt":"b","key":"k"})",
      R"("attempt":"b","key":"k")", R"("attempt":"b","key":"l")", 2);
}

TEST_CASE("I5: work starts at a former owner of its shard") {
  CheckBrokenAndFixed(
      CheckSingleOwner,
      R"({"at":1,"type":"run-start","node":"n","shard":3,"version":2}
{"at":2,"type":"run-start","node":"m","shard":3,"version":1})",
      R"("shard":3,"version":1)", R"("shard":4,"version":1)", 2);
}

TEST_CASE("I6: work is dispatched to a backend server that has left") {
  CheckBrokenAndFixed(CheckDeparture,
                      R"({"at":1,"type":"leave","node":"n"}
{"at":3000002,"type":"dispatch","node":"n","attempt":"a"})",
                      R"("at":3000002)", R"("at":3000001)", 2);
}

TEST_CASE("I7: a graceful shutdown cuts off work") {
  CheckBrokenAndFixed(CheckShutdown,
                      R"({"at":1,"type":"run-start","node":"n","attempt":"a"}
{"at":2,"type":"shutdown-begin","node":"n"}
{"at":3,"type":"fault","node":"n","attempt":"a"}
{"at":4,"type":"shutdown-end","node":"n"})",
                      R"("fault")", R"("run-end")", 3);
  CheckBrokenAndFixed(CheckShutdown,
                      R"({"at":1,"type":"run-start","node":"n","attempt":"a"}
{"at":2,"type":"shutdown-begin","node":"n"}
{"at":3,"type":"run-end","node":"n","attempt":"a","whole":false}
{"at":4,"type":"shutdown-end","node":"n"})",
                      R"("whole":false)", R"("whole":true)", 3);
}

TEST_CASE("I8: a policy is late, reverted or not approved") {
  CheckBrokenAndFixed(CheckPolicy,
                      R"({"at":1,"type":"node-up","node":"n"}
{"at":2,"type":"approve","version":1,"payload":"x"}
{"at":3,"type":"fault","node":"n","version":1,"payload":"x"}
{"at":20000003,"type":"quiet"})",
                      R"("fault")", R"("in-force")", 2);
  CheckBrokenAndFixed(CheckPolicy,
                      R"({"at":1,"type":"approve","version":1,"payload":"x"}
{"at":2,"type":"approve","version":2,"payload":"y"}
{"at":3,"type":"in-force","node":"n","version":2,"payload":"y"}
{"at":4,"type":"in-force","node":"n","version":1,"payload":"x"})",
                      R"("node":"n","version":1)", R"("node":"m","version":1)",
                      2);
  CheckBrokenAndFixed(CheckPolicy,
                      R"({"at":1,"type":"approve","version":1,"payload":"x"}
{"at":3,"type":"in-force","node":"n","version":1,"payload":"z"})",
                      R"("payload":"z")", R"("payload":"x")", 2);
}

TEST_CASE("events survive a round trip and errors name the invalid line") {
  Event event;
  event.type = EventType::kRefuse;
  event.outcome = Outcome::kNotRun;
  event.reason = Reason::kNotVouched;
  event.request_class = RequestClass::kInternal;
  event.node = "n";
  const auto parsed = ParseEvent(FormatEvent(event));
  REQUIRE(parsed.has_value());
  CHECK(FormatEvent(*parsed) == FormatEvent(event));
  const auto bad = ParseHistory("{\"at\":1,\"type\":\"quiet\"}\n{}\n");
  REQUIRE_FALSE(bad.has_value());
  CHECK(bad.error().message.find("line 2") == 0);
}

}  // namespace cassiakeel::history
