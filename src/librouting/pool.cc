#include "pool.h"

#include <algorithm>
#include <cmath>

namespace cassiakeel::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr double kMaxExcludedShare = 0.3;
constexpr double kLatencyWeight = 0.3;
// Averages over about the last ten responses.
constexpr double kFailureWeight = 0.1;
// Half-life of the failure share without responses.
constexpr nanoseconds kFailureHalfLife = std::chrono::seconds(2);
// After this time without responses, the latency average has half of its weight
// against the median of the service.
constexpr nanoseconds kLatencyDecayTime = std::chrono::seconds(10);
// An endpoint is slow if its latency is above both limits. Three times the
// median is far outside the variation of an average of exponentially
// distributed service times; differences below 1 ms are noise.
constexpr double kSlowFactor = 3.0;
constexpr double kMinSlowExcessNs = 1e6;
constexpr int kMinSlowSamples = 2;
constexpr int kFailuresToEject = 3;
// The endpoint reports averages, so that a few responses suffice.
constexpr double kRelativeTimeWeight = 0.2;
// A single latency counts at most this many times the median, so that a rare
// long call, of seven times the usual work, does not exclude its endpoint. The
// first call that takes longer does: at a node of a large service it is often
// the only one that reaches the endpoint within a second.
constexpr double kMaxLatencyMedians = 8;
// Expected service time of an endpoint that has not reported any, relative to
// the median, until this number of endpoints has. Below 1, so that each
// endpoint of a small service gets a call that shows its speed. In a large
// service the near endpoints are enough to choose from, and one call of each
// node to each endpoint would be a large part of all calls.
constexpr double kUnknownServiceTime = 0.4;
constexpr int kMinMeasuredEndpoints = 4;
// Kinds whose service time is kept for an endpoint. A policy names some dozens;
// the bound protects against one that renames its routes with each change.
constexpr std::size_t kMaxKinds = 1024;
constexpr std::chrono::seconds kInitialEjection{1};
constexpr std::chrono::seconds kProbeTimeout{5};
constexpr int kResponsesPerMedian = 16;

// Weight of an observation against the average after `idle` without another.
double DecayWeight(nanoseconds idle) {
  return static_cast<double>(kLatencyDecayTime.count()) /
         static_cast<double>((kLatencyDecayTime + idle).count());
}

std::size_t LengthIndex(WorkLength length) {
  return static_cast<std::size_t>(length);
}

// Number of endpoints excluded by ejection or suspicion. An endpoint counts as
// ejected until a probe succeeds.
std::size_t ExcludedCount(const Pool& pool) {
  std::size_t count = 0;
  for (std::size_t i = 0; i < pool.stats.size(); ++i) {
    if (pool.excluded[i] || pool.stats[i].ejected_until) {
      ++count;
    }
  }
  return count;
}

void Eject(Pool& pool, EndpointStats& stats, SteadyTime now) {
  // Responses to calls sent before an ejection do not prolong it.
  if (stats.ejected_until && !stats.probe_sent) {
    return;
  }
  if (!stats.ejected_until &&
      ExcludedCount(pool) >= pvt::MaxExcluded(pool.endpoints.size())) {
    return;
  }
  const auto time = std::min<nanoseconds>(
      pool.max_ejection_time,
      kInitialEjection * (1 << std::min(stats.consecutive_ejections, 5)));
  stats.ejected_until = now + time;
  stats.probe_sent.reset();
  ++stats.consecutive_ejections;
}

void Readmit(EndpointStats& stats) {
  stats.ejected_until.reset();
  stats.probe_sent.reset();
}

