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
// Expired nodes are removed with this delay, which is short against the
// validity of a grant.
constexpr std::chrono::milliseconds kExpiryInterval{100};

std::int64_t ToUnits(double value, double units) {
  return std::llround(value * units);
}

bool IsUnused(const Account& account) {
  return account.demand == 0 && account.rate == 0 && account.depth == 0;
}

/// Adds the account to the sum, or removes it for `sign` = -1.
void AddAccount(Account& sum, const Account& account, int sign) {
  sum.demand += sign * account.demand;
  sum.weight += sign * account.weight;
  sum.rate += sign * account.rate;
  sum.depth += sign * account.depth;
}

void RemoveFromSums(Coordinator& coordinator, NodeRecord& record) {
  if (!record.counted) {
    return;
  }
  for (const auto& [name, account] : record.accounts) {
    AddAccount(coordinator.sums[name], account, -1);
  }
  record.counted = false;
  --coordinator.counted;
}

void AddToSums(Coordinator& coordinator, NodeRecord& record) {
  for (const auto& [name, account] : record.accounts) {
    AddAccount(coordinator.sums[name], account, 1);
  }
  record.counted = true;
  ++coordinator.counted;
}

void ExpireNodes(Coordinator& coordinator,
                 std::chrono::milliseconds validity,
                 SteadyTime now) {
  if (now < coordinator.next_expiry) {
    return;
  }
  coordinator.next_expiry = now + kExpiryInterval;
  for (auto node = coordinator.nodes.begin();
       node != coordinator.nodes.end();) {
    if (now - node->second.reported > validity) {
      RemoveFromSums(coordinator, node->second);
      node = coordinator.nodes.erase(node);
    } else {
      ++node;
    }
  }
  std::erase_if(coordinator.sums,
                [](const auto& sum) { return IsUnused(sum.second); });
  if (coordinator.nodes.empty()) {
    coordinator.started = now;
  }
}

/// Drops what the node holds no longer, as far as its report tells.
void ConfirmGrant(NodeRecord& record, std::uint64_t held) {
  const bool confirmed = held != 0 && held == record.granted;
  for (auto& [name, account] : record.accounts) {
    if (confirmed || held == 0) {
      account.rate = confirmed ? account.granted_rate : 0;
      account.depth = confirmed ? account.granted_depth : 0;
    }
    account.demand = 0;
    account.weight = 0;
  }
}

void SetDemand(NodeRecord& record,
               const Limits& limits,
               const DemandReport& report) {
  for (const auto& [name, demand] : report.demand_per_s) {
    // Also false for NaN.
    if (!(demand > 0) || !limits.contains(name)) {
      continue;
    }
    const double bounded = std::min(demand, kMaxDemandPerS);
    Account& account = record.accounts[name];
    account.demand = ToUnits(bounded, kDemandUnits);
    account.weight = ToUnits(std::sqrt(bounded), kDemandUnits);
  }
  std::erase_if(record.accounts,
                [](const auto& entry) { return IsUnused(entry.second); });
}

/// Takes what is free beyond the other nodes' holdings, but is not set below
/// what the node holds already: the other nodes may be late in giving back.
std::int64_t Limited(double target,
                     double pool,
                     std::int64_t held,
                     std::int64_t held_by_all) {
  const auto free = ToUnits(pool, kFractionUnits) - (held_by_all - held);
  return std::clamp<std::int64_t>(ToUnits(target, kFractionUnits), 0,
                                  std::max(held, free));
}

/// Shares a pool, as a fraction of the rate, among the nodes with demand. A
/// node gets its demand and a part of the rest in proportion to the square
/// root, or a part in proportion to its demand if the pool does not suffice.
Share Target(const Account& node,
             const Account& sum,
             double pool,
             double rate_per_s) {
  const double weight =
      static_cast<double>(node.weight) /
      static_cast<double>(std::max<std::int64_t>(1, sum.weight));
  const double demand = static_cast<double>(node.demand) / kDemandUnits;
  const double total = static_cast<double>(sum.demand) / kDemandUnits;
  const double use = total / rate_per_s;
  const double rate = use < pool ? demand / rate_per_s + (pool - use) * weight
                                 : pool * demand / std::max(total, demand);
  return {rate, pool * weight, std::min(use, kMaxUse)};
}

Share GrantTenant(Account& account,
                  Account& sum,
                  std::size_t counted,
                  std::size_t nodes,
                  double rate_per_s) {
  const auto all = static_cast<double>(std::max<std::size_t>(1, nodes));
  const double idle = kIdleFraction / all;
  const double pool =
      std::max(0.0, PoolFraction(counted, nodes) -
                        idle * static_cast<double>(std::min(counted, nodes)));
  Share share = Target(account, sum, pool, rate_per_s);
  account.granted_rate =
      Limited(share.rate_fraction, pool, account.rate, sum.rate);
  account.granted_depth =
      Limited(share.depth_fraction, pool, account.depth, sum.depth);
  AddAccount(sum, account, -1);
  account.rate = std::max(account.rate, account.granted_rate);
  account.depth = std::max(account.depth, account.granted_depth);
  AddAccount(sum, account, 1);
  share.rate_fraction =
      idle + static_cast<double>(account.granted_rate) / kFractionUnits;
  share.depth_fraction =
      idle + static_cast<double>(account.granted_depth) / kFractionUnits;
  return share;
}

/// A node that was counted stays so while its record lasts. Otherwise no other
/// coordinator may count it. A coordinator that counts a minority waits until
/// the node's old grant has expired.
bool MayGrant(const Coordinator& coordinator,
              const NodeRecord& record,
              std::size_t nodes,
              std::chrono::milliseconds attached,
              SteadyTime now) {
  if (now - coordinator.started < SettleTime(nodes) || !record.counted) {
    return false;
  }
  return record.granted != 0 || attached >= GrantValidity(nodes) ||
         2 * coordinator.counted > nodes;
}

}  // namespace

ShareGrant Exchange(Coordinator& coordinator,
                    const Limits& limits,
                    std::size_t nodes,
                    const DemandReport& report,
                    SteadyTime now) {
  const auto validity = GrantValidity(nodes);
  ExpireNodes(coordinator, validity, now);
  ShareGrant grant;
  grant.sequence = report.sequence;
  const auto known = coordinator.nodes.find(report.node);
  if (known == coordinator.nodes.end() &&
      coordinator.nodes.size() >= kMaxNodes) {
    return grant;
  }
  NodeRecord& record = coordinator.nodes[report.node];
  RemoveFromSums(coordinator, record);
  if (now - record.reported > validity) {
    record = NodeRecord();
  }
  record.reported = now;
  ConfirmGrant(record, report.held);
  SetDemand(record, limits, report);
  if (record.granted != 0 || report.attached >= SettleTime(nodes)) {
    AddToSums(coordinator, record);
  }
  if (!MayGrant(coordinator, record, nodes, report.attached, now)) {
    return grant;
  }
  grant.counted = true;
  record.granted = report.sequence;
  for (auto& [name, account] : record.accounts) {
    account.granted_rate = 0;
    account.granted_depth = 0;
    const auto limit = limits.find(name);
    if (account.demand > 0 && limit != limits.end() &&
        HasLimit(limit->second)) {
      grant.shares.emplace(name, GrantTenant(account, coordinator.sums[name],
                                             coordinator.counted, nodes,
                                             limit->second.rate_per_s));
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
