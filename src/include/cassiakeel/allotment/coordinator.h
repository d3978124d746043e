#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cassiakeel/allotment/limit.h"
#include "cassiakeel/allotment/rule.h"
#include "cassiakeel/base/clock.h"

namespace cassiakeel::allotment {

/// State of a node that allocates shares to the others. All of it is soft: the
/// last report and the grants of each node. Not thread-safe.
///
/// Sums over nodes are integers, so that adding and removing nodes leaves no
/// rounding errors: demand and its square root in millionths, fractions in
/// units of 1e-12.
struct Coordinator {
  /// What one node reported and may hold of a tenant, or the sum over nodes.
  struct Account {
    std::int64_t demand = 0;
    std::int64_t weight = 0;
    /// Highest fraction beyond the idle share that the node may enforce or may
    /// have admitted in the last window.
    std::int64_t held = 0;
    /// What its earlier processes, and itself with grants that have expired,
    /// may have admitted in the last window.
    std::int64_t past = 0;
    /// Fraction of the last grant.
    std::int64_t granted = 0;
  };
  struct NodeRecord {
    SteadyTime reported;
    /// End of the window of `past`.
    SteadyTime past_until;
    /// Whether the node is counted, so that its demand is part of the sums.
    bool counted = false;
    /// Until then, a share is at most 1 / nodes or what the node has used.
    SteadyTime may_grow;
    std::uint64_t sequence = 0;
    /// Number of the report that was answered with the last grant; 0 if none.
    std::uint64_t granted = 0;
    std::map<TenantName, Account> accounts;
  };

  std::map<NodeId, NodeRecord> nodes;
  std::map<TenantName, Account> sums;
  std::size_t counted = 0;
  /// First report after a time without any.
  SteadyTime started;
  SteadyTime last_report;
  SteadyTime next_expiry;
};

/// Takes in a report and returns the node's shares. `nodes` is the number of
/// nodes in the directory. Reports beyond `kMaxNodes` nodes are not counted.
ShareGrant Exchange(Coordinator& coordinator,
                    const Limits& limits,
                    const Bounds& bounds,
                    std::size_t nodes,
                    const DemandReport& report,
                    SteadyTime now);

/// Rendezvous order of the nodes as coordinators, the same at each node.
std::vector<NodeId> RankCoordinators(const std::vector<NodeId>& nodes);

}  // namespace cassiakeel::allotment
