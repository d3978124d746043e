#pragma once

#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>

#include "cassiakeel/base/strong.h"

namespace cassiakeel::allotment {

/// Allotment of a tenant over all nodes together.
struct Limit {
  /// Requests per second; 0 means no limit.
  double rate_per_s = 0;
  /// Requests that may come at once after a time without any.
  double burst = 0;
};

inline bool HasLimit(const Limit& limit) {
  return limit.rate_per_s > 0 && std::isfinite(limit.rate_per_s);
}

/// Precision that is required of the sum over all nodes: in any window, at most
/// (rate x window + burst) x (1 + excess) + slack requests are admitted.
struct Bounds {
  std::chrono::milliseconds window{5000};
  double excess = 0.1;
  /// In requests.
  double slack = 20;
};

using Limits = std::map<TenantName, Limit>;

/// Limits on messages and state, so that no peer can exhaust memory.
inline constexpr std::size_t kMaxNameBytes = 200;
inline constexpr std::size_t kMaxTenants = 1000;
inline constexpr std::size_t kMaxNodes = 2000;
inline constexpr double kMaxDemandPerS = 1e9;
inline constexpr double kMaxUse = 1e9;
inline constexpr double kMaxUsed = 1e9;

/// Requests of one tenant that begin at a node.
struct Demand {
  /// Requests per second, admitted and refused.
  double per_s = 0;
  /// Requests admitted in the last window.
  std::uint32_t used = 0;
};

/// What a node tells the coordinator.
struct DemandReport {
  NodeId node;
  /// Tenants with negligible demand are absent.
  std::map<TenantName, Demand> demand;
  /// Number of the report, from 1 in each process.
  std::uint64_t sequence = 0;
  /// Number of the report that brought the grant in use; 0 if the node holds
  /// none of this coordinator.
  std::uint64_t held = 0;
  /// Time since the node last reported to another coordinator, or since its
  /// first report.
  std::chrono::milliseconds attached{0};
};

/// Part of an allotment that a node enforces.
struct Share {
  /// Part of the requests of a window (`QuotaOf`), in [0, 1].
  double fraction = 0;
  /// Demand on all nodes over the rate.
  double use = 0;
};

/// The coordinator's answer to a report.
struct ShareGrant {
  /// Tenants that are absent have the idle share (rule.h).
  std::map<TenantName, Share> shares;
  /// Number of the report that is answered.
  std::uint64_t sequence = 0;
  /// False if the coordinator does not allocate to the node yet, because other
  /// coordinators may still count it. The node keeps the grant that it has.
  bool counted = false;
};

}  // namespace cassiakeel::allotment
