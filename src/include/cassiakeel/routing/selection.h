#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "cassiakeel/admission/admission.h"
#include "cassiakeel/base/clock.h"
#include "cassiakeel/base/outcome.h"
#include "cassiakeel/base/random.h"
#include "cassiakeel/base/request_class.h"
#include "cassiakeel/base/strong.h"
#include "cassiakeel/routing/retry.h"

namespace cassiakeel::routing {

/// One endpoint of a service: a node and the backend server beside it.
struct Endpoint {
  NodeId node;
  PeerAddress address;
  ZoneName zone;
  bool suspected = false;
  bool leaving = false;
};

/// Exponentially weighted moving average of the latency of one length of work
/// at one endpoint.
struct LatencyEwma {
  double ns = 0;
  int samples = 0;
  SteadyTime updated;
};

/// Last service time that an endpoint reported for a kind of work.
struct ReportedServiceTime {
  double ns = 0;
  SteadyTime updated;
};

/// Median of the service times of one kind of work that the endpoints of a
/// service reported. All endpoints count the same, so that it does not depend
/// on how the work is distributed among them.
struct KindServiceTime {
  double median_ns = 0;
  int responses_since_median = 0;
};

/// Statistics of one endpoint as observed by this node.
struct EndpointStats {
  /// This node's calls in flight at the endpoint.
  int in_flight = 0;
  /// By length of work. Where the kind of work is known, the latency of a unit
  /// of work, see `Pool::kinds`.
  std::array<LatencyEwma, 2> latency;
  /// By kind of work.
  std::unordered_map<std::uint64_t, ReportedServiceTime> service_times;
  /// Moving average of reported service time / median of the kind.
  double relative_service_time = 1;
  /// Last load report and when it was received.
  admission::Load load;
  std::optional<SteadyTime> load_at;
  int consecutive_failures = 0;
  /// No calls are sent before this time. Afterwards a single probe call decides
  /// whether the endpoint is readmitted.
  std::optional<SteadyTime> ejected_until;
  /// Each consecutive ejection doubles the duration of the next one.
  int consecutive_ejections = 0;
  std::optional<SteadyTime> probe_sent;
  /// When the endpoint reported that it is draining; bridges the time until the
  /// member list shows it.
  std::optional<SteadyTime> leaving_reported_at;
  RetryTokens retry_tokens;
  /// Moving average of the share of responses that were failures of the backend
  /// server, as of `failure_share_at`. It decays with time, so that a server
  /// that is avoided still gets an occasional call that can show its recovery.
  double failure_share = 0;
  SteadyTime failure_share_at;
};

/// Response latencies of a service in logarithmic buckets, with decay.
struct LatencyHistogram {
  /// Eight buckets per doubling, from 1 microsecond to over an hour.
  std::array<float, 256> counts{};
  float total = 0;
};

/// Endpoints of one service with their statistics, as observed by one ingress
/// node. Statistics are kept when the member list changes.
struct Pool {
  NodeId self;
  /// Round-trip time to each availability zone, from the settings.
  std::map<ZoneName, std::chrono::nanoseconds> distance;
  /// Round-trip time to a zone that is not in `distance`.
  std::chrono::nanoseconds default_distance{std::chrono::milliseconds(10)};
  /// How long an endpoint gets no calls after it reported that it is draining.
  std::chrono::milliseconds leaving_exclusion_time{3000};
  /// Maximum duration of an ejection.
  std::chrono::milliseconds max_ejection_time{30000};
  std::vector<Endpoint> endpoints;
  std::vector<EndpointStats> stats;
  /// Index of each node in `endpoints` and `stats`.
  std::unordered_map<NodeId, std::size_t> index;
  /// Endpoint indexes grouped by distance, nearest first.
  std::vector<std::vector<std::size_t>> tiers;
  /// Round-trip time to each endpoint, in nanoseconds.
  std::vector<double> distance_ns;
  /// Endpoints that get no calls because they are suspected to have failed.
  /// Together with the ejected ones they are at most 30% of the endpoints,
  /// except that a service of two or three endpoints may exclude one.
  std::vector<bool> excluded;
  /// By kind of work. A service with short and long kinds has no common
  /// latency: an endpoint that just served two long calls would look slow. So
  /// latencies are divided by the median service time of their kind and
  /// expressed for a unit of work, which takes 10 ms at the median endpoint.
  std::unordered_map<std::uint64_t, KindServiceTime> kinds;
  /// Number of endpoints that have reported a service time.
  int measured_endpoints = 0;
  /// Median over the endpoints of the latency of each length of work, in
  /// nanoseconds; 0 before the first response.
  std::array<double, 2> median_ns{};
  int responses_since_median = 0;
  /// Latency of short work.
  LatencyHistogram short_latency;
};

/// Replaces the endpoints, keeping the statistics of nodes that remain.
void UpdateEndpoints(Pool& pool, std::vector<Endpoint> endpoints);

struct SelectionRequest {
  RequestClass request_class = RequestClass::kInternal;
  WorkLength length = WorkLength::kShort;
  /// Stable hash of the name of the kind of work, 0 where unknown.
  std::uint64_t kind = 0;
  /// The work must not run twice, so that no other server can make up for a
  /// slow one.
  bool single_attempt = false;
  /// Nodes already tried for this request.
  std::span<const NodeId> tried;
  /// Only endpoints of this zone are candidates, and ejected or suspected ones
  /// are not used; null for all zones.
  const ZoneName* zone = nullptr;
  /// Latency objective of the call, 0 where unknown. Used by `SelectWithZones`.
  std::chrono::nanoseconds target_latency{0};
};

struct Selection {
  /// Index into `Pool::endpoints`, valid until the next `UpdateEndpoints`.
  std::optional<std::size_t> endpoint;
  /// Set when there is no endpoint: `kNoEndpoint`, or `kOverload` when all
  /// candidates shed the class.
  Reason reason = Reason::kNone;
};

/// Selects an endpoint by the power of two choices: takes two random candidates
/// from each distance tier (four from the nearest one with several endpoints,
/// if the kind is known) and selects the one with the lowest expected cost.
/// Draining, ejected, suspected and already tried endpoints are no candidates.
/// When there is none, an ejected or suspected endpoint is used.
///
/// The load this answers: servers of one service differ in speed, by three
/// times and more, and work whose time limit is a few times its usual duration
/// fails on the slow ones. So the expected service time at the endpoint is part
/// of its cost, and a faster server in another availability zone is used as
/// long as it is not nearly full.
Selection SelectEndpoint(const Pool& pool,
                         const SelectionRequest& request,
                         SteadyTime now,
                         Rng& rng);

/// Records that a call was sent to `node`. Each dispatch must be followed by
/// exactly one `OnResponse` or `OnFailure`.
void OnDispatch(Pool& pool, const NodeId& node, SteadyTime now);

/// Content of a serving node's response that concerns endpoint selection.
struct ResponseInfo {
  Outcome outcome = Outcome::kRan;
  Reason reason = Reason::kNone;
  WorkLength length = WorkLength::kShort;
  /// Stable hash of the name of the kind of work, 0 where unknown.
  std::uint64_t kind = 0;
  std::chrono::nanoseconds latency{0};
  /// Typical service time of this kind at the endpoint, 0 where unknown.
  std::chrono::nanoseconds typical_service_time{0};
  std::optional<admission::Load> load;
  /// The work failed at the backend server or was refused by it.
  bool server_failed = false;
};

/// Records a response. Only the latency of work that ran is used, because the
/// low latency of refusals would attract more calls to an overloaded endpoint.
void OnResponse(Pool& pool,
                const NodeId& node,
                const ResponseInfo& response,
                SteadyTime now);

/// Records a call without a response: `kConnectFailed`, `kConnectionLost` or
/// `kTimeout`. `kCancelled` ends the call without counting as a failure.
void OnFailure(Pool& pool, const NodeId& node, Reason reason, SteadyTime now);

/// Records that the endpoint of `node` takes calls, so that an earlier refusal
/// because it was leaving does not exclude it any longer.
void OnReady(Pool& pool, const NodeId& node);

/// Retry tokens of a peer, or null if the node is unknown.
RetryTokens* FindRetryTokens(Pool& pool, const NodeId& node);

/// Quantile of the latency of short work, rounded up to the edge of its
/// histogram bucket. Nothing before 20 responses.
std::optional<std::chrono::nanoseconds> LatencyQuantile(const Pool& pool,
                                                        double quantile);

/// Delay between the dispatch of a call and a hedge, which is a second attempt
/// sent while the first has no response: the p95 of the observed latency.
/// Nothing for work that must not be hedged, without retry budget, or when a
/// hedge could not finish in time. The caller takes the retry with `SpendRetry`
/// when it sends the hedge.
std::optional<std::chrono::nanoseconds> HedgeDelay(
    const Pool& pool,
    WorkLength length,
    bool idempotent,
    std::chrono::nanoseconds time_left,
    const RetryBudget& budget);

}  // namespace cassiakeel::routing
