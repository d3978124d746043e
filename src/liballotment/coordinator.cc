#include "cassiakeel/allotment/coordinator.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "cassiakeel/base/hash.h"

namespace cassiakeel::allotment {
namespace {

using Account = Coordinator::Account;
using NodeRecord = Coordinator::NodeRecord;

// Sums of `kMaxDemandPerS` over `kMaxNodes` nodes stay within 64 bits.
constexpr double kDemandUnits = 1e6;
constexpr double kFractionUnits = 1e12;
// One request in the time constant of the demand. Without it, nodes whose
// clients send less than one request per second lose their share between two
// requests.
constexpr double kWeightFloorPerS = 0.5;
// Requests beyond its demand that a node may hold: four standard deviations of
// random arrivals and a few for the error of the estimate. What is left over is
// free for nodes whose demand rises and for restarted ones.
constexpr double kHeadroomDeviations = 4;
constexpr double kHeadroomRequests = 3;
// Absorbs errors of rounding to whole requests.
constexpr double kRounding = 1e-3;
// Nodes move to another coordinator after two failed exchanges, so a shorter
// pause leaves no report of a node that has moved.
constexpr int kIntervalsOfPause = 2;
// Longer than a report takes to another coordinator, so that the other one has
// expired its record of a node before this one counts the node.
constexpr std::chrono::milliseconds kDeliveryTime{500};
// Expired nodes are removed with this delay, which is short against the
// validity of a grant.
constexpr std::chrono::milliseconds kExpiryInterval{100};

std::int64_t ToUnits(double value, double units) {
  return std::llround(value * units);
}

bool IsUnused(const Account& account) {
  return account.demand == 0 && account.held == 0 && account.past == 0;
}

/// Adds the account to the sum, or removes it for `sign` = -1.
void AddAccount(Account& sum, const Account& account, int sign) {
  sum.demand += sign * account.demand;
  sum.weight += sign * account.weight;
  sum.held += sign * account.held;
  sum.past += sign * account.past;
}

void AddRecord(Coordinator& coordinator, const NodeRecord& record, int sign) {
  for (const auto& [name, account] : record.accounts) {
    AddAccount(coordinator.sums[name], account, sign);
  }
  if (record.counted) {
    sign > 0 ? ++coordinator.counted : --coordinator.counted;
  }
}

/// Takes what the node may hold as used in the last window.
void MoveToPast(NodeRecord& record, const Bounds& bounds, SteadyTime now) {
  for (auto& [name, account] : record.accounts) {
    account.past += account.held;
    account.held = 0;
    account.granted = 0;
    account.demand = 0;
    account.weight = 0;
  }
  record.past_until = now + bounds.window;
  record.granted = 0;
  record.counted = false;
}

/// Forgets the past and accounts without content.
void Tidy(NodeRecord& record, SteadyTime now) {
  std::erase_if(record.accounts, [&](auto& entry) {
    return IsUnused(entry.second) ||
           (now >= record.past_until && entry.second.demand == 0 &&
            entry.second.held == 0);
  });
  if (now >= record.past_until) {
    for (auto& [name, account] : record.accounts) {
      account.past = 0;
    }
  }
}

void ExpireNodes(Coordinator& coordinator,
                 const Bounds& bounds,
                 std::chrono::milliseconds validity,
                 SteadyTime now) {
  if (now < coordinator.next_expiry) {
    return;
  }
  coordinator.next_expiry = now + kExpiryInterval;
  for (auto node = coordinator.nodes.begin();
       node != coordinator.nodes.end();) {
    NodeRecord& record = node->second;
    AddRecord(coordinator, record, -1);
    const bool expired = now - record.reported > validity;
    if (expired && record.counted) {
      MoveToPast(record, bounds, now);
    }
    Tidy(record, now);
    AddRecord(coordinator, record, 1);
    node = expired && record.accounts.empty() ? coordinator.nodes.erase(node)
                                              : std::next(node);
  }
  std::erase_if(coordinator.sums,
                [](const auto& sum) { return IsUnused(sum.second); });
}

/// Starts anew after a time without any report: if this process was paused, the
/// next reports may be old ones, of nodes that others count by now.
void NoticePause(Coordinator& coordinator,
                 const Bounds& bounds,
                 std::chrono::milliseconds interval,
                 std::chrono::milliseconds validity,
                 SteadyTime now) {
  if (now - coordinator.last_report > kIntervalsOfPause * interval) {
    for (auto& [node, record] : coordinator.nodes) {
      AddRecord(coordinator, record, -1);
      MoveToPast(record, bounds, now);
      // The node uses its grant until it expires.
      record.past_until += validity;
      AddRecord(coordinator, record, 1);
    }
    coordinator.started = now;
  }
  coordinator.last_report = now;
}

/// Drops what the node holds no longer, as far as its report tells.
void ConfirmGrant(NodeRecord& record, std::uint64_t held) {
  const bool confirmed = held != 0 && held == record.granted;
  for (auto& [name, account] : record.accounts) {
    if (confirmed || held == 0) {
      account.held = confirmed ? account.granted : 0;
    }
    account.demand = 0;
    account.weight = 0;
  }
}

void SetDemand(NodeRecord& record,
               const Limits& limits,
               const Bounds& bounds,
               std::size_t nodes,
               const DemandReport& report) {
  for (const auto& [name, demand] : report.demand) {
    const auto limit = limits.find(name);
    // The comparison is also false for NaN.
    if (limit == limits.end() || !HasLimit(limit->second) ||
        !(demand.per_s > 0)) {
      continue;
    }
    const double bounded = std::min(demand.per_s, kMaxDemandPerS);
    const double used =
        std::min(1.0, demand.used / QuotaOf(limit->second, bounds));
    Account& account = record.accounts[name];
    account.demand = ToUnits(bounded, kDemandUnits);
    account.weight =
        ToUnits(std::sqrt(bounded + kWeightFloorPerS), kDemandUnits);
    account.held = std::max(
        account.held,
        ToUnits(used - EqualPart(kIdleFraction, nodes), kFractionUnits));
  }
}

/// Shares a pool among the nodes with demand. A node gets its demand of a
/// window and a part of the rest in proportion to its weight, the square root
/// of demand, which is the deviation of random arrivals, or a part in
/// proportion to its demand if the pool does not suffice. All as fractions of
/// the quota.
double Target(const Account& node,
              const Account& sum,
              double pool,
              double window_per_quota,
              double quota) {
  const double weight =
      static_cast<double>(node.weight) /
      static_cast<double>(std::max<std::int64_t>(1, sum.weight));
  const double demand = static_cast<double>(node.demand) / kDemandUnits;
  const double total = static_cast<double>(sum.demand) / kDemandUnits;
  const double rest = pool - total * window_per_quota;
  if (rest <= 0) {
    return pool * demand / std::max(total, demand);
  }
  const double requests = demand * window_per_quota * quota;
  const double headroom =
      kHeadroomRequests + kHeadroomDeviations * std::sqrt(requests);
  return (requests + std::min(rest * quota * weight, headroom)) / quota;
}

/// Part of the quota that a tenant may use with this demand over its rate. The
/// quota is higher than the rate; a tenant that stays above its rate is reduced
/// to the rate.
double UsablePart(double use, double rate_part) {
  return std::max(rate_part, std::min(1.0, 2 - use));
}

/// Sets the node's share of one tenant. It grows only by what is free beyond
/// the other nodes' holdings, and is not set below what the node holds because
/// others are late in giving back.
Share GrantTenant(Account& account,
                  Account& sum,
                  const Limit& limit,
                  const Bounds& bounds,
                  const Coordinator& coordinator,
                  std::size_t nodes,
                  bool may_grow,
                  double rounding) {
  const double quota = QuotaOf(limit, bounds);
  const double window_s = std::chrono::duration<double>(bounds.window).count();
  const double idle = EqualPart(kIdleFraction, nodes);
  const double use =
      static_cast<double>(sum.demand) / kDemandUnits / limit.rate_per_s;
  const double pool =
      PoolFraction(coordinator.counted, nodes) -
      idle * static_cast<double>(std::min(coordinator.counted, nodes)) -
      static_cast<double>(sum.past) / kFractionUnits;
  const double target = Target(
      account, sum,
      std::max(0.0,
               pool * UsablePart(use, limit.rate_per_s * window_s / quota)),
      window_s / quota, quota);
  const double own = static_cast<double>(account.held) / kFractionUnits;
  const double others =
      static_cast<double>(sum.held - account.held) / kFractionUnits;
  // Nodes that are not counted may have used more than their part under the
  // grants of another coordinator.
  const double most =
      may_grow ? 1 : std::max(own, EqualPart(kFallbackFraction, nodes) - idle);
  const double limited =
      std::min({target + rounding / quota, std::max(own, pool - others), most});
  const double whole =
      std::floor((idle + std::max(0.0, limited)) * quota + kRounding) / quota;
  const double fraction = std::clamp(whole, idle, 1.0);
  account.granted = ToUnits(fraction - idle, kFractionUnits);
  AddAccount(sum, account, -1);
  account.held = std::max(account.held, account.granted);
  AddAccount(sum, account, 1);
  return {fraction, std::min(use, kMaxUse)};
}

/// A node that was counted stays so while its record lasts: no other
/// coordinator may count it within that time. Others must have been away from
/// other coordinators for the validity of their grants.
void Count(Coordinator& coordinator,
           NodeRecord& record,
           const Bounds& bounds,
           std::chrono::milliseconds validity,
           std::chrono::milliseconds attached,
           SteadyTime now) {
  const auto wait = validity + kDeliveryTime;
  const bool warm = now - coordinator.started >= wait;
  if (!record.counted && warm && attached >= wait) {
    record.counted = true;
    record.may_grow = now + bounds.window;
  }
}

/// The record of the reporting node, taken out of the sums and prepared for the
/// new report.
NodeRecord& OpenRecord(Coordinator& coordinator,
                       const Bounds& bounds,
                       std::chrono::milliseconds validity,
                       const DemandReport& report,
                       SteadyTime now) {
  NodeRecord& record = coordinator.nodes[report.node];
  AddRecord(coordinator, record, -1);
  const bool expired = now - record.reported > validity;
  const bool restarted = report.sequence <= record.sequence;
  if (restarted) {
    const bool counted = record.counted && !expired;
    MoveToPast(record, bounds, now);
    record.counted = counted;
  } else if (expired && record.counted) {
    MoveToPast(record, bounds, now);
  }
  record.reported = now;
  record.sequence = report.sequence;
  Tidy(record, now);
  ConfirmGrant(record, report.held);
  return record;
}

}  // namespace

ShareGrant Exchange(Coordinator& coordinator,
                    const Limits& limits,
                    const Bounds& bounds,
                    std::size_t nodes,
                    const DemandReport& report,
                    SteadyTime now) {
  const auto validity = GrantValidity(nodes);
  NoticePause(coordinator, bounds, ExchangeInterval(nodes), validity, now);
  ExpireNodes(coordinator, bounds, validity, now);
  ShareGrant grant;
  grant.sequence = report.sequence;
  if (coordinator.nodes.size() >= kMaxNodes &&
      !coordinator.nodes.contains(report.node)) {
    return grant;
  }
  NodeRecord& record = OpenRecord(coordinator, bounds, validity, report, now);
  Count(coordinator, record, bounds, validity, report.attached, now);
  if (record.counted) {
    SetDemand(record, limits, bounds, nodes, report);
  }
  AddRecord(coordinator, record, 1);
  if (!record.counted) {
    return grant;
  }
  grant.counted = true;
  record.granted = report.sequence;
  for (auto& [name, account] : record.accounts) {
    account.granted = 0;
    if (account.demand > 0) {
      const double rounding =
          StableUnit(report.node.Value() + "/" + name.Value());
      grant.shares.emplace(
          name,
          GrantTenant(account, coordinator.sums[name], limits.at(name), bounds,
                      coordinator, nodes, now >= record.may_grow, rounding));
    }
  }
  return grant;
}

std::vector<NodeId> RankCoordinators(const std::vector<NodeId>& nodes) {
  std::vector<NodeId> ranked = nodes;
  std::ranges::sort(ranked, {}, [](const NodeId& node) {
    return std::tuple(StableHash("allotment/" + node.Value()), node.Value());
  });
  return ranked;
}

}  // namespace cassiakeel::allotment