// The lower median; reorders `values`, which must not be empty.
double Median(std::vector<double>& values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

void UpdateMedian(Pool& pool) {
  pool.responses_since_median = 0;
  std::vector<double> values;
  for (std::size_t length = 0; length < pool.median_ns.size(); ++length) {
    values.clear();
    for (const auto& stats : pool.stats) {
      if (stats.latency[length].samples > 0) {
        values.push_back(stats.latency[length].ns);
      }
    }
    if (values.empty()) {
      continue;
    }
    pool.median_ns[length] = Median(values);
  }
}

bool IsSlow(const Pool& pool, double ns, std::size_t length) {
  return pool.median_ns[length] > 0 &&
         ns > pool.median_ns[length] * kSlowFactor &&
         ns - pool.median_ns[length] > kMinSlowExcessNs;
}

void UpdateKindMedian(Pool& pool, std::uint64_t kind_id) {
  auto& kind = pool.kinds[kind_id];
  kind.responses_since_median = 0;
  std::vector<double> values;
  for (const auto& stats : pool.stats) {
    const auto reported = stats.service_times.find(kind_id);
    if (reported != stats.service_times.end()) {
      values.push_back(reported->second.ns);
    }
  }
  if (!values.empty()) {
    kind.median_ns = Median(values);
  }
}

void RecordServiceTime(Pool& pool,
                       EndpointStats& stats,
                       const ResponseInfo& response,
                       SteadyTime now) {
  const auto ns = static_cast<double>(response.typical_service_time.count());
  if (response.kind == 0 || ns <= 0) {
    return;
  }
  if (stats.service_times.size() >= kMaxKinds &&
      !stats.service_times.contains(response.kind)) {
    return;
  }
  const auto [known, is_new] = stats.service_times.try_emplace(response.kind);
  known->second = {ns, now};
  if (is_new && stats.service_times.size() == 1) {
    ++pool.measured_endpoints;
  }
  auto& kind = pool.kinds[response.kind];
  if (is_new || ++kind.responses_since_median >= kResponsesPerMedian) {
    UpdateKindMedian(pool, response.kind);
  }
  stats.relative_service_time +=
      (ns / kind.median_ns - stats.relative_service_time) * kRelativeTimeWeight;
}

// Latency of a unit of work, or of the response itself where its kind is
// unknown, in nanoseconds.
double UnitLatency(const Pool& pool, const ResponseInfo& response) {
  const auto ns = static_cast<double>(response.latency.count());
  const double service_ns = pvt::MedianServiceTime(pool, response.kind);
  if (service_ns <= 0) {
    return ns;
  }
  // The median latency is above the unit where calls wait in queues.
  const double median =
      std::max(pvt::kUnitWorkNs, pool.median_ns[LengthIndex(response.length)]);
  return std::min(ns / service_ns * pvt::kUnitWorkNs,
                  median * kMaxLatencyMedians);
}

void RecordLatency(Pool& pool,
                   EndpointStats& stats,
                   const ResponseInfo& response,
                   SteadyTime now) {
  RecordServiceTime(pool, stats, response, now);
  const auto length = LengthIndex(response.length);
  const double ns = UnitLatency(pool, response);
  auto& latency = stats.latency[length];
  if (stats.probe_sent) {
    // Only the probe determines whether the endpoint is still slow.
    if (IsSlow(pool, ns, length)) {
      latency.updated = now;
      Eject(pool, stats, now);
      return;
    }
    Readmit(stats);
    latency.ns = ns;
    latency.samples = 1;
  } else if (latency.samples == 0) {
    latency.ns = ns;
    latency.samples = 1;
  } else {
    const double past = pvt::ExpectedLatency(pool, stats, response.length, now);
    latency.ns = past + (ns - past) * kLatencyWeight;
    latency.samples = std::min(latency.samples + 1, 1000);
  }
  latency.updated = now;
  if (response.length == WorkLength::kShort) {
    pvt::AddLatency(pool.short_latency,
                    static_cast<double>(response.latency.count()));
  }
  if (++pool.responses_since_median >= kResponsesPerMedian ||
      pool.median_ns[length] <= 0) {
    UpdateMedian(pool);
  }
  if (latency.samples >= kMinSlowSamples && IsSlow(pool, latency.ns, length)) {
    Eject(pool, stats, now);
  } else if (!stats.ejected_until && latency.samples >= kResponsesPerMedian) {
    stats.consecutive_ejections = 0;
  }
}

void EndCall(EndpointStats& stats) {
  stats.in_flight = std::max(0, stats.in_flight - 1);
}

EndpointStats* FindStats(Pool& pool, const NodeId& node) {
  const auto found = pool.index.find(node);
  return found == pool.index.end() ? nullptr : &pool.stats[found->second];
}

void GroupByDistance(Pool& pool) {
  std::map<double, std::vector<std::size_t>> groups;
  for (std::size_t i = 0; i < pool.endpoints.size(); ++i) {
    const auto& endpoint = pool.endpoints[i];
    const auto known = pool.distance.find(endpoint.zone);
    auto distance =
        known == pool.distance.end() ? pool.default_distance : known->second;
    if (endpoint.node == pool.self) {
      distance = nanoseconds(0);
    }
    const auto ns = static_cast<double>(distance.count());
    pool.distance_ns.push_back(ns);
    groups[ns].push_back(i);
  }
  for (auto& [distance, members] : groups) {
    pool.tiers.push_back(std::move(members));
  }
}

void ExcludeSuspected(Pool& pool) {
  const auto max_excluded = pvt::MaxExcluded(pool.endpoints.size());
  pool.excluded.assign(pool.endpoints.size(), false);
  for (std::size_t i = 0; i < pool.endpoints.size(); ++i) {
    if (pool.endpoints[i].suspected &&
        (pool.stats[i].ejected_until || ExcludedCount(pool) < max_excluded)) {
      pool.excluded[i] = true;
    }
  }
}

}  // namespace

