#include "cassiakeel/membership/state.h"

#include <algorithm>

#include "internal.h"

namespace cassiakeel::membership {
namespace {

constexpr std::chrono::milliseconds kUrgentRetryInterval{100};
constexpr int kPercent = 100;

void SendSeedPings(MembershipState& state,
                   const std::vector<PeerAddress>& seeds,
                   const std::vector<Member>& members,
                   const Instant& now,
                   std::vector<Datagram>& out) {
  for (const auto& seed : seeds) {
    if (seed == state.self.gossip) {
      continue;
    }
    auto message = pvt::MakeMessage(state, MessageKind::kPing, now);
    message.request_record = true;
    message.sequence = ++state.last_sequence;
    message.members = members;
    pvt::Send(state, std::move(message), seed, NodeId(), out);
  }
}

void RemoveRecord(MembershipState& state, const NodeId& node) {
  const auto found = state.records.find(node);
  const auto address_entry =
      state.by_gossip_address.find(found->second.member.gossip);
  if (address_entry != state.by_gossip_address.end() &&
      address_entry->second == node) {
    state.by_gossip_address.erase(address_entry);
  }
  const auto position =
      std::find(state.probe_order.begin(), state.probe_order.end(), node);
  if (position - state.probe_order.begin() <
      static_cast<std::ptrdiff_t>(state.probe_position)) {
    --state.probe_position;
  }
  state.probe_order.erase(position);
  state.broadcasts.erase(node);
  state.urgent_updates.erase(node);
  state.absent.erase(node);
  state.records.erase(found);
}

void RemoveExpiredRecords(MembershipState& state, const Instant& now) {
  const auto absent = state.absent;
  for (const auto& node : absent) {
    const auto& record = state.records.at(node);
    const auto retention = record.member.status == MemberStatus::kLeft
                               ? state.timings.left_retention
                               : state.timings.dead_retention;
    if (now.steady - record.status_since > retention) {
      RemoveRecord(state, node);
    }
  }
}

/// Removes expired records and pings one random dead member, so that the sides
/// of a healed partition rejoin.
void ProbeDead(MembershipState& state,
               const Instant& now,
               Rng& rng,
               std::vector<Datagram>& out) {
  RemoveExpiredRecords(state, now);
  if (!state.absent.empty()) {
    auto pick = state.absent.begin();
    std::advance(pick, std::uniform_int_distribution<std::size_t>(
                           0, state.absent.size() - 1)(rng));
    const auto& member = state.records.at(*pick).member;
    if (member.status == MemberStatus::kDead) {
      pvt::SendPing(state, member, now, out);
    }
  }
}

/// Restarts probes and extends suspicions by the length of the pause: peers
/// could not have answered this process during that time.
void HandlePause(MembershipState& state, std::chrono::nanoseconds gap) {
  ++state.counters.pauses;
  state.probe.reset();
  state.pending_pings.clear();
  for (const auto& node : state.suspects) {
    auto& record = state.records.at(node);
    record.check_deadline += gap;
    record.direct_check.reset();
  }
  // Peers may suspect this node by now; the new revision refutes that.
  pvt::RaiseRevision(state);
}

std::vector<Endpoint> MarkExcluded(
    std::vector<std::pair<SteadyTime, Endpoint>> candidates) {
  const auto limit = candidates.size() *
                     static_cast<std::size_t>(kMaxExcludedPercent) / kPercent;
  std::vector<std::pair<SteadyTime, Endpoint*>> suspected;
  for (auto& [since, endpoint] : candidates) {
    if (endpoint.member.status == MemberStatus::kSuspected) {
      suspected.emplace_back(since, &endpoint);
    }
  }
  // The members that have been suspected longest are most likely to be down.
  std::stable_sort(
      suspected.begin(), suspected.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  suspected.resize(std::min(suspected.size(), limit));
  for (auto& [since, endpoint] : suspected) {
    endpoint->excluded = true;
  }
  std::vector<Endpoint> endpoints;
  endpoints.reserve(candidates.size());
  for (auto& [since, endpoint] : candidates) {
    endpoints.push_back(std::move(endpoint));
  }
  return endpoints;
}

}  // namespace

Instant ReadClock(const Clock& clock) {
  return {clock.Now(), clock.WallNow()};
}

MembershipState MakeMembership(Member self,
                               const Timings& timings,
                               const Instant& now) {
  MembershipState state;
  state.timings = timings;
  state.self = std::move(self);
  state.view_digest = pvt::MemberDigest(state.self);
  state.digest_matched_at = now.steady;
  state.next_probe = now.steady;
  state.next_dead_probe = now.steady + timings.dead_probe_period;
  state.push_tokens_refilled_at = now.steady;
  state.push_tokens = kPushBytesPerSecond;
  pvt::QueueBroadcast(state, state.self.node);
  return state;
}

std::vector<Datagram> Join(MembershipState& state,
                           std::vector<PeerAddress> seeds,
                           const Instant& now,
                           Rng& rng) {
  state.seeds = std::move(seeds);
  std::vector<Datagram> out;
  SendSeedPings(state, state.seeds, {state.self}, now, out);
  // The jitter keeps nodes that start together from probing at the same time.
  state.next_probe = now.steady + FullJitter(state.timings.probe_period, rng);
  return out;
}

std::vector<Datagram> Tick(MembershipState& state,
                           const Instant& now,
                           Rng& rng) {
  std::vector<Datagram> out;
  if (state.last_tick &&
      now.steady - *state.last_tick > state.timings.pause_threshold) {
    HandlePause(state, now.steady - *state.last_tick);
  }
  state.last_tick = now.steady;
  // While no other member is present, the seeds are contacted, so that a node
  // that lost all others rejoins them.
  const bool alone = state.absent.size() == state.records.size();
  if (alone && now.steady >= state.next_probe) {
    SendSeedPings(state, state.seeds, {state.self}, now, out);
  }
  pvt::AdvanceProbe(state, now, rng, out);
  pvt::AdvanceSuspicions(state, now, out);
  if (now.steady >= state.next_dead_probe) {
    state.next_dead_probe = now.steady + state.timings.dead_probe_period;
    ProbeDead(state, now, rng, out);
  }
  pvt::FlushUrgent(state, now, rng, out);
  return out;
}

SteadyTime NextTick(const MembershipState& state) {
  auto next = std::min(state.next_probe, state.next_dead_probe);
  if (state.probe && !state.probe->acked && !state.probe->indirect_sent) {
    const auto pending = state.pending_pings.find(state.probe->sequence);
    if (pending != state.pending_pings.end()) {
      next = std::min(
          next, pending->second.sent.steady + state.timings.probe_timeout);
    }
  }
  for (const auto& node : state.suspects) {
    next = std::min(next, state.records.at(node).check_deadline);
  }
  if (state.last_tick &&
      (!state.urgent_updates.empty() || state.urgent_policy)) {
    next = std::min(next, *state.last_tick + kUrgentRetryInterval);
  }
  return next;
}

void UpdateSelf(MembershipState& state,
                const ServiceName& service,
                Slots slots,
                const Instant& /*now*/) {
  if (state.self.service == service && state.self.slots == slots) {
    return;
  }
  state.self.service = service;
  state.self.slots = slots;
  pvt::RaiseRevision(state);
}

void RaiseIncarnation(MembershipState& state,
                      Incarnation incarnation,
                      const Instant& /*now*/) {
  if (incarnation <= state.self.incarnation) {
    return;
  }
  state.view_digest ^= pvt::MemberDigest(state.self);
  state.self.incarnation = incarnation;
  state.view_digest ^= pvt::MemberDigest(state.self);
  pvt::RaiseRevision(state);
}

std::vector<Datagram> UpdatePolicy(MembershipState& state,
                                   const PolicySummary& policy,
                                   const Instant& now,
                                   Rng& rng) {
  std::vector<Datagram> out;
  if (policy.version <= state.policy.version) {
    return out;
  }
  state.policy = policy;
  state.self.policy_version = policy.version;
  state.urgent_policy = true;
  pvt::FlushUrgent(state, now, rng, out);
  return out;
}

std::vector<Datagram> AnnounceLeaving(MembershipState& state,
                                      const Instant& now,
                                      Rng& rng) {
  std::vector<Datagram> out;
  if (state.self.status != MemberStatus::kAlive) {
    return out;
  }
  state.view_digest ^= pvt::MemberDigest(state.self);
  state.self.status = MemberStatus::kLeaving;
  state.view_digest ^= pvt::MemberDigest(state.self);
  pvt::RaiseRevision(state);
  state.urgent_updates.insert(state.self.node);
  pvt::FlushUrgent(state, now, rng, out);
  return out;
}

std::vector<Datagram> AnnounceLeft(MembershipState& state,
                                   const Instant& now,
                                   Rng& rng) {
  std::vector<Datagram> out;
  state.view_digest ^= pvt::MemberDigest(state.self);
  state.self.status = MemberStatus::kLeft;
  pvt::RaiseRevision(state);
  state.urgent_updates.insert(state.self.node);
  // This is the last message of this node, so the rate limit must not delay it.
  state.push_tokens = kPushFanout * static_cast<double>(kMaxDatagramBytes);
  pvt::FlushUrgent(state, now, rng, out);
  return out;
}

bool IsSuperseded(const MembershipState& state) {
  return state.superseded_by > state.self.incarnation;
}

std::vector<Datagram> QuerySeeds(MembershipState& state,
                                 const std::vector<PeerAddress>& seeds,
                                 const Instant& now) {
  std::vector<Datagram> out;
  SendSeedPings(state, seeds, {}, now, out);
  return out;
}

std::vector<Member> AllMembers(const MembershipState& state) {
  std::vector<Member> members{state.self};
  members.reserve(state.records.size() + 1);
  for (const auto& [node, record] : state.records) {
    members.push_back(record.member);
  }
  return members;
}

std::vector<Member> PresentMembers(const MembershipState& state) {
  std::vector<Member> members;
  members.reserve(state.records.size() + 1);
  for (const auto& [node, record] : state.records) {
    if (IsPresent(record.member.status)) {
      members.push_back(record.member);
    }
  }
  const auto position = std::lower_bound(
      members.begin(), members.end(), state.self,
      [](const Member& a, const Member& b) { return a.node < b.node; });
  members.insert(position, state.self);
  return members;
}

MembersView MakeView(const MembershipState& state) {
  MembersView view;
  view.self = state.self;
  view.superseded = IsSuperseded(state);
  view.members = PresentMembers(state);
  std::map<ServiceName, std::vector<std::pair<SteadyTime, Endpoint>>>
      candidates;
  for (const auto& member : view.members) {
    if (member.service.Value().empty() ||
        member.status == MemberStatus::kLeaving) {
      continue;
    }
    const auto record = state.records.find(member.node);
    const auto since = record == state.records.end()
                           ? SteadyTime()
                           : record->second.status_since;
    candidates[member.service].push_back({since, Endpoint{member, false}});
  }
  for (auto& [service, list] : candidates) {
    view.endpoints[service] = MarkExcluded(std::move(list));
  }
  return view;
}

}  // namespace cassiakeel::membership
