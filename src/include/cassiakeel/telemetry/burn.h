#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "cassiakeel/base/clock.h"
#include "cassiakeel/base/error.h"
#include "cassiakeel/base/outcome.h"
#include "cassiakeel/base/request_class.h"
#include "cassiakeel/base/strong.h"

namespace cassiakeel::telemetry {

/// Windows of the multi-window burn rate alert (Google, The Site Reliability
/// Workbook, chapter 5): 5 min with 1 h, 30 min with 6 h, 6 h with 3 days.
inline constexpr std::array<std::chrono::minutes, 5> kBurnWindows = {
    std::chrono::minutes(5), std::chrono::minutes(30), std::chrono::minutes(60),
    std::chrono::minutes(360), std::chrono::minutes(4320)};
/// Length of the series of calls per minute that the HTML report plots.
inline constexpr int kSeriesMinutes = 60;

/// Result of one call as returned to the client by its ingress node.
struct CallRecord {
  ServiceName service;
  RequestClass request_class = RequestClass::kInternal;
  Outcome outcome = Outcome::kRan;
  Reason reason = Reason::kNone;
  int status = 200;
  std::chrono::nanoseconds latency{0};
  /// Service-level objective of the call's kind in the policy version that was
  /// in force when the call started.
  double objective_percent = 99.0;
  std::chrono::milliseconds objective_latency{1000};
  /// Attempts beyond the first, summed over the whole call tree.
  int retries = 0;
  /// Processing step and peer at which the call was refused or failed.
  std::string step;
  PeerAddress peer;
};

/// True if the call counts as good: it ran, the backend server did not respond
/// with a 5xx status, and the latency is within the objective.
bool IsGood(const CallRecord& record);

/// Number of calls and of bad calls within one period.
struct CallCount {
  std::uint64_t total = 0;
  std::uint64_t bad = 0;
};

/// Burn rate: share of bad calls divided by the share that the objective
/// allows; 1 uses up the error budget exactly at the end of its period (The
/// Site Reliability Workbook, chapter 5). 0 without calls. An objective of 100%
/// allows no bad calls; the result is then the number of bad calls.
double BurnRate(const CallCount& count, double objective_percent);

/// Where and why calls were refused or failed, and how many.
struct Cause {
  std::string step;
  PeerAddress peer;
  Reason reason = Reason::kNone;
  std::uint64_t count = 0;
};

/// Service-level figures of one service and request class, either of one node
/// or summed over nodes.
struct BurnSummary {
  ServiceName service;
  RequestClass request_class = RequestClass::kInternal;
  double objective_percent = 0;
  std::chrono::milliseconds objective_latency{0};
  std::array<CallCount, kBurnWindows.size()> windows;
  /// Counts for each of the last `kSeriesMinutes` minutes, oldest first.
  std::array<CallCount, kSeriesMinutes> series;
  std::uint64_t retries = 0;
  std::map<std::string, std::uint64_t> outcomes;
  std::map<std::string, std::uint64_t> refusals;
  std::vector<Cause> causes;
};

/// Service-level figures of one node.
struct NodeBurn {
  NodeId node;
  PolicyVersion policy_version;
  std::vector<BurnSummary> summaries;
};

/// Aggregates call records in buckets of one minute. Memory is bounded: at most
/// 4,320 buckets and 64 causes for each service and request class.
class BurnCollector {
 public:
  void Record(const CallRecord& record, SteadyTime now);
  std::vector<BurnSummary> Summaries(SteadyTime now) const;

 private:
  struct Bucket {
    std::int64_t minute = 0;
    CallCount count;
  };
  using CauseKey = std::tuple<std::string, PeerAddress, Reason>;
  struct Group {
    double objective_percent = 0;
    std::chrono::milliseconds objective_latency{0};
    std::deque<Bucket> buckets;
    std::uint64_t retries = 0;
    std::map<std::string, std::uint64_t> outcomes;
    std::map<std::string, std::uint64_t> refusals;
    std::map<CauseKey, std::uint64_t> causes;
  };

  std::map<std::pair<ServiceName, RequestClass>, Group> groups;
};

/// Formats and parses the JSON of GET /cassiakeel/v1/burn.
std::string FormatNodeBurn(const NodeBurn& burn);
Result<NodeBurn> ParseNodeBurn(const std::string& json);

}  // namespace cassiakeel::telemetry