namespace pvt {

std::size_t MaxExcluded(std::size_t total) {
  // Two or three endpoints may exclude one; with the share alone, a failing
  // endpoint of so small a service would never be excluded.
  if (total >= 2 && total <= 3) {
    return 1;
  }
  return static_cast<std::size_t>(static_cast<double>(total) *
                                  kMaxExcludedShare);
}

bool IsEjected(const EndpointStats& stats, SteadyTime now) {
  if (!stats.ejected_until) {
    return false;
  }
  if (now < *stats.ejected_until) {
    return true;
  }
  // Only one probe at a time. A probe that never ends is abandoned.
  return stats.probe_sent && now - *stats.probe_sent < kProbeTimeout;
}

bool IsLeaving(const Pool& pool, std::size_t index, SteadyTime now) {
  const auto& stats = pool.stats[index];
  return pool.endpoints[index].leaving ||
         (stats.leaving_reported_at &&
          now - *stats.leaving_reported_at < pool.leaving_exclusion_time);
}

double ExpectedLatency(const Pool& pool,
                       const EndpointStats& stats,
                       WorkLength length,
                       SteadyTime now) {
  const auto index = LengthIndex(length);
  const auto& latency = stats.latency[index];
  const double median = pool.median_ns[index];
  if (latency.samples == 0) {
    return median;
  }
  const auto idle =
      std::max(nanoseconds(0), nanoseconds(now - latency.updated));
  return median + (latency.ns - median) * DecayWeight(idle);
}

double MedianServiceTime(const Pool& pool, std::uint64_t kind) {
  const auto found = pool.kinds.find(kind);
  return found == pool.kinds.end() ? 0 : found->second.median_ns;
}

double ExpectedServiceTime(const Pool& pool,
                           const EndpointStats& stats,
                           std::uint64_t kind,
                           SteadyTime now) {
  const double median = MedianServiceTime(pool, kind);
  if (stats.service_times.empty()) {
    const bool explore =
        stats.in_flight == 0 && pool.measured_endpoints < kMinMeasuredEndpoints;
    return explore ? median * kUnknownServiceTime : median;
  }
  const auto reported = stats.service_times.find(kind);
  if (reported == stats.service_times.end()) {
    return median * stats.relative_service_time;
  }
  if (reported->second.ns <= median) {
    return reported->second.ns;
  }
  const auto idle =
      std::max(nanoseconds(0), nanoseconds(now - reported->second.updated));
  return median + (reported->second.ns - median) * DecayWeight(idle);
}

double FailureShare(const EndpointStats& stats, SteadyTime now) {
  if (stats.failure_share <= 0) {
    return 0;
  }
  const std::chrono::duration<double> idle = now - stats.failure_share_at;
  const std::chrono::duration<double> half_life = kFailureHalfLife;
  return stats.failure_share * std::exp2(-idle / half_life);
}

}  // namespace pvt

