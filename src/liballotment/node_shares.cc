#include "cassiakeel/allotment/node_shares.h"

#include <algorithm>
#include <cmath>

#include "cassiakeel/allotment/rule.h"

namespace cassiakeel::allotment {
namespace {

using std::chrono::milliseconds;

constexpr double kDemandTimeConstantS = 2;
// Less than one request in the last 8 s.
constexpr double kNegligibleDemandPerS = 0.01;
// Shorter waits would only repeat the exchange of a refused request.
constexpr milliseconds kMinRetryAfter{20};
// Shares change within seconds, so a later time could not be kept.
constexpr milliseconds kMaxRetryAfter{2000};
// Stands for a node that never reported to another coordinator.
constexpr milliseconds kAlwaysAttached{std::chrono::hours(1)};

double SecondsBetween(SteadyTime from, SteadyTime to) {
  return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

/// Period of a bucket of a depth below 1, in tokens; see `Refill`.
double Period(const Bucket& bucket) {
  return 1 / (1 - bucket.depth);
}

/// Adds the tokens since the last call. A bucket of a depth c below 1 holds a
/// token for a part c of the time: its level rises to 1, stays there (as values
/// above 1) and returns to 0, with a period of 1 / (1 - c) tokens. The random
/// level at the start sets the nodes of a fleet out of phase, so that all
/// together hold their depths' sum.
void Refill(Bucket& bucket, SteadyTime now) {
  bucket.level += bucket.rate_per_s * SecondsBetween(bucket.updated, now);
  bucket.updated = std::max(bucket.updated, now);
  if (bucket.depth >= 1) {
    bucket.level = std::min(bucket.level, bucket.depth);
  } else {
    bucket.level = std::fmod(bucket.level, Period(bucket));
  }
}

/// Sets rate and depth of the bucket. Tokens beyond the new depth are lost.
void SetShare(Bucket& bucket, const Share& share, const Bounds& bounds) {
  const bool held_tokens = bucket.depth >= 1;
  bucket.share = share;
  bucket.rate_per_s = share.rate_fraction * bucket.limit.rate_per_s;
  bucket.depth = share.depth_fraction * TotalDepth(bucket.limit, bounds);
  if (bucket.depth >= 1) {
    bucket.level = std::min(bucket.level, held_tokens ? bucket.depth : 1.0);
  } else if (!held_tokens) {
    bucket.level = std::fmod(bucket.level, Period(bucket));
  } else if (bucket.level >= 1) {
    // Full buckets have equal levels; without this their phases would be equal.
    bucket.level = bucket.phase;
  }
}

Share EqualShare(double fraction, std::size_t nodes) {
  const double part =
      fraction / static_cast<double>(std::max<std::size_t>(1, nodes));
  return {part, part, 0};
}

/// Replaces the grant by the fallback when it has expired.
void ExpireGrant(NodeShares& shares, SteadyTime now) {
  if (!shares.held || now < shares.held->valid_until) {
    return;
  }
  const Share fallback = EqualShare(kFallbackFraction, shares.nodes);
  for (auto& [name, bucket] : shares.buckets) {
    Refill(bucket, shares.held->valid_until);
    SetShare(bucket, fallback, shares.bounds);
  }
  shares.held.reset();
}

double DemandAt(const Bucket& bucket, SteadyTime now) {
  return bucket.demand_per_s * std::exp(-SecondsBetween(bucket.demand_at, now) /
                                        kDemandTimeConstantS);
}

void CountArrival(Bucket& bucket, SteadyTime now) {
  bucket.demand_per_s = DemandAt(bucket, now) + 1 / kDemandTimeConstantS;
  bucket.demand_at = std::max(bucket.demand_at, now);
}

/// Promises the next token that has not been promised yet.
milliseconds PromiseToken(Bucket& bucket, SteadyTime now) {
  if (bucket.rate_per_s <= 0) {
    return kMaxRetryAfter;
  }
  const auto tokens = [&bucket](double count) {
    const double limit_s =
        std::chrono::duration<double>(kMaxRetryAfter).count();
    const double wait_s = std::min(limit_s, count / bucket.rate_per_s);
    return std::chrono::duration_cast<SteadyTime::duration>(
        std::chrono::duration<double>(wait_s));
  };
  const double missing = std::max(0.0, 1 - bucket.level);
  bucket.promised =
      std::min(std::max(now + tokens(missing), bucket.promised + tokens(1)),
               now + SteadyTime::duration(kMaxRetryAfter));
  return std::clamp(std::chrono::ceil<milliseconds>(bucket.promised - now),
                    kMinRetryAfter, kMaxRetryAfter);
}

Bucket NewBucket(SteadyTime now, Rng& rng) {
  Bucket bucket;
  bucket.phase = UniformUnit(rng);
  bucket.level = bucket.phase;
  bucket.updated = now;
  bucket.demand_at = now;
  bucket.promised = now;
  return bucket;
}

}  // namespace

void SetLimits(NodeShares& shares,
               const Limits& limits,
               const Bounds& bounds,
               std::size_t nodes,
               SteadyTime now,
               Rng& rng) {
  ExpireGrant(shares, now);
  shares.bounds = bounds;
  shares.nodes = nodes;
  const Share initial =
      EqualShare(shares.held ? kIdleFraction : kFallbackFraction, shares.nodes);
  std::map<TenantName, Bucket> buckets;
  for (const auto& [name, limit] : limits) {
    if (!HasLimit(limit)) {
      continue;
    }
    const auto old = shares.buckets.find(name);
    const bool known = old != shares.buckets.end();
    Bucket bucket = known ? old->second : NewBucket(now, rng);
    Refill(bucket, now);
    bucket.limit = limit;
    SetShare(bucket, known && shares.held ? bucket.share : initial, bounds);
    buckets.emplace(name, bucket);
  }
  shares.buckets = std::move(buckets);
}

Admission Admit(NodeShares& shares, const TenantName& tenant, SteadyTime now) {
  ExpireGrant(shares, now);
  const auto found = shares.buckets.find(tenant);
  if (found == shares.buckets.end()) {
    return {};
  }
  Bucket& bucket = found->second;
  CountArrival(bucket, now);
  Refill(bucket, now);
  if (bucket.level < 1) {
    return {false, PromiseToken(bucket, now)};
  }
  bucket.level = bucket.depth < 1 ? 0 : bucket.level - 1;
  return {};
}

DemandReport MakeReport(NodeShares& shares,
                        const NodeId& self,
                        const NodeId& coordinator,
                        SteadyTime now) {
  ExpireGrant(shares, now);
  if (shares.sequence > 0 && coordinator != shares.coordinator) {
    shares.left_other = shares.reported;
  }
  shares.coordinator = coordinator;
  shares.reported = now;
  ++shares.sequence;

  DemandReport report;
  report.node = self;
  report.sequence = shares.sequence;
  report.attached =
      shares.left_other
          ? std::clamp(
                std::chrono::floor<milliseconds>(now - *shares.left_other),
                milliseconds(0), kAlwaysAttached)
          : kAlwaysAttached;
  if (shares.held && shares.held->coordinator == coordinator) {
    report.held = shares.held->sequence;
  }
  for (const auto& [name, bucket] : shares.buckets) {
    const double demand = DemandAt(bucket, now);
    if (demand >= kNegligibleDemandPerS &&
        report.demand_per_s.size() < kMaxTenants) {
      report.demand_per_s.emplace(name, demand);
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
  const Share idle = EqualShare(kIdleFraction, shares.nodes);
  for (auto& [name, bucket] : shares.buckets) {
    Refill(bucket, now);
    const auto share = grant.shares.find(name);
    SetShare(bucket, share == grant.shares.end() ? idle : share->second,
             shares.bounds);
  }
  shares.held = {shares.coordinator, grant.sequence, valid_until};
}

double UseOf(const NodeShares& shares,
             const TenantName& tenant,
             SteadyTime now) {
  const auto found = shares.buckets.find(tenant);
  if (found == shares.buckets.end() || !shares.held ||
      now >= shares.held->valid_until) {
    return 0;
  }
  return found->second.share.use;
}

}  // namespace cassiakeel::allotment
