#include <algorithm>
#include <cmath>

#include "internal.h"

namespace cassiakeel::membership::pvt {
namespace {

constexpr double kMaxPushBurstBytes = 4096;
/// Upper bounds of the encoded size of a message without members and of one
/// member. Used to check a push against the rate limit before it is encoded.
constexpr double kMaxHeaderBytes = 160;
constexpr double kMaxMemberBytes = 200;
constexpr std::size_t kMaxUrgentMembers = 4;
/// A datagram has no room for more than this number of short records.
constexpr std::size_t kMaxPiggybackedMembers = 40;

/// An update that has not reached its transmit limit after this number of probe
/// periods is dropped. Otherwise the updates queued when hundreds of nodes
/// start together would fill all datagrams for half an hour. A node that missed
/// a dropped update fetches a peer's member list because its view digest
/// differs.
constexpr std::uint64_t kMaxBroadcastPeriods = 60;

/// Number of transmissions of an update: 3 * log2(n), rounded up, reaches all n
/// members with high probability (SWIM paper, section 4.1).
int TransmitLimit(const MembershipState& state) {
  const auto size = static_cast<double>(state.records.size() + 2);
  return static_cast<int>(std::ceil(3.0 * std::log2(size)));
}

const Member* FindMember(const MembershipState& state, const NodeId& node) {
  if (node == state.self.node) {
    return &state.self;
  }
  const auto found = state.records.find(node);
  return found == state.records.end() ? nullptr : &found->second.member;
}

bool Contains(const std::vector<Member>& members, const NodeId& node) {
  return std::any_of(
      members.begin(), members.end(),
      [&node](const Member& member) { return member.node == node; });
}

/// True if a member must be sent the report about itself so that it can refute
/// it.
bool NeedsRefutation(MemberStatus status) {
  return status == MemberStatus::kSuspected || !IsPresent(status);
}

/// Appends queued updates to the message, least often sent ones first, and
/// discards expired ones.
void AddPiggyback(MembershipState& state, Message& message) {
  std::erase_if(state.broadcasts, [&state](const auto& entry) {
    return state.probe_periods - entry.second.queued_period >
           kMaxBroadcastPeriods;
  });
  std::vector<std::pair<int, const NodeId*>> queue;
  queue.reserve(state.broadcasts.size());
  for (const auto& [node, broadcast] : state.broadcasts) {
    queue.emplace_back(broadcast.transmissions, &node);
  }
  const auto count = std::min(queue.size(), kMaxPiggybackedMembers);
  std::partial_sort(
      queue.begin(), queue.begin() + static_cast<std::ptrdiff_t>(count),
      queue.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  queue.resize(count);
  for (const auto& [sent, node] : queue) {
    const auto* member = FindMember(state, *node);
    if (member != nullptr && !Contains(message.members, *node)) {
      message.members.push_back(*member);
    }
  }
}

void CountTransmissions(MembershipState& state, const Message& message) {
  const int limit = TransmitLimit(state);
  for (const auto& member : message.members) {
    const auto found = state.broadcasts.find(member.node);
    if (found != state.broadcasts.end() &&
        ++found->second.transmissions >= limit) {
      state.broadcasts.erase(found);
    }
  }
}

void RefillPushTokens(MembershipState& state, const Instant& now) {
  const std::chrono::duration<double> passed =
      now.steady - state.push_tokens_refilled_at;
  state.push_tokens_refilled_at = now.steady;
  state.push_tokens =
      std::min(kMaxPushBurstBytes,
               state.push_tokens + passed.count() * kPushBytesPerSecond);
}

std::vector<const Member*> PushTargets(const MembershipState& state, Rng& rng) {
  if (!state.urgent_policy) {
    return RandomPeers(state, kPushFanout, state.self.node, rng);
  }
  // Prefers peers that have not reported the new policy version yet.
  auto peers =
      RandomPeers(state, 3 * std::size_t{kPushFanout}, state.self.node, rng);
  std::stable_partition(peers.begin(), peers.end(),
                        [&state](const Member* peer) {
                          return peer->policy_version < state.policy.version;
                        });
  peers.resize(std::min(peers.size(), std::size_t{kPushFanout}));
  return peers;
}

}  // namespace

void QueueBroadcast(MembershipState& state, const NodeId& node) {
  state.broadcasts[node] = {0, state.probe_periods};
}

Message MakeMessage(const MembershipState& state,
                    MessageKind kind,
                    const Instant& now) {
  Message message;
  message.kind = kind;
  message.sender = state.self.node;
  message.incarnation = state.self.incarnation;
  message.wall_micros = std::chrono::duration_cast<std::chrono::microseconds>(
                            now.wall.time_since_epoch())
                            .count();
  message.policy_version = state.policy.version;
  message.policy_digest = state.policy.digest;
  message.view_digest = state.view_digest;
  return message;
}

void Send(MembershipState& state,
          Message message,
          const PeerAddress& to,
          const NodeId& to_node,
          std::vector<Datagram>& out) {
  const auto* receiver = FindMember(state, to_node);
  if (receiver != nullptr && NeedsRefutation(receiver->status) &&
      !Contains(message.members, to_node)) {
    message.members.insert(message.members.begin(), *receiver);
  }
  if (receiver != nullptr && message.kind != MessageKind::kPush) {
    AddPiggyback(state, message);
  }
  auto bytes = EncodeMessage(message);
  CountTransmissions(state, message);
  ++state.counters.datagrams_sent;
  state.counters.bytes_sent += bytes.size();
  out.push_back({to, std::move(bytes)});
}

std::vector<const Member*> RandomPeers(const MembershipState& state,
                                       std::size_t count,
                                       const NodeId& except,
                                       Rng& rng) {
  std::vector<const Member*> peers;
  if (state.probe_order.empty()) {
    return peers;
  }
  std::uniform_int_distribution<std::size_t> pick(0,
                                                  state.probe_order.size() - 1);
  // The number of draws is bounded because most members may be dead.
  for (std::size_t attempt = 0; attempt < 8 * count && peers.size() < count;
       ++attempt) {
    const auto& member = state.records.at(state.probe_order[pick(rng)]).member;
    const bool usable = member.status == MemberStatus::kAlive ||
                        member.status == MemberStatus::kLeaving;
    if (usable && member.node != except &&
        std::find(peers.begin(), peers.end(), &member) == peers.end()) {
      peers.push_back(&member);
    }
  }
  return peers;
}

void FlushUrgent(MembershipState& state,
                 const Instant& now,
                 Rng& rng,
                 std::vector<Datagram>& out) {
  if (state.urgent_updates.empty() && !state.urgent_policy) {
    return;
  }
  RefillPushTokens(state, now);
  const auto peers = PushTargets(state, rng);
  const auto members = std::min(state.urgent_updates.size(), kMaxUrgentMembers);
  const auto estimate =
      static_cast<double>(peers.size()) *
      (kMaxHeaderBytes + kMaxMemberBytes * static_cast<double>(members));
  if (peers.empty() || state.push_tokens < estimate) {
    ++state.counters.pushes_delayed;
    return;
  }
  auto message = MakeMessage(state, MessageKind::kPush, now);
  for (std::size_t i = 0; i < members; ++i) {
    const auto node = *state.urgent_updates.begin();
    state.urgent_updates.erase(state.urgent_updates.begin());
    const auto* member = FindMember(state, node);
    if (member != nullptr) {
      message.members.push_back(*member);
    }
  }
  state.urgent_policy = false;
  const auto before = state.counters.bytes_sent;
  for (const auto* peer : peers) {
    Send(state, message, peer->gossip, peer->node, out);
  }
  state.push_tokens -= static_cast<double>(state.counters.bytes_sent - before);
}

}  // namespace cassiakeel::membership::pvt