void UpdateEndpoints(Pool& pool, std::vector<Endpoint> endpoints) {
  std::unordered_map<NodeId, std::size_t> index;
  std::vector<EndpointStats> stats;
  std::vector<Endpoint> unique;
  for (auto& endpoint : endpoints) {
    if (!index.emplace(endpoint.node, unique.size()).second) {
      continue;
    }
    auto* known = FindStats(pool, endpoint.node);
    stats.push_back(known != nullptr ? *known : EndpointStats());
    unique.push_back(std::move(endpoint));
  }
  pool.endpoints = std::move(unique);
  pool.stats = std::move(stats);
  pool.index = std::move(index);
  pool.tiers.clear();
  pool.distance_ns.clear();
  pool.measured_endpoints = static_cast<int>(std::count_if(
      pool.stats.begin(), pool.stats.end(),
      [](const auto& item) { return !item.service_times.empty(); }));
  GroupByDistance(pool);
  ExcludeSuspected(pool);
}

void OnDispatch(Pool& pool, const NodeId& node, SteadyTime now) {
  auto* stats = FindStats(pool, node);
  if (stats == nullptr) {
    return;
  }
  ++stats->in_flight;
  if (stats->ejected_until && now >= *stats->ejected_until) {
    stats->probe_sent = now;
  }
}

void OnResponse(Pool& pool,
                const NodeId& node,
                const ResponseInfo& response,
                SteadyTime now) {
  auto* stats = FindStats(pool, node);
  if (stats == nullptr) {
    return;
  }
  EndCall(*stats);
  if (response.load) {
    stats->load = *response.load;
    stats->load_at = now;
  }
  if (response.reason == Reason::kLeaving ||
      (response.load && response.load->leaving)) {
    stats->leaving_reported_at = now;
  }
  if (response.outcome == Outcome::kRan || response.server_failed) {
    const double past = pvt::FailureShare(*stats, now);
    stats->failure_share =
        past + kFailureWeight * ((response.server_failed ? 1 : 0) - past);
    stats->failure_share_at = now;
  }
  if (response.outcome == Outcome::kRan) {
    stats->consecutive_failures = 0;
    AddSuccess(stats->retry_tokens);
    RecordLatency(pool, *stats, response, now);
  } else if (stats->probe_sent) {
    // A refusal says nothing about the latency; the next call probes again.
    stats->probe_sent.reset();
  }
}

void OnFailure(Pool& pool, const NodeId& node, Reason reason, SteadyTime now) {
  auto* stats = FindStats(pool, node);
  if (stats == nullptr) {
    return;
  }
  EndCall(*stats);
  if (reason == Reason::kCancelled) {
    stats->probe_sent.reset();
    return;
  }
  ++stats->consecutive_failures;
  // A failed connect ejects at once. A lost connection or a timeout may be a
  // single event, so several in a row are needed.
  if (reason == Reason::kConnectFailed || stats->probe_sent ||
      stats->consecutive_failures >= kFailuresToEject) {
    Eject(pool, *stats, now);
  }
}

void OnReady(Pool& pool, const NodeId& node) {
  if (auto* stats = FindStats(pool, node)) {
    stats->leaving_reported_at.reset();
  }
}

RetryTokens* FindRetryTokens(Pool& pool, const NodeId& node) {
  auto* stats = FindStats(pool, node);
  return stats == nullptr ? nullptr : &stats->retry_tokens;
}

}  // namespace cassiakeel::routing
