#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "cassiakeel/allotment/limit.h"
#include "cassiakeel/base/clock.h"
#include "cassiakeel/base/random.h"

namespace cassiakeel::allotment {

/// Token bucket of one tenant at one node.
struct Bucket {
  Limit limit;
  Share share;
  /// Refill in tokens per second and capacity in tokens, from limit and share.
  double rate_per_s = 0;
  double depth = 0;
  /// Tokens at `updated`. For a depth below 1, a phase instead; see `Refill`.
  double level = 0;
  /// Random level below 1 at which the bucket started.
  double phase = 0;
  SteadyTime updated;
  /// Exponentially weighted arrivals per second at `demand_at`.
  double demand_per_s = 0;
  SteadyTime demand_at;
  /// Time of the last token that was promised by a `retry_after`.
  SteadyTime promised;
};

/// The part of the allotments that this node enforces. Not thread-safe.
struct NodeShares {
  struct HeldGrant {
    NodeId coordinator;
    std::uint64_t sequence = 0;
    SteadyTime valid_until;
  };

  std::map<TenantName, Bucket> buckets;
  Bounds bounds;
  /// Nodes in the directory.
  std::size_t nodes = 1;
  std::optional<HeldGrant> held;
  /// The last report.
  NodeId coordinator;
  std::uint64_t sequence = 0;
  SteadyTime reported;
  /// Time of the last report to another coordinator; none if there was none.
  std::optional<SteadyTime> left_other;
};

/// Takes over the limits of a new policy. Tenants that remain keep their level,
/// demand and share; buckets of new tenants start at a random level below 1.
void SetLimits(NodeShares& shares,
               const Limits& limits,
               const Bounds& bounds,
               std::size_t nodes,
               SteadyTime now,
               Rng& rng);

struct Admission {
  bool admitted = true;
  /// For a refused request, the time until the bucket has a token for it, after
  /// the tokens promised to earlier ones; 20 ms to 2 s.
  std::chrono::milliseconds retry_after{0};
};

/// Decides on one request and counts it as demand. Tenants that the limits do
/// not name or that have no limit are admitted.
Admission Admit(NodeShares& shares, const TenantName& tenant, SteadyTime now);

/// The next report, to `coordinator`. Each attempt needs its own report, also
/// if the one before received no answer.
DemandReport MakeReport(NodeShares& shares,
                        const NodeId& self,
                        const NodeId& coordinator,
                        SteadyTime now);

/// Takes over the answer to the last report, which was sent at `report_sent`.
/// Answers to earlier reports and late answers are ignored.
void ApplyGrant(NodeShares& shares,
                const ShareGrant& grant,
                SteadyTime report_sent,
                SteadyTime now);

/// Demand of the tenant over its rate on all nodes, as of the grant in use; 0
/// if unknown.
double UseOf(const NodeShares& shares,
             const TenantName& tenant,
             SteadyTime now);

}  // namespace cassiakeel::allotment
