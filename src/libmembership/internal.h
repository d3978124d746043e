#pragma once

#include <vector>

#include "cassiakeel/membership/state.h"

namespace cassiakeel::membership::pvt {

/// How a report reached this node.
enum class Origin {
  /// In a datagram, from the member itself or piggybacked by another node.
  kGossip,
  /// In a full member list from the store or a peer.
  kList,
};

/// Applies a report if it takes precedence over the current record: a higher
/// incarnation, then a higher revision, then a greater status. A reported death
/// of an alive or suspected member only triggers a direct check. Reports from
/// lists count only if they are about a present member that is unknown or has a
/// lower incarnation or revision in this node's view.
void ApplyReport(MembershipState& state,
                 const Member& report,
                 Origin origin,
                 const Instant& now,
                 Rng& rng);

void SetStatus(MembershipState& state,
               Record& record,
               MemberStatus status,
               const Instant& now);

/// Increments the revision of this node's record and queues the record for
/// piggybacking.
void RaiseRevision(MembershipState& state);

/// Contribution of `member` to the view digest; 0 if it is dead or left.
std::uint64_t MemberDigest(const Member& member);

/// Queues the current record of `node` for piggybacking.
void QueueBroadcast(MembershipState& state, const NodeId& node);

/// Returns a message with the header fields of this node set.
Message MakeMessage(const MembershipState& state,
                    MessageKind kind,
                    const Instant& now);

/// Adds piggybacked updates and appends the encoded message to `out`. If
/// `to_node` is recorded as suspected, dead or left, that record comes first so
/// that the receiver can refute it.
void Send(MembershipState& state,
          Message message,
          const PeerAddress& to,
          const NodeId& to_node,
          std::vector<Datagram>& out);

/// Pings `target` and returns the sequence number.
std::uint32_t SendPing(MembershipState& state,
                       const Member& target,
                       const Instant& now,
                       std::vector<Datagram>& out);

/// Pushes urgent updates as far as the token bucket allows.
void FlushUrgent(MembershipState& state,
                 const Instant& now,
                 Rng& rng,
                 std::vector<Datagram>& out);

/// Up to `count` alive or leaving members other than `except`, in random order.
std::vector<const Member*> RandomPeers(const MembershipState& state,
                                       std::size_t count,
                                       const NodeId& except,
                                       Rng& rng);

void AddClockSample(MembershipState& state,
                    const PendingPing& ping,
                    std::int64_t peer_wall_micros,
                    const Instant& now);

/// Marks a suspected member as alive in this node's view. Called when an ack
/// about `node` arrives.
void ClearSuspicion(MembershipState& state,
                    const NodeId& node,
                    const Instant& now);

void AdvanceProbe(MembershipState& state,
                  const Instant& now,
                  Rng& rng,
                  std::vector<Datagram>& out);
void AdvanceSuspicions(MembershipState& state,
                       const Instant& now,
                       std::vector<Datagram>& out);

}  // namespace cassiakeel::membership::pvt
