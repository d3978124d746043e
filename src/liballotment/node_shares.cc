#include "cassiakeel/allotment/node_shares.h"

#include <algorithm>
#include <cmath>

#include "cassiakeel/allotment/rule.h"

namespace cassiakeel::allotment {
namespace {

using std::chrono::milliseconds;

constexpr double kDemandTimeConstantS = 2;
// Limits the estimate from the first arrivals of a new tenant.
constexpr double kMinDemandAgeS = 0.5;
// Granted shares are whole requests; this absorbs errors of rounding.
constexpr double kGrantRounding = 0.01;
// Less than one request in the last 8 s.
constexpr double kNegligibleDemandPerS = 0.01;
// Shorter waits would only repeat the exchange of a refused request.
constexpr milliseconds kMinRetryAfter{20};
// Shares change within seconds, so a later time could not be kept.
constexpr milliseconds kMaxRetryAfter{2000};
// Longer than any time that a coordinator asks for; bounds the message.
constexpr milliseconds kMaxAttached{std::chrono::hours(1)};
// Time in which a coordinator notices that a node is away and the other nodes
// confirm smaller shares.
constexpr milliseconds kTimeToRelease{2000};

double SecondsBetween(SteadyTime from, SteadyTime to) {
  return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

using Window = WindowCount;

SteadyTime::duration SlotLength(const Bounds& bounds) {
  // Rounded up, so that the slots cover the window.
  return SteadyTime::duration(bounds.window) /
             static_cast<std::int64_t>(Window::kSlots - 1) +
         SteadyTime::duration(1);
}

std::uint32_t& SlotAt(Window& window, std::int64_t number) {
  return window.slots[static_cast<std::size_t>(number) % Window::kSlots];
}

/// Forgets the slots that have left the window.
void Advance(Window& window, const Bounds& bounds, SteadyTime now) {
  const auto target = now.time_since_epoch() / SlotLength(bounds);
  if (target - window.current >= static_cast<std::int64_t>(Window::kSlots)) {
    window = Window();
    window.current = target;
  }
  while (window.current < target) {
    auto& slot = SlotAt(window, ++window.current);
    window.total -= slot;
    slot = 0;
  }
}

/// Time until `count` of the requests in the window have left it.
SteadyTime::duration TimeToLeave(Window& window,
                                 const Bounds& bounds,
                                 std::uint32_t count,
                                 SteadyTime now) {
  constexpr std::int64_t kSlots = Window::kSlots;
  std::int64_t oldest = window.current + 1 - kSlots;
  std::uint32_t left = SlotAt(window, oldest + kSlots);
  while (left < count && oldest < window.current) {
    ++oldest;
    left += SlotAt(window, oldest + kSlots);
  }
  return (oldest + kSlots) * SlotLength(bounds) - now.time_since_epoch();
}

/// Requests per window of a share. A share that a coordinator gave is whole;
/// one that all nodes have is rounded at random, less three standard deviations
/// of the fleet's sum.
std::uint32_t ToRequests(const TenantWindow& tenant, const NodeShares& shares) {
  const double exact =
      tenant.share.fraction * QuotaOf(tenant.limit, shares.bounds);
  const double rest = exact - std::floor(exact);
  const auto nodes =
      static_cast<double>(std::max<std::size_t>(1, shares.nodes));
  const double rounding =
      tenant.is_whole ? kGrantRounding
                      : tenant.phase - 3 * std::sqrt(rest * (1 - rest) / nodes);
  return static_cast<std::uint32_t>(
      std::clamp(exact + rounding, 0.0, kMaxUsed));
}

/// Sets a share that the coordinator has rounded to whole requests.
void SetWholeShare(TenantWindow& tenant,
                   const Share& share,
                   const NodeShares& shares) {
  tenant.share = share;
  tenant.is_whole = true;
  tenant.allowed = ToRequests(tenant, shares);
}

/// Sets a share that all nodes have.
void SetEqualShare(TenantWindow& tenant,
                   double fraction_of_all,
                   const NodeShares& shares) {
  tenant.share = {EqualPart(fraction_of_all, shares.nodes), 0};
  tenant.is_whole = false;
  tenant.allowed = ToRequests(tenant, shares);
}

/// When the grant has expired, reduces shares above the fallback at once and
/// raises the others later.
void ExpireGrant(NodeShares& shares, SteadyTime now) {
  if (shares.held && now >= shares.held->valid_until) {
    const double fallback = EqualPart(kFallbackFraction, shares.nodes);
    for (auto& [name, tenant] : shares.tenants) {
      SetWholeShare(tenant, {std::min(tenant.share.fraction, fallback), 0},
                    shares);
    }
    shares.fallback_at =
        shares.held->valid_until + shares.bounds.window + kTimeToRelease;
    shares.held.reset();
  }
  if (shares.fallback_at && now >= *shares.fallback_at) {
    for (auto& [name, tenant] : shares.tenants) {
      SetEqualShare(tenant, kFallbackFraction, shares);
    }
    shares.fallback_at.reset();
  }
}

double DemandAt(const TenantWindow& tenant, SteadyTime now) {
  return tenant.demand_per_s * std::exp(-SecondsBetween(tenant.demand_at, now) /
                                        kDemandTimeConstantS);
}

/// The demand, corrected for the time before the first arrivals were counted.
double EstimateDemand(const TenantWindow& tenant, SteadyTime now) {
  const double age_s =
      std::max(kMinDemandAgeS, SecondsBetween(tenant.created, now));
  return DemandAt(tenant, now) / (1 - std::exp(-age_s / kDemandTimeConstantS));
}

void CountArrival(TenantWindow& tenant, SteadyTime now) {
  tenant.demand_per_s = DemandAt(tenant, now) + 1 / kDemandTimeConstantS;
  tenant.demand_at = std::max(tenant.demand_at, now);
}

/// Promises the next place that has not been promised yet. Places become free
/// at the mean rate of the window.
milliseconds PromisePlace(TenantWindow& tenant,
                          const Bounds& bounds,
                          SteadyTime now) {
  if (tenant.allowed == 0) {
    return kMaxRetryAfter;
  }
  const auto first =
      now + TimeToLeave(tenant.admitted, bounds,
                        tenant.admitted.total + 1 - tenant.allowed, now);
  const auto next =
      tenant.promised + SteadyTime::duration(bounds.window) / tenant.allowed;
  tenant.promised = std::min(std::max(first, next),
                             now + SteadyTime::duration(kMaxRetryAfter));
  return std::clamp(std::chrono::ceil<milliseconds>(tenant.promised - now),
                    kMinRetryAfter, kMaxRetryAfter);
}

/// Sets the window as if `allowed` requests had been admitted evenly.
void UseUp(TenantWindow& tenant, const Bounds& bounds, SteadyTime now) {
  Advance(tenant.admitted, bounds, now);
  for (std::uint32_t i = 0; i < tenant.allowed; ++i) {
    const double place = (i + tenant.phase) / tenant.allowed * Window::kSlots;
    ++tenant.admitted.slots[static_cast<std::size_t>(place)];
  }
  tenant.admitted.total = tenant.allowed;
}

TenantWindow NewTenant(const Limit& limit, SteadyTime now, Rng& rng) {
  TenantWindow tenant;
  tenant.limit = limit;
  tenant.phase = UniformUnit(rng);
  tenant.created = now;
  tenant.demand_at = now;
  tenant.promised = now;
  return tenant;
}

}  // namespace

void SetLimits(NodeShares& shares,
               const Limits& limits,
               const Bounds& bounds,
               std::size_t nodes,
               SteadyTime now,
               Rng& rng) {
  ExpireGrant(shares, now);
  if (shares.sequence == 0 && shares.tenants.empty()) {
    shares.fallback_at = now + bounds.window;
  }
  shares.bounds = bounds;
  shares.nodes = nodes;
  const double initial = shares.held ? kIdleFraction : kFreshFraction;
  std::map<TenantName, TenantWindow> tenants;
  for (const auto& [name, limit] : limits) {
    if (!HasLimit(limit)) {
      continue;
    }
    const auto old = shares.tenants.find(name);
    if (old == shares.tenants.end()) {
      TenantWindow tenant = NewTenant(limit, now, rng);
      SetEqualShare(tenant, initial, shares);
      UseUp(tenant, bounds, now);
      tenants.emplace(name, tenant);
      continue;
    }
    TenantWindow tenant = old->second;
    tenant.limit = limit;
    tenant.allowed = ToRequests(tenant, shares);
    tenants.emplace(name, tenant);
  }
  shares.tenants = std::move(tenants);
}

Admission Admit(NodeShares& shares, const TenantName& name, SteadyTime now) {
  ExpireGrant(shares, now);
  const auto found = shares.tenants.find(name);
  if (found == shares.tenants.end()) {
    return {};
  }
  TenantWindow& tenant = found->second;
  CountArrival(tenant, now);
  Advance(tenant.admitted, shares.bounds, now);
  if (tenant.admitted.total >= tenant.allowed) {
    return {false, PromisePlace(tenant, shares.bounds, now)};
  }
  ++SlotAt(tenant.admitted, tenant.admitted.current);
  ++tenant.admitted.total;
  return {};
}

DemandReport MakeReport(NodeShares& shares,
                        const NodeId& self,
                        const NodeId& coordinator,
                        SteadyTime now) {
  ExpireGrant(shares, now);
  if (coordinator != shares.coordinator) {
    // An earlier process of this node may have reported until now.
    shares.left_other = shares.sequence > 0 ? shares.reported : now;
  }
  shares.coordinator = coordinator;
  shares.reported = now;
  ++shares.sequence;

  DemandReport report;
  report.node = self;
  report.sequence = shares.sequence;
  report.attached =
      std::clamp(std::chrono::floor<milliseconds>(now - shares.left_other),
                 milliseconds(0), kMaxAttached);
  if (shares.held && shares.held->coordinator == coordinator) {
    report.held = shares.held->sequence;
  }
  for (auto& [name, tenant] : shares.tenants) {
    Advance(tenant.admitted, shares.bounds, now);
    const double demand = EstimateDemand(tenant, now);
    if (demand >= kNegligibleDemandPerS && report.demand.size() < kMaxTenants) {
      report.demand[name] = {demand, tenant.admitted.total};
    }
  }
  return report;
}

void ApplyGrant(NodeShares& shares,
                const ShareGrant& grant,
                SteadyTime report_sent,
                SteadyTime now) {
  ExpireGrant(shares, now);
  const auto valid_until = report_sent + GrantValidity(shares.nodes);
  if (!grant.counted || grant.sequence != shares.sequence ||
      now >= valid_until) {
    return;
  }
  for (auto& [name, tenant] : shares.tenants) {
    const auto share = grant.shares.find(name);
    if (share == grant.shares.end()) {
      SetEqualShare(tenant, kIdleFraction, shares);
    } else {
      SetWholeShare(tenant, share->second, shares);
    }
  }
  shares.fallback_at.reset();
  shares.held = {shares.coordinator, grant.sequence, valid_until};
}

double UseOf(const NodeShares& shares,
             const TenantName& tenant,
             SteadyTime now) {
  const auto found = shares.tenants.find(tenant);
  if (found == shares.tenants.end() || !shares.held ||
      now >= shares.held->valid_until) {
    return 0;
  }
  return found->second.share.use;
}

}  // namespace cassiakeel::allotment
