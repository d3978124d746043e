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

/// Latency of one length of work at one endpoint.
struct LatencyEwma {
  double ns = 0;
  int samples = 0;
  SteadyTime updated;
};

/// What this node observed of one endpoint.
struct EndpointStats {
  /// Calls of this node in flight there.
  int in_flight = 0;
  std::array<LatencyEwma, 2> latency;
  admission::Load load;
  std::optional<SteadyTime> load_at;
  int consecutive_failures = 0;
  /// No calls before this time; then one probe decides.
  std::optional<SteadyTime> ejected_until;
  /// Ejections in a row, which double the time of the next one.
  int ejections = 0;
  std::optional<SteadyTime> probe_sent;
  /// The endpoint said that it leaves; kept until the member list says so too.
  std::optional<SteadyTime> left_at;
  RetryTokens retry_tokens;
  /// Moving share of the answers that were failures of the backend server, as
  /// of `failures_at`. Fades with time, so that a server which is avoided gets
  /// a call now and then and shows that it recovered.
  double failure_share = 0;
  SteadyTime failures_at;
};

/// Answer latencies of a service in logarithmic buckets, with decay.
struct LatencyHistogram {
  /// Eight buckets per doubling from 1 microsecond to over an hour.
  std::array<float, 256> counts{};
  float total = 0;
};

/// Endpoints of one service with their statistics, as one ingress node sees
/// them. Statistics survive a change of the member list.
struct Pool {
  NodeId self;
  /// Round trip to each availability zone, from the settings.
  std::map<ZoneName, std::chrono::nanoseconds> distance;
  /// Round trip to a zone that the settings do not name.
  std::chrono::nanoseconds unknown_distance{std::chrono::milliseconds(10)};
  /// How long an endpoint is left alone after it said that it leaves.
  std::chrono::milliseconds left_time{3000};
  /// Bound on the doubling time of repeated ejections.
  std::chrono::milliseconds longest_ejection{30000};
  std::vector<Endpoint> endpoints;
  std::vector<EndpointStats> stats;
  std::unordered_map<NodeId, std::size_t> index;
  /// Endpoint indexes grouped by distance, nearest first.
  std::vector<std::vector<std::size_t>> tiers;
  std::vector<double> distance_ns;
  /// Left out on suspicion; with the ejected ones at most 30% of the
  /// endpoints.
  std::vector<bool> excluded;
  /// Median over the endpoints of the latency of each length.
  std::array<double, 2> median_ns{};
  int answers_since_median = 0;
  LatencyHistogram short_latency;
};

/// Replaces the endpoints, keeping the statistics of nodes that stay.
void UpdateEndpoints(Pool& pool, std::vector<Endpoint> endpoints);

struct SelectionRequest {
  RequestClass request_class = RequestClass::kInternal;
  WorkLength length = WorkLength::kShort;
  /// Nodes already tried for this request.
  std::span<const NodeId> tried;
};

struct Selection {
  /// Index into `Pool::endpoints`, valid until the next `UpdateEndpoints`.
  std::optional<std::size_t> endpoint;
  /// `kNoEndpoint`, or `kOverload` when all candidates shed the class.
  Reason reason = Reason::kNone;
};

/// Chooses by expected cost between two random candidates of each distance,
/// leaving out leaving, ejected, suspected and tried endpoints. When only
/// ejected or suspected ones are left, one of these is used.
Selection SelectEndpoint(const Pool& pool,
                         const SelectionRequest& request,
                         SteadyTime now,
                         Rng& rng);

/// Notes that a call was sent to `node`. Each dispatch is followed by exactly
/// one `OnAnswer` or `OnFailure`.
void OnDispatch(Pool& pool, const NodeId& node, SteadyTime now);

/// What an answer of a serving node says.
struct Answer {
  Outcome outcome = Outcome::kRan;
  Reason reason = Reason::kNone;
  WorkLength length = WorkLength::kShort;
  std::chrono::nanoseconds latency{0};
  std::optional<admission::Load> load;
  /// The backend server failed the work or refused it.
  bool server_failed = false;
};

/// Notes an answer. Only work that ran counts as latency, because a refusal is
/// fast and would draw more calls to an overloaded endpoint.
void OnAnswer(Pool& pool,
              const NodeId& node,
              const Answer& answer,
              SteadyTime now);

/// Notes a call without an answer: `kConnectFailed`, `kConnectionLost` or
/// `kTimeout`. `kCancelled` only ends the call.
void OnFailure(Pool& pool, const NodeId& node, Reason reason, SteadyTime now);

/// Retry tokens of a peer, or null for an unknown node.
RetryTokens* TokensOf(Pool& pool, const NodeId& node);

/// Latency below which the share `quantile` of the short answers stayed;
/// nothing before 20 answers.
std::optional<std::chrono::nanoseconds> LatencyQuantile(const Pool& pool,
                                                        double quantile);

/// When to send a second attempt of a call that has no answer yet, counted
/// from its dispatch: the p95 of the observed latency. Nothing for work that
/// must not be hedged, or without budget. The caller takes the retry with
/// `SpendRetry` when it sends the hedge.
std::optional<std::chrono::nanoseconds> HedgeAfter(
    const Pool& pool,
    WorkLength length,
    bool idempotent,
    std::chrono::nanoseconds time_left,
    const RetryBudget& budget);

}  // namespace cassiakeel::routing
