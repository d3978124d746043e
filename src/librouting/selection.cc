#include "cassiakeel/routing/selection.h"

#include <algorithm>

#include "pool.h"

namespace cassiakeel::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr nanoseconds kLoadTtl = std::chrono::seconds(1);
// A report that a class is shed is trusted for half to all of this time, so
// that callers' nodes do not all return at the same moment.
constexpr nanoseconds kShedTtl = milliseconds(300);
constexpr nanoseconds kCriticalProbeDelay = std::chrono::seconds(1);
// Limit to assume of an endpoint that has not reported.
constexpr double kUnknownLimit = 16;

bool Fresh(const EndpointStats& stats, SteadyTime now, nanoseconds ttl) {
  return stats.load_at && now - *stats.load_at < ttl;
}

bool Sheds(const EndpointStats& stats,
           RequestClass request_class,
           SteadyTime now,
           nanoseconds ttl) {
  return Fresh(stats, now, ttl) && request_class > stats.load.accepts;
}

// What a call to a server that fails all of its work costs, in median latencies
// of the service: more than a full queue elsewhere, less than an ejection.
constexpr double kFailureCost = 4;
// Median to assume before there is one, 10 ms.
constexpr double kUnknownMedianNs = 1e7;

// Distance + latency x (in flight + 1) / limit + cost of failures. The last
// does not depend on the load, because a server that fails fast is never busy.
double Cost(const Pool& pool,
            std::size_t index,
            WorkLength length,
            SteadyTime now) {
  const auto& stats = pool.stats[index];
  double load = stats.in_flight;
  double limit = kUnknownLimit;
  if (Fresh(stats, now, kLoadTtl)) {
    // The report includes this node's calls at that time.
    load = std::max(
        load, static_cast<double>(stats.load.in_flight) + stats.load.queued);
    limit = std::max(1, stats.load.limit);
  }
  const double known = pool.median_ns[static_cast<std::size_t>(length)];
  const double median = known > 0 ? known : kUnknownMedianNs;
  return pool.distance_ns[index] +
         pvt::ExpectedLatency(pool, stats, length, now) * (load + 1) / limit +
         median * kFailureCost * pvt::FailureShare(stats, now);
}

bool WasTried(const Pool& pool,
              std::size_t index,
              std::span<const NodeId> tried) {
  return std::find(tried.begin(), tried.end(), pool.endpoints[index].node) !=
         tried.end();
}

// An ejected endpoint whose time is over gets one call, or nobody would learn
// that it recovered. A critical call is used only when no other came by.
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

// Two random members out of a stream of unknown length (reservoir sampling).
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
  const auto consider = [&](const PairSample& sample) {
    const auto count = std::min<std::size_t>(2, sample.seen);
    // A random one comes first, or equal costs would always give the same.
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
    consider(sample);
  }
  if (best) {
    return {best, Reason::kNone};
  }
  if (any_candidate) {
    return {std::nullopt, Reason::kOverload};
  }
  consider(last_resort);
  return {best, best ? Reason::kNone : Reason::kNoEndpoint};
}

}  // namespace cassiakeel::routing
