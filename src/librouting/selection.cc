#include "cassiakeel/routing/selection.h"

#include <algorithm>

#include "pool.h"

namespace cassiakeel::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// A load report older than this is ignored.
constexpr nanoseconds kLoadTtl = std::chrono::seconds(1);
// A report that a class is shed is used for a random time between half and all
// of this, so that the callers' nodes do not all resume sending at the same
// time.
constexpr nanoseconds kShedTtl = milliseconds(300);
// How long a probe that is due waits for a call that is not critical.
constexpr nanoseconds kCriticalProbeDelay = std::chrono::seconds(1);
// Limit assumed for an endpoint without a recent load report.
constexpr double kDefaultLimit = 16;

bool HasFreshLoad(const EndpointStats& stats, SteadyTime now, nanoseconds ttl) {
  return stats.load_at && now - *stats.load_at < ttl;
}

bool Sheds(const EndpointStats& stats,
           RequestClass request_class,
           SteadyTime now,
           nanoseconds ttl) {
  return HasFreshLoad(stats, now, ttl) && request_class > stats.load.accepts;
}

// Cost of a call to a server that fails all of its work, in multiples of the
// median latency of the service: more than waiting in a full queue elsewhere,
// but less than an ejection, which excludes the server.
constexpr double kFailureCostMedians = 4;
// Median latency assumed before the first response, 10 ms.
constexpr double kDefaultMedianNs = 1e7;

// Expected cost of a call, in nanoseconds:
// distance + latency x (in flight + 1) / limit + cost of failures.
// The cost of failures does not depend on the load, because a server that fails
// fast is never busy.
double Cost(const Pool& pool,
            std::size_t index,
            WorkLength length,
            SteadyTime now) {
  const auto& stats = pool.stats[index];
  double load = stats.in_flight;
  double limit = kDefaultLimit;
  if (HasFreshLoad(stats, now, kLoadTtl)) {
    // The report includes the calls of this node as of that time.
    load = std::max(
        load, static_cast<double>(stats.load.in_flight) + stats.load.queued);
    limit = std::max(1, stats.load.limit);
  }
  const double observed_median =
      pool.median_ns[static_cast<std::size_t>(length)];
  const double median =
      observed_median > 0 ? observed_median : kDefaultMedianNs;
  return pool.distance_ns[index] +
         pvt::ExpectedLatency(pool, stats, length, now) * (load + 1) / limit +
         median * kFailureCostMedians * pvt::FailureShare(stats, now);
}

bool WasTried(const Pool& pool,
              std::size_t index,
              std::span<const NodeId> tried) {
  return std::find(tried.begin(), tried.end(), pool.endpoints[index].node) !=
         tried.end();
}

// Whether this call is to probe the endpoint. An ejected endpoint gets one call
// after its ejection time, which shows whether it has recovered. A critical
// call is used only if there was no other one for `kCriticalProbeDelay`.
bool ProbeDue(const EndpointStats& stats,
              const SelectionRequest& request,
              SteadyTime now) {
  if (!stats.ejected_until || !request.tried.empty() ||
      pvt::IsEjected(stats, now)) {
    return false;
  }
  return request.request_class != RequestClass::kCritical ||
         now - *stats.ejected_until >= kCriticalProbeDelay;
}

// Reservoir sampling of two members from a sequence of unknown length.
struct PairSample {
  std::array<std::size_t, 2> members{};
  std::size_t seen = 0;

  void Add(std::size_t index, Rng& rng) {
    if (this->seen < 2) {
      this->members[this->seen] = index;
    } else if (const auto place = rng() % (this->seen + 1); place < 2) {
      this->members[place] = index;
    }
    ++this->seen;
  }
};

}  // namespace

Selection SelectEndpoint(const Pool& pool,
                         const SelectionRequest& request,
                         SteadyTime now,
                         Rng& rng) {
  const auto shed_ttl = nanoseconds(static_cast<std::int64_t>(
      static_cast<double>(kShedTtl.count()) * (0.5 + 0.5 * UniformUnit(rng))));
  std::optional<std::size_t> best;
  double best_cost = 0;
  PairSample last_resort;
  bool any_candidate = false;
  const auto consider_pair = [&](const PairSample& sample) {
    const auto count = std::min<std::size_t>(2, sample.seen);
    // Begins with a random one of the two, so that ties are broken at random.
    const auto first = count == 2 ? rng() % 2 : 0;
    for (std::size_t i = 0; i < count; ++i) {
      const auto member = sample.members[(first + i) % 2];
      const double cost = Cost(pool, member, request.length, now);
      if (!best || cost < best_cost) {
        best = member;
        best_cost = cost;
      }
    }
  };
  for (const auto& tier : pool.tiers) {
    PairSample sample;
    for (const auto index : tier) {
      const auto& stats = pool.stats[index];
      if (pvt::IsLeaving(pool, index, now) ||
          WasTried(pool, index, request.tried)) {
        continue;
      }
      if (pool.excluded[index] || pvt::IsEjected(stats, now)) {
        last_resort.Add(index, rng);
        continue;
      }
      if (ProbeDue(stats, request, now)) {
        return {index, Reason::kNone};
      }
      any_candidate = true;
      if (!Sheds(stats, request.request_class, now, shed_ttl)) {
        sample.Add(index, rng);
      }
    }
    consider_pair(sample);
  }
  if (best) {
    return {best, Reason::kNone};
  }
  if (any_candidate) {
    return {std::nullopt, Reason::kOverload};
  }
  consider_pair(last_resort);
  return {best, best ? Reason::kNone : Reason::kNoEndpoint};
}

}  // namespace cassiakeel::routing
