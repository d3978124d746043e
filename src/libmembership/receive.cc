#include <algorithm>

#include "internal.h"

namespace cassiakeel::membership {
namespace {

using pvt::Origin;

/// Applies the header of a message to the record of its sender. Returns whether
/// that record exists with the same incarnation.
bool UpdateSender(MembershipState& state,
                  const Message& message,
                  const Instant& now) {
  if (message.view_digest == state.view_digest) {
    state.digest_matched_at = now.steady;
  }
  const auto found = state.records.find(message.sender);
  if (found == state.records.end() ||
      found->second.member.incarnation != message.incarnation) {
    return false;
  }
  auto& version = found->second.member.policy_version;
  version = std::max(version, message.policy_version);
  state.offered_policy = std::max(state.offered_policy, version);
  if (message.policy_version == state.policy.version &&
      message.policy_digest != state.policy.digest) {
    ++state.counters.policy_conflicts;
  }
  return true;
}

void AnswerPing(MembershipState& state,
                const Message& message,
                const PeerAddress& from,
                bool sender_known,
                const Instant& now,
                std::vector<Datagram>& out) {
  if (!message.target.Value().empty() && message.target != state.self.node) {
    // The ping is meant for an earlier process on this address.
    return;
  }
  auto ack = pvt::MakeMessage(state, MessageKind::kAck, now);
  ack.sequence = message.sequence;
  ack.target = state.self.node;
  ack.request_record = !sender_known;
  if (message.request_record) {
    ack.members.push_back(state.self);
  }
  // An unknown sender gets no piggybacked updates. Its source address may be
  // forged, and a reply much larger than the request would allow amplification.
  pvt::Send(state, std::move(ack), from, message.sender, out);
}

void RelayPing(MembershipState& state,
               const Message& message,
               const PeerAddress& from,
               const Instant& now,
               std::vector<Datagram>& out) {
  const auto found = state.records.find(message.target);
  if (found == state.records.end()) {
    return;
  }
  const auto sequence = pvt::SendPing(state, found->second.member, now, out);
  auto& pending = state.pending_pings.at(sequence);
  pending.requester = from;
  pending.requester_sequence = message.sequence;
}

void RelayAck(MembershipState& state,
              const pvt::PendingPing& pending,
              const Instant& now,
              std::vector<Datagram>& out) {
  auto ack = pvt::MakeMessage(state, MessageKind::kAck, now);
  ack.sequence = pending.requester_sequence;
  ack.target = pending.target;
  pvt::Send(state, std::move(ack), pending.requester, NodeId(), out);
}

void HandleAck(MembershipState& state,
               const Message& message,
               const PeerAddress& from,
               const Instant& now,
               std::vector<Datagram>& out) {
  const auto found = state.pending_pings.find(message.sequence);
  if (found == state.pending_pings.end() ||
      found->second.target != message.target) {
    return;
  }
  const auto pending = found->second;
  const bool direct = message.sender == message.target;
  if (direct) {
    state.pending_pings.erase(found);
    pvt::AddClockSample(state, pending, message.wall_micros, now);
  }
  if (state.probe && state.probe->sequence == message.sequence) {
    state.probe->acked = true;
  }
  pvt::ClearSuspicion(state, pending.target, now);
  if (!pending.requester.Value().empty()) {
    RelayAck(state, pending, now, out);
  }
  if (message.request_record) {
    auto push = pvt::MakeMessage(state, MessageKind::kPush, now);
    push.members.push_back(state.self);
    pvt::Send(state, std::move(push), from, message.sender, out);
  }
}

}  // namespace

std::vector<Datagram> Receive(MembershipState& state,
                              std::string_view bytes,
                              const PeerAddress& from,
                              const Instant& now,
                              Rng& rng) {
  ++state.counters.datagrams_received;
  state.counters.bytes_received += bytes.size();
  const auto message = DecodeMessage(bytes);
  if (!message) {
    ++state.counters.malformed_datagrams;
    return {};
  }
  if (message->sender == state.self.node) {
    state.superseded_by = std::max(state.superseded_by, message->incarnation);
    return {};
  }
  for (const auto& member : message->members) {
    pvt::ApplyReport(state, member, Origin::kGossip, now, rng);
  }
  const bool sender_known = UpdateSender(state, *message, now);
  std::vector<Datagram> out;
  switch (message->kind) {
    case MessageKind::kPing:
      AnswerPing(state, *message, from, sender_known, now, out);
      break;
    case MessageKind::kAck:
      HandleAck(state, *message, from, now, out);
      break;
    case MessageKind::kPingReq:
      if (sender_known) {
        RelayPing(state, *message, from, now, out);
      }
      break;
    case MessageKind::kPush:
      break;
  }
  pvt::FlushUrgent(state, now, rng, out);
  return out;
}

}  // namespace cassiakeel::membership
