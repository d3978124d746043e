#include <algorithm>

#include "internal.h"

namespace cassiakeel::membership::pvt {
namespace {

/// Acks that arrive later than this are ignored.
constexpr std::chrono::seconds kMaxPendingPingAge{5};

void Suspect(MembershipState& state, const NodeId& node, const Instant& now) {
  const auto found = state.records.find(node);
  if (found == state.records.end()) {
    return;
  }
  auto& record = found->second;
  if (record.member.status == MemberStatus::kAlive) {
    SetStatus(state, record, MemberStatus::kSuspected, now);
    QueueBroadcast(state, node);
  } else if (record.member.status == MemberStatus::kLeaving) {
    // A leaving member accepts no new work, so it can be removed without
    // waiting for a refutation.
    SetStatus(state, record, MemberStatus::kLeft, now);
    QueueBroadcast(state, node);
  }
}

void SendPingRequests(MembershipState& state,
                      const Probe& probe,
                      const Instant& now,
                      Rng& rng,
                      std::vector<Datagram>& out) {
  auto message = MakeMessage(state, MessageKind::kPingReq, now);
  message.sequence = probe.sequence;
  message.target = probe.target;
  for (const auto* peer :
       RandomPeers(state, kIndirectProbes, probe.target, rng)) {
    Send(state, message, peer->gossip, peer->node, out);
  }
}

/// Next present member to probe. Each round visits all members once in a new
/// random order, which bounds the time until a given member is probed.
const Member* NextTarget(MembershipState& state, Rng& rng) {
  for (std::size_t tried = 0; tried < state.probe_order.size(); ++tried) {
    if (state.probe_position >= state.probe_order.size()) {
      std::shuffle(state.probe_order.begin(), state.probe_order.end(), rng);
      state.probe_position = 0;
    }
    const auto& member =
        state.records.at(state.probe_order[state.probe_position++]).member;
    if (IsPresent(member.status)) {
      return &member;
    }
  }
  return nullptr;
}

void StartProbe(MembershipState& state,
                const Instant& now,
                Rng& rng,
                std::vector<Datagram>& out) {
  state.probe.reset();
  const auto* target = NextTarget(state, rng);
  if (target == nullptr) {
    return;
  }
  Probe probe;
  probe.target = target->node;
  probe.sequence = SendPing(state, *target, now, out);
  state.probe = probe;
}

}  // namespace

std::uint32_t SendPing(MembershipState& state,
                       const Member& target,
                       const Instant& now,
                       std::vector<Datagram>& out) {
  auto message = MakeMessage(state, MessageKind::kPing, now);
  message.sequence = ++state.last_sequence;
  message.target = target.node;
  state.pending_pings[message.sequence] = {target.node, now, PeerAddress(), 0};
  const auto sequence = message.sequence;
  Send(state, std::move(message), target.gossip, target.node, out);
  return sequence;
}

void AdvanceProbe(MembershipState& state,
                  const Instant& now,
                  Rng& rng,
                  std::vector<Datagram>& out) {
  std::erase_if(state.pending_pings, [&now](const auto& entry) {
    return now.steady - entry.second.sent.steady > kMaxPendingPingAge;
  });
  auto& probe = state.probe;
  if (probe && !probe->acked && !probe->indirect_sent) {
    const auto pending = state.pending_pings.find(probe->sequence);
    if (pending != state.pending_pings.end() &&
        now.steady - pending->second.sent.steady >=
            state.timings.probe_timeout) {
      probe->indirect_sent = true;
      SendPingRequests(state, *probe, now, rng, out);
    }
  }
  if (now.steady < state.next_probe) {
    return;
  }
  if (probe && !probe->acked) {
    Suspect(state, probe->target, now);
  }
  state.next_probe = std::max(state.next_probe + state.timings.probe_period,
                              now.steady + state.timings.probe_period / 2);
  ++state.probe_periods;
  StartProbe(state, now, rng, out);
}

void AdvanceSuspicions(MembershipState& state,
                       const Instant& now,
                       std::vector<Datagram>& out) {
  const auto suspects = state.suspects;
  for (const auto& node : suspects) {
    auto& record = state.records.at(node);
    if (now.steady < record.check_deadline) {
      continue;
    }
    if (record.direct_check) {
      SetStatus(state, record, MemberStatus::kDead, now);
      QueueBroadcast(state, node);
    } else {
      // A node only removes a member that it cannot reach itself, whatever
      // others report. Otherwise one faulty observer could remove all endpoints
      // of a service.
      record.direct_check = SendPing(state, record.member, now, out);
      record.check_deadline = now.steady + state.timings.direct_check_timeout;
    }
  }
}

}  // namespace cassiakeel::membership::pvt
