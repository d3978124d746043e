#include "cassiakeel/routing/selection.h"

#include <algorithm>
#include <utility>

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

// Weight of the difference in service time against the distance, which includes
// the cost of traffic between availability zones. Higher for work with a single
// attempt: if its server is too slow for the time limit, the request fails.
constexpr double kServiceTimeWeight = 0.5;
constexpr double kSingleAttemptWeight = 2;
// Shares of slots in use up to which a faster server is preferred fully, and
// from which on it is not preferred any more. In between the preference fades,
// so that the callers' nodes, whose load reports are up to a second old, do not
// overrun it together.
constexpr double kRoomUtilization = 0.5;
constexpr double kNoRoomUtilization = 0.8;

// 1 with room for more calls, 0 without.
double Room(double utilization) {
  return std::clamp((kNoRoomUtilization - utilization) /
                        (kNoRoomUtilization - kRoomUtilization),
                    0.0, 1.0);
}

// Calls and limit of an endpoint, as far as this node knows.
struct KnownLoad {
  double calls = 0;
  double limit = kDefaultLimit;

  double utilization() const { return this->calls / this->limit; }
};

KnownLoad LoadOf(const EndpointStats& stats, SteadyTime now) {
  KnownLoad load;
  load.calls = stats.in_flight;
  if (HasFreshLoad(stats, now, kLoadTtl)) {
    // The report includes the calls of this node as of that time.
    load.calls =
        std::max(load.calls,
                 static_cast<double>(stats.load.in_flight) + stats.load.queued);
    load.limit = std::max(1, stats.load.limit);
  }
  return load;
}

// Room of the service as a whole.
double ServiceRoom(const Pool& pool, SteadyTime now) {
  KnownLoad sum{0, 0};
  for (const auto& stats : pool.stats) {
    if (HasFreshLoad(stats, now, kLoadTtl)) {
      const auto load = LoadOf(stats, now);
      sum.calls += load.calls;
      sum.limit += load.limit;
    }
  }
  return sum.limit > 0 ? Room(sum.utilization()) : 1;
}

// Cost or gain of the endpoint's speed against the median of the service, in
// nanoseconds; 0 where the kind of work is unknown. A slow server is avoided
// only while the service has room, a fast one preferred only while it has room
// itself.
double SpeedCost(const Pool& pool,
                 const EndpointStats& stats,
                 const SelectionRequest& request,
                 const KnownLoad& load,
                 double service_room,
                 SteadyTime now) {
  const double difference_ns =
      pvt::ExpectedServiceTime(pool, stats, request.kind, now) -
      pvt::MedianServiceTime(pool, request.kind);
  const double room =
      difference_ns < 0 ? Room(load.utilization()) : service_room;
  return difference_ns * room *
         (request.single_attempt ? kSingleAttemptWeight : kServiceTimeWeight);
}

// Expected cost of a call, in nanoseconds:
// distance + difference in service time + latency x (in flight + 1) / limit +
// cost of failures.
// The cost of failures does not depend on the load, because a server that fails
// fast is never busy.
double Cost(const Pool& pool,
            std::size_t index,
            const SelectionRequest& request,
            double service_room,
            SteadyTime now) {
  const auto& stats = pool.stats[index];
  const auto load = LoadOf(stats, now);
  const double observed_median =
      pool.median_ns[static_cast<std::size_t>(request.length)];
  const double median =
      observed_median > 0 ? observed_median : kDefaultMedianNs;
  const double kind_median = pvt::MedianServiceTime(pool, request.kind);
  const double unit = kind_median > 0 ? kind_median / pvt::kUnitWorkNs : 1;
  const double latency = pvt::ExpectedLatency(pool, stats, request.length, now);
  return pool.distance_ns[index] +
         SpeedCost(pool, stats, request, load, service_room, now) +
         unit * (latency * (load.calls + 1) / load.limit +
                 median * kFailureCostMedians * pvt::FailureShare(stats, now));
}

bool WasTried(const Pool& pool,
              std::size_t index,
              std::span<const NodeId> tried) {
  return std::find(tried.begin(), tried.end(), pool.endpoints[index].node) !=
         tried.end();
}

bool OutsideZone(const Pool& pool,
                 std::size_t index,
                 const SelectionRequest& request) {
  return request.zone != nullptr && pool.endpoints[index].zone != *request.zone;
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

// Number of random candidates per distance tier, and for the nearest tier where
// the speeds of the servers are known: with two, a caller would often miss the
// fast servers of its own availability zone and use one of another.
constexpr std::size_t kCandidates = 2;
constexpr std::size_t kNearCandidates = 4;

// Reservoir sampling of some members from a sequence of unknown length.
struct Sample {
  explicit Sample(std::size_t capacity) : capacity(capacity) {}

  void Add(std::size_t index, Rng& rng) {
    if (this->seen < this->capacity) {
      this->members[this->seen] = index;
    } else if (const auto place = rng() % (this->seen + 1);
               place < this->capacity) {
      this->members[place] = index;
    }
    ++this->seen;
  }

  std::array<std::size_t, kNearCandidates> members{};
  std::size_t capacity;
  std::size_t seen = 0;
};

}  // namespace

Selection SelectEndpoint(const Pool& pool,
                         const SelectionRequest& request,
                         SteadyTime now,
                         Rng& rng) {
  const auto shed_ttl = nanoseconds(static_cast<std::int64_t>(
      static_cast<double>(kShedTtl.count()) * (0.5 + 0.5 * UniformUnit(rng))));
  const double service_room = request.kind == 0 ? 1 : ServiceRoom(pool, now);
  std::optional<std::size_t> best;
  double best_cost = 0;
  Sample last_resort(kCandidates);
  bool any_candidate = false;
  const auto consider = [&](const Sample& sample) {
    const auto count = std::min(sample.capacity, sample.seen);
    // Begins with a random one, so that ties are broken at random.
    const auto first = count > 1 ? rng() % count : 0;
    for (std::size_t i = 0; i < count; ++i) {
      const auto member = sample.members[(first + i) % count];
      const double cost = Cost(pool, member, request, service_room, now);
      if (!best || cost < best_cost) {
        best = member;
        best_cost = cost;
      }
    }
  };
  std::size_t near_candidates =
      request.kind == 0 ? kCandidates : kNearCandidates;
  for (const auto& tier : pool.tiers) {
    // The own machine is a tier of its own.
    Sample sample(tier.size() > 1 ? std::exchange(near_candidates, kCandidates)
                                  : kCandidates);
    for (const auto index : tier) {
      const auto& stats = pool.stats[index];
      if (OutsideZone(pool, index, request) ||
          pvt::IsLeaving(pool, index, now) ||
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
  if (request.zone == nullptr) {
    consider(last_resort);
  }
  return {best, best ? Reason::kNone : Reason::kNoEndpoint};
}

}  // namespace cassiakeel::routing
