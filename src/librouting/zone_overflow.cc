#include "cassiakeel/routing/zone_overflow.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>
#include <vector>

#include "pool.h"

namespace cassiakeel::routing {
namespace {

using Seconds = std::chrono::duration<double>;
using std::chrono::milliseconds;

// Time between two updates of the share and the allowances.
constexpr milliseconds kUpdateInterval{100};
// Older load reports are not used. Longer than in the selection, because the
// gain of the controllers accounts for the age, and without reports the module
// of a node that calls a service every few seconds could not act.
constexpr std::chrono::seconds kMaxReportAge{10};
// Utilization assumed for a zone without a recent report, and age of such a
// report in seconds: neither a reason to leave the zone nor much room for calls
// of others.
constexpr double kUnknownUtilization = 0.5;
constexpr double kUnknownAge = 3;
// Limit assumed for an endpoint that has never reported, as in the selection.
constexpr double kUnknownLimit = 16;
// Lower bound of the service time of a zone relative to the median.
constexpr double kMinRelativeTime = 0.1;
// Bounds the logarithm for an idle zone.
constexpr double kMinUtilization = 1e-3;
// Bounds the share of the room of a node that calls rarely.
constexpr double kMinCallsInFlight = 0.1;
// Weight of a call in the averages over calls.
constexpr double kCallsWeight = 0.02;
// Weight of an update in the average of the calls in flight, over about 1 s.
constexpr double kInFlightWeight = 0.1;

// Gain of the controllers in 1 / delay. With pure delay, the controllers do not
// overshoot up to 1 / e and are stable up to pi / 2, see the design note.
constexpr double kGain = 0.3;
// Bounds the effect of one report at nodes that call rarely.
constexpr double kMaxStep = 0.3;
// Allowances shrink faster than they grow, for the demand of the other zone's
// own callers.
constexpr double kShrinkFactor = 3;
// Bounds the excess, which is a logarithm, so that one update changes the
// staying share by at most a factor of exp(kMaxStep x kMaxExcess).
constexpr double kMaxExcess = 1;

// Utilization of the home zone above which calls leave it, with a crossing that
// costs nothing and with one that costs much more than the call itself. Some
// servers slow down when more than 0.95 of their slots are in use.
constexpr double kMinTargetUtilization = 0.75;
constexpr double kMaxTargetUtilization = 0.95;
// Hysteresis: the share falls below this part of the target utilization.
constexpr double kReleaseFactor = 0.9;
// Between release and target, the share falls with this part of the gain, so
// that the shares of nodes with different histories approach each other.
constexpr double kHoldLeak = 0.25;
// Keeps some calls in the zone, whose responses show its state.
constexpr double kMaxShare = 0.95;

// Utilization up to which another zone is filled: the first value at any time,
// which is below the release threshold there, and up to the second one as long
// as it stays below the home zone's by the margin. The margin prevents circular
// traffic: calls leave only for zones with a lower utilization.
constexpr double kFreeFill = 0.65;
constexpr double kMaxFill = 0.8;
constexpr double kFillMargin = 0.1;
// The fill is lowered by this part per second of the age of the reports. The
// demand of a zone may change by half within 13 s, and an allowance acts until
// the next report, that is, for twice the age.
constexpr double kDemandChangePerS = 2 * 0.5 / 13;

double Utilization(const ZoneLoad& zone) {
  return zone.reported_limit > 0 ? zone.reported_calls / zone.reported_limit
                                 : kUnknownUtilization;
}

// Calls that the zone can serve in the median service time.
double CallRate(const ZoneLoad& zone) {
  return zone.limit / std::max(zone.relative_time, kMinRelativeTime);
}

void AddEndpoint(ZoneLoad& zone,
                 const Pool& pool,
                 std::size_t index,
                 SteadyTime now) {
  const auto& stats = pool.stats[index];
  if (pool.excluded[index] || pvt::IsEjected(stats, now) ||
      pvt::IsLeaving(pool, index, now)) {
    return;
  }
  const double limit =
      stats.load_at ? std::max(1, stats.load.limit) : kUnknownLimit;
  ++zone.usable;
  zone.limit += limit;
  zone.relative_time += stats.relative_service_time;
  if (stats.load_at && now - *stats.load_at < kMaxReportAge) {
    zone.reported_calls +=
        std::max(stats.in_flight, stats.load.in_flight + stats.load.queued);
    zone.reported_limit += limit;
    zone.age_s += Seconds(now - *stats.load_at).count() * limit;
  }
}

void ObserveZones(ZoneOverflow& overflow, const Pool& pool, SteadyTime now) {
  for (auto& [name, zone] : overflow.zones) {
    const double allowance = zone.allowance;
    zone = ZoneLoad();
    zone.allowance = allowance;
  }
  overflow.zones[overflow.home];
  for (std::size_t i = 0; i < pool.endpoints.size(); ++i) {
    AddEndpoint(overflow.zones[pool.endpoints[i].zone], pool, i, now);
  }
  for (auto& [name, zone] : overflow.zones) {
    if (zone.usable > 0) {
      zone.relative_time /= zone.usable;
    }
    zone.age_s = zone.reported_limit > 0 ? zone.age_s / zone.reported_limit
                                         : kUnknownAge;
  }
  // Calls that are sent only to some endpoints of the home zone, such as the
  // fastest, do not show that the others are full.
  auto& home = overflow.zones[overflow.home];
  home.reported_calls +=
      (home.limit - home.reported_limit) * kUnknownUtilization;
  home.reported_limit = home.limit;
}

// Step of a controller for an update interval of `elapsed_s`. The delay is the
// age of the reports, the time for which a call occupies its slot, and the
// update interval.
double Step(const ZoneOverflow& overflow,
            const ZoneLoad& zone,
            double elapsed_s) {
  const double delay_s =
      zone.age_s + overflow.service_time_s + Seconds(kUpdateInterval).count();
  return std::min(kMaxStep, kGain * elapsed_s / delay_s);
}

double TargetUtilization(const ZoneOverflow& overflow) {
  const double cost_s = Seconds(overflow.crossing_cost).count();
  return kMinTargetUtilization +
         (kMaxTargetUtilization - kMinTargetUtilization) * cost_s /
             (cost_s + overflow.service_time_s);
}

double TotalAllowance(const ZoneOverflow& overflow) {
  double total = 0;
  for (const auto& [name, zone] : overflow.zones) {
    total += zone.allowance;
  }
  return total;
}

// Changes the share in proportion to the excess. With the demand D in slots,
// the limit L and the staying share k, the utilization is u = k x D / L, so
// that d ln k / dt = -gain x ln(u / target) is linear in ln k. The share is not
// raised above what the other zones allow, so that it falls at once when room
// returns.
void AdjustShare(ZoneOverflow& overflow, const ZoneLoad& home, double step) {
  const double target = TargetUtilization(overflow);
  const double utilization = std::max(Utilization(home), kMinUtilization);
  const double time_excess =
      overflow.calls > 0 ? overflow.time_excess_sum / overflow.calls : 0;
  const double excess = std::max(std::log(utilization / target), time_excess);
  const double room = std::log(target * kReleaseFactor / utilization);
  if (excess > 0) {
    if (LeavingShare(overflow) < TotalAllowance(overflow)) {
      overflow.log_stay -= step * std::min(excess, kMaxExcess);
    }
  } else if (room > 0) {
    overflow.log_stay += step * std::min(room, kMaxExcess);
  }
  overflow.log_stay *= 1 - step * kHoldLeak;
  overflow.log_stay =
      std::clamp(overflow.log_stay, std::log(1 - kMaxShare), 0.0);
}

// Grows the allowance in proportion to the room of the zone. Summed over all
// nodes, either term adds at most step x room.
void AdjustAllowance(const ZoneOverflow& overflow,
                     ZoneLoad& zone,
                     double home_utilization,
                     double used,
                     double step) {
  const double fill =
      std::clamp(home_utilization - kFillMargin, kFreeFill, kMaxFill) /
      (1 + kDemandChangePerS * zone.age_s);
  const double utilization = std::max(Utilization(zone), kMinUtilization);
  const double excess = std::log(utilization / fill);
  if (zone.usable == 0) {
    zone.allowance = 0;
    return;
  }
  if (excess >= 0) {
    zone.allowance *= 1 - step * kShrinkFactor * std::min(excess, kMaxExcess);
    return;
  }
  const double room = (fill - utilization) * CallRate(zone);
  const double share_of_room =
      std::min(1.0, room / static_cast<double>(overflow.callers) /
                        std::max(overflow.calls_in_flight, kMinCallsInFlight));
  zone.allowance +=
      step *
      std::max(share_of_room, zone.allowance * std::min(-excess, kMaxExcess));
  // An allowance that is not used is not kept, except for this node's share of
  // the room.
  zone.allowance -= step * std::max(0.0, zone.allowance - used - share_of_room);
  zone.allowance = std::clamp(zone.allowance, share_of_room, 1.0);
}

void AdjustAllowances(ZoneOverflow& overflow,
                      const ZoneLoad& home,
                      double elapsed_s) {
  const double home_utilization =
      home.usable > 0 ? Utilization(home) : kMaxFill + kFillMargin;
  const double total = TotalAllowance(overflow);
  const double wanted = LeavingShare(overflow) + overflow.repeated_share;
  const double used_part = total > 0 ? std::min(1.0, wanted / total) : 0;
  for (auto& [name, zone] : overflow.zones) {
    if (name != overflow.home) {
      AdjustAllowance(overflow, zone, home_utilization,
                      zone.allowance * used_part,
                      Step(overflow, zone, elapsed_s));
    }
  }
}

void Update(ZoneOverflow& overflow, const Pool& pool, SteadyTime now) {
  if (overflow.updated && now - *overflow.updated < kUpdateInterval) {
    return;
  }
  const double elapsed_s =
      overflow.updated ? Seconds(now - *overflow.updated).count() : 0;
  overflow.updated = now;
  ObserveZones(overflow, pool, now);
  int in_flight = 0;
  for (const auto& stats : pool.stats) {
    in_flight += stats.in_flight;
  }
  overflow.calls_in_flight +=
      (in_flight - overflow.calls_in_flight) * kInFlightWeight;
  const auto& home = overflow.zones[overflow.home];
  if (home.usable == 0) {
    // When servers return, the zone gets its calls back step by step.
    overflow.log_stay = std::log(1 - kMaxShare);
  } else {
    AdjustShare(overflow, home, Step(overflow, home, elapsed_s));
  }
  AdjustAllowances(overflow, home, elapsed_s);
  overflow.time_excess_sum = 0;
  overflow.calls = 0;
}

// Expected time of a call in the zone in seconds, without the crossing: calls
// beyond the limit wait.
double ExpectedTime(const ZoneLoad& zone, double median_s) {
  return median_s * zone.relative_time * std::max(1.0, Utilization(zone));
}

// What the zones offer to one call.
struct Offer {
  /// Zones that are worth the crossing, with their weights for the draw.
  std::vector<std::pair<const ZoneName*, double>> zones;
  double total = 0;
};

Offer MakeOffer(const ZoneOverflow& overflow,
                double longest_s,
                double median_s) {
  Offer offer;
  const double cost_s = Seconds(overflow.crossing_cost).count();
  for (const auto& [name, zone] : overflow.zones) {
    if (name != overflow.home && zone.usable > 0 && zone.allowance > 0 &&
        ExpectedTime(zone, median_s) + cost_s <= longest_s) {
      offer.zones.emplace_back(&name, zone.allowance);
      offer.total += zone.allowance;
    }
  }
  return offer;
}

// Of a home zone without a usable endpoint: by room, or by size where no zone
// has room.
Offer OfferAll(const ZoneOverflow& overflow) {
  Offer offer;
  for (const bool by_room : {true, false}) {
    for (const auto& [name, zone] : overflow.zones) {
      const double weight =
          CallRate(zone) * (by_room ? kMaxFill - Utilization(zone) : 1);
      if (zone.usable > 0 && weight > 0) {
        offer.zones.emplace_back(&name, weight);
        offer.total += weight;
      }
    }
    if (!offer.zones.empty()) {
      break;
    }
  }
  return offer;
}

const ZoneName* Draw(const Offer& offer, Rng& rng) {
  double place = UniformUnit(rng) * offer.total;
  for (const auto& [name, weight] : offer.zones) {
    place -= weight;
    if (place < 0) {
      return name;
    }
  }
  return offer.zones.empty() ? nullptr : offer.zones.back().first;
}

// Adds the call to the observations of the next update.
void RecordCall(ZoneOverflow& overflow,
                double median_s,
                double target_s,
                bool repeated) {
  const double cost_s = Seconds(overflow.crossing_cost).count();
  const double home_s = ExpectedTime(overflow.zones[overflow.home], median_s);
  overflow.service_time_s += (home_s - overflow.service_time_s) * kCallsWeight;
  overflow.repeated_share +=
      ((repeated ? 1 : 0) - overflow.repeated_share) * kCallsWeight;
  ++overflow.calls;
  if (target_s <= 0 || home_s <= target_s) {
    return;
  }
  double elsewhere_s = home_s;
  for (const auto& [name, zone] : overflow.zones) {
    if (name != overflow.home && zone.usable > 0) {
      elsewhere_s =
          std::min(elsewhere_s, ExpectedTime(zone, median_s) + cost_s);
    }
  }
  overflow.time_excess_sum +=
      std::log(home_s / std::max(target_s, elsewhere_s));
}

// Zone for the call; null if no zone is known to be usable.
const ZoneName* ChooseZone(ZoneOverflow& overflow,
                           const Pool& pool,
                           const SelectionRequest& request,
                           Rng& rng) {
  const auto& home = overflow.zones[overflow.home];
  if (home.usable == 0) {
    return Draw(OfferAll(overflow), rng);
  }
  const double median_s = pvt::MedianServiceTime(pool, request.kind) / 1e9;
  const double target_s = Seconds(request.target_latency).count();
  const bool repeated = !request.tried.empty();
  RecordCall(overflow, median_s, target_s, repeated);
  const double longest_s =
      target_s > 0 ? std::max(target_s, ExpectedTime(home, median_s))
                   : std::numeric_limits<double>::infinity();
  const auto offer = MakeOffer(overflow, longest_s, median_s);
  double share = std::min(LeavingShare(overflow), offer.total);
  if (repeated) {
    // Calls that the home zone refused use the rest of the allowance.
    share = std::max(share, (offer.total - share) / overflow.repeated_share);
  }
  if (UniformUnit(rng) >= share) {
    return &overflow.home;
  }
  return Draw(offer, rng);
}

}  // namespace

double LeavingShare(const ZoneOverflow& overflow) {
  return 1 - std::exp(overflow.log_stay);
}

Selection SelectWithZones(ZoneOverflow& overflow,
                          const Pool& pool,
                          const SelectionRequest& request,
                          SteadyTime now,
                          Rng& rng) {
  if (overflow.crossing_cost.count() <= 0) {
    return SelectEndpoint(pool, request, now, rng);
  }
  Update(overflow, pool, now);
  auto in_zone = request;
  in_zone.zone = ChooseZone(overflow, pool, request, rng);
  const auto selection = SelectEndpoint(pool, in_zone, now, rng);
  if (selection.endpoint || in_zone.zone == nullptr) {
    return selection;
  }
  // All usable endpoints of the zone were tried or shed the call.
  return SelectEndpoint(pool, request, now, rng);
}

}  // namespace cassiakeel::routing
