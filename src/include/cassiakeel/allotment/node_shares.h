#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "cassiakeel/allotment/limit.h"
#include "cassiakeel/base/clock.h"
#include "cassiakeel/base/random.h"

namespace cassiakeel::allotment {

/// Counts the requests admitted in the last window, in slots of
/// window / (kSlots - 1), so that the current slot and all others together
/// cover at least a window.
struct WindowCount {
  static constexpr std::size_t kSlots = 64;
  std::array<std::uint32_t, kSlots> slots{};
  std::uint32_t total = 0;
  /// Number of the current slot since the clock's epoch.
  std::int64_t current = 0;
};

/// State of one tenant at one node.
struct TenantWindow {
  Limit limit;
  Share share;
  /// Whether the share is whole requests, as a coordinator gave it.
  bool is_whole = false;
  /// Requests that this node may admit per window.
  std::uint32_t allowed = 0;
  WindowCount admitted;
  /// Random in [0, 1); rounds shares of less than one request so that the
  /// fleet's sum is right.
  double phase = 0;
  /// Exponentially weighted arrivals per second at `demand_at`.
  double demand_per_s = 0;
  SteadyTime demand_at;
  SteadyTime created;
  /// Time of the last place that was promised by a `retry_after`.
  SteadyTime promised;
};

/// The part of the allotments that this node enforces. Not thread-safe.
struct NodeShares {
  struct HeldGrant {
    NodeId coordinator;
    std::uint64_t sequence = 0;
    SteadyTime valid_until;
  };

  std::map<TenantName, TenantWindow> tenants;
  Bounds bounds;
  /// Nodes in the directory.
  std::size_t nodes = 1;
  std::optional<HeldGrant> held;
  /// When shares below the fallback are raised to it after a grant has expired:
  /// until then the coordinator may have given the difference to others.
  std::optional<SteadyTime> fallback_at;
  /// The last report.
  NodeId coordinator;
  std::uint64_t sequence = 0;
  SteadyTime reported;
  /// Time of the last report to another coordinator, or of the first report.
  SteadyTime left_other;
};

/// Takes over the limits of a new policy. Tenants that remain keep their
/// counts, demand and share; new ones start as if their share had just been
/// used up evenly, because an earlier process of this node may have used it.
void SetLimits(NodeShares& shares,
               const Limits& limits,
               const Bounds& bounds,
               std::size_t nodes,
               SteadyTime now,
               Rng& rng);

struct Admission {
  bool admitted = true;
  /// For a refused request, the time until the window has a place for it, after
  /// the places promised to earlier ones; 20 ms to 2 s.
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
