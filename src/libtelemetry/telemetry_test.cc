#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include "cassiakeel/telemetry/burn.h"
#include "cassiakeel/telemetry/report.h"

namespace cassiakeel::telemetry {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

const SteadyTime kStart{std::chrono::hours(100)};

CallRecord MakeRecord(Outcome outcome, Reason reason = Reason::kNone) {
  CallRecord record;
  record.service = ServiceName("intake");
  record.request_class = RequestClass::kCritical;
  record.outcome = outcome;
  record.reason = reason;
  record.latency = milliseconds(10);
  record.objective_latency = milliseconds(100);
  record.step = outcome == Outcome::kRan ? "" : "admit";
  return record;
}

NodeBurn MakeNodeBurn(const std::string& node, int good, int bad) {
  BurnCollector collector;
  for (int i = 0; i < good; ++i) {
    collector.Record(MakeRecord(Outcome::kRan), kStart);
  }
  for (int i = 0; i < bad; ++i) {
    collector.Record(MakeRecord(Outcome::kNotRun, Reason::kOverload), kStart);
  }
  return {NodeId(node), PolicyVersion(3), collector.Summaries(kStart)};
}

}  // namespace

TEST_CASE("a late response, a server error and a refusal are bad calls") {
  auto record = MakeRecord(Outcome::kRan);
  CHECK(IsGood(record));
  record.latency = milliseconds(101);
  CHECK_FALSE(IsGood(record));
  record = MakeRecord(Outcome::kRan);
  record.status = 500;
  CHECK_FALSE(IsGood(record));
  CHECK_FALSE(IsGood(MakeRecord(Outcome::kNotRun)));
}

TEST_CASE(
    "the burn rate is the share of bad calls divided by the allowed share") {
  CHECK(BurnRate({1000, 10}, 99.0) == Approx(1.0));
  CHECK(BurnRate({1000, 144}, 99.0) == Approx(14.4));
  CHECK(BurnRate({0, 0}, 99.0) == 0.0);
}

// Guards against calls that never expire from a window or expire too early.
TEST_CASE("calls expire from the windows") {
  BurnCollector collector;
  collector.Record(MakeRecord(Outcome::kNotRun, Reason::kOverload), kStart);
  const auto now = collector.Summaries(kStart).front();
  CHECK(now.windows[0].bad == 1);
  const auto later = collector.Summaries(kStart + minutes(5)).front();
  CHECK(later.windows[0].total == 0);
  CHECK(later.windows[1].total == 1);
  CHECK(later.series[kSeriesMinutes - 6].bad == 1);
}

TEST_CASE("node figures are parsed and summed in the report") {
  const auto parsed = ParseNodeBurn(FormatNodeBurn(MakeNodeBurn("a", 8, 2)));
  REQUIRE(parsed);
  const auto report = MergeBurn({*parsed, MakeNodeBurn("b", 90, 0)}, {"c"});
  REQUIRE(report.summaries.size() == 1);
  CHECK(report.summaries[0].windows[0].total == 100);
  CHECK(report.summaries[0].windows[0].bad == 2);
  CHECK(report.summaries[0].causes.front().count == 2);
  CHECK(BudgetLeftPercent(report.summaries[0]) == Approx(-100.0));
  CHECK_FALSE(ParseNodeBurn("{\"node\":1}"));
}

// Guards against a report that does not show that nodes are missing.
TEST_CASE("a partial report is marked as partial in every format") {
  const auto report = MergeBurn({MakeNodeBurn("a", 1, 0)}, {"10.0.0.9:7400"});
  CHECK(RenderTable(report).find("PARTIAL") != std::string::npos);
  CHECK(RenderJson(report).find("\"partial\": true") != std::string::npos);
  CHECK(RenderHtml(report).find("Partial: 1 of 2") != std::string::npos);
}

TEST_CASE("a page alert requires a high burn rate in both windows") {
  auto summary = MakeNodeBurn("a", 50, 50).summaries.front();
  CHECK(AlertLevel(summary) == "page");
  summary.windows[2] = {1000, 0};
  summary.windows[3] = {1000, 0};
  CHECK(AlertLevel(summary) == "ok");
}

TEST_CASE("service names are escaped in the HTML page") {
  auto burn = MakeNodeBurn("a", 1, 0);
  burn.summaries.front().service = ServiceName("<script>");
  const auto page = RenderHtml(MergeBurn({burn}, {}));
  CHECK(page.find("<script>") == std::string::npos);
}

}  // namespace cassiakeel::telemetry
