#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cassiakeel/base/clock.h"
#include "cassiakeel/base/random.h"
#include "cassiakeel/membership/codec.h"
#include "cassiakeel/membership/member.h"

namespace cassiakeel::membership {

/// Steady and wall clock, read together.
struct Instant {
  SteadyTime steady;
  WallTime wall;
};

Instant ReadClock(const Clock& clock);

/// Datagram that the caller must send.
struct Datagram {
  PeerAddress to;
  std::string bytes;
};

/// Periods and timeouts of the protocol. The defaults are those
/// of the design document.
struct Timings {
  std::chrono::milliseconds probe_period{1000};
  std::chrono::milliseconds probe_timeout{300};
  std::chrono::milliseconds suspicion_timeout{5000};
  /// How long to wait for the ack of the direct check, the ping that this node
  /// sends to a suspected member before it declares the member dead.
  std::chrono::milliseconds direct_check_timeout{1000};
  /// One dead member is probed per period, so that the sides of a partition
  /// rejoin once the network has recovered.
  std::chrono::milliseconds dead_probe_period{5000};
  /// Longer than the longest expected partition, which lasts one hour.
  std::chrono::milliseconds dead_retention{std::chrono::hours(2)};
  std::chrono::milliseconds left_retention{std::chrono::minutes(10)};
  /// A longer interval between two ticks means that this process was paused.
  std::chrono::milliseconds pause_threshold{2000};
};

/// Event counts since start, for metrics.
struct Counters {
  std::uint64_t datagrams_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t datagrams_received = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t malformed_datagrams = 0;
  std::uint64_t refutations = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t deaths = 0;
  std::uint64_t pauses = 0;
  std::uint64_t pushes_delayed = 0;
  std::uint64_t members_refused = 0;
  /// Datagrams that carry this node's policy version with a different digest.
  std::uint64_t policy_conflicts = 0;
};

/// Version and digest prefix of the policy in force at a node.
struct PolicySummary {
  PolicyVersion version;
  std::uint64_t digest = 0;
};

namespace pvt {

struct Record {
  Member member;
  /// Time of the last status change.
  SteadyTime status_since;
  /// While suspected: when the direct check is due or, once it has been sent,
  /// when it times out.
  SteadyTime check_deadline;
  /// Sequence number of the direct check, once it has been sent.
  std::optional<std::uint32_t> direct_check;
};

/// Ping that has not been acknowledged yet.
struct PendingPing {
  NodeId target;
  Instant sent;
  /// Set where the ping was sent on behalf of another node.
  PeerAddress requester;
  std::uint32_t requester_sequence = 0;
};

struct Probe {
  NodeId target;
  std::uint32_t sequence = 0;
  bool acked = false;
  bool indirect_sent = false;
};

/// Update that is being piggybacked on probe messages.
struct Broadcast {
  int transmissions = 0;
  /// Probe period in which the update was queued.
  std::uint64_t queued_period = 0;
};

/// Wall clock of a peer minus this node's steady clock. The sample is relative
/// to the steady clock so that a jump of this node's wall clock is detected
/// without new samples.
struct ClockSample {
  std::chrono::microseconds peer_minus_steady;
  SteadyTime taken;
};

}  // namespace pvt

/// Membership state of one node. The functions below operate on it without I/O:
/// they take the time and the random number generator as arguments and return
/// the datagrams to send.
struct MembershipState {
  Timings timings;
  Counters counters;
  Member self;
  PolicySummary policy;
  std::vector<PeerAddress> seeds;
  /// Members other than this node.
  std::map<NodeId, pvt::Record> records;
  /// Hash of the id, incarnation, revision and leaving state of this node and
  /// all present members; equal at all nodes once all updates have arrived.
  std::uint64_t view_digest = 0;
  /// When a peer last reported the same digest.
  SteadyTime digest_matched_at;
  /// Highest policy version that a member reported. Not verified.
  PolicyVersion offered_policy;
  /// Highest incarnation with which another process was reported to use this
  /// node's id; see `IsSuperseded`.
  Incarnation superseded_by;
  /// Changes whenever a `MembersView` would differ.
  std::uint64_t view_version = 0;

  // Internal state of the protocol.
  std::map<PeerAddress, NodeId> by_gossip_address;
  std::set<NodeId> suspects;
  /// Members that are dead or left.
  std::set<NodeId> absent;
  /// All members in the order in which the current round probes them.
  std::vector<NodeId> probe_order;
  std::size_t probe_position = 0;
  std::uint32_t last_sequence = 0;
  std::map<std::uint32_t, pvt::PendingPing> pending_pings;
  std::optional<pvt::Probe> probe;
  SteadyTime next_probe;
  SteadyTime next_dead_probe;
  std::optional<SteadyTime> last_tick;
  /// Updates that are being piggybacked, by the node they are about.
  std::map<NodeId, pvt::Broadcast> broadcasts;
  /// Probe periods since start.
  std::uint64_t probe_periods = 0;
  /// Nodes whose records must be pushed without waiting for the next probe.
  std::set<NodeId> urgent_updates;
  bool urgent_policy = false;
  double push_tokens = 0;
  SteadyTime push_tokens_refilled_at;
  std::deque<pvt::ClockSample> clock_samples;
};

/// Number of peers that an urgent update is pushed to.
inline constexpr int kPushFanout = 4;
/// Number of nodes asked to probe a member that did not answer.
inline constexpr int kIndirectProbes = 3;
/// Rate limit of urgent pushes.
inline constexpr double kPushBytesPerSecond = 2048;

/// Initial state of a node. All fields of `self` except the service must be
/// set.
MembershipState MakeMembership(Member self,
                               const Timings& timings,
                               const Instant& now);

/// Sets the addresses to contact while no other member is present, and returns
/// the first datagrams to them.
std::vector<Datagram> Join(MembershipState& state,
                           std::vector<PeerAddress> seeds,
                           const Instant& now,
                           Rng& rng);

/// Advances probes, suspicions and pushes. Call it at `NextTick` or earlier.
std::vector<Datagram> Tick(MembershipState& state,
                           const Instant& now,
                           Rng& rng);

/// When `Tick` must next be called at the latest.
SteadyTime NextTick(const MembershipState& state);

/// Handles a received datagram. A malformed datagram has no effect other than
/// on the counters.
std::vector<Datagram> Receive(MembershipState& state,
                              std::string_view bytes,
                              const PeerAddress& from,
                              const Instant& now,
                              Rng& rng);

/// Sets the service and slots of this node and queues the change for
/// dissemination.
void UpdateSelf(MembershipState& state,
                const ServiceName& service,
                Slots slots,
                const Instant& now);

/// Raises the incarnation of this node after registration. A value that is not
/// higher is ignored.
void RaiseIncarnation(MembershipState& state,
                      Incarnation incarnation,
                      const Instant& now);

/// Sets the policy in force at this node and pushes its version to peers. A
/// version that is not higher is ignored.
std::vector<Datagram> UpdatePolicy(MembershipState& state,
                                   const PolicySummary& policy,
                                   const Instant& now,
                                   Rng& rng);

/// Announces that this node accepts no new work.
std::vector<Datagram> AnnounceLeaving(MembershipState& state,
                                      const Instant& now,
                                      Rng& rng);

/// Announces that this node has left. Must be the last call.
std::vector<Datagram> AnnounceLeft(MembershipState& state,
                                   const Instant& now,
                                   Rng& rng);

/// Merges a member list from the store or from a peer. Only records of present
/// members are used, and suspected ones count as alive: after a partition has
/// healed, a list from the other side reports the members of this side as dead
/// or omits them.
void MergeMembers(MembershipState& state,
                  const std::vector<Member>& members,
                  const Instant& now,
                  Rng& rng);

/// True if another process uses this node's id with a higher incarnation. This
/// process must then stop.
bool IsSuperseded(const MembershipState& state);

/// Requests the records of `seeds` without announcing this node. Used before
/// this node has an incarnation.
std::vector<Datagram> QuerySeeds(MembershipState& state,
                                 const std::vector<PeerAddress>& seeds,
                                 const Instant& now);

/// This node and all other members, including dead members and those that left.
std::vector<Member> AllMembers(const MembershipState& state);

/// This node and all present members, sorted by id.
std::vector<Member> PresentMembers(const MembershipState& state);

MembersView MakeView(const MembershipState& state);

/// Wall clock of this node minus the median of its peers' clocks, from the
/// probes of the last five minutes. Empty with fewer than `kMinClockPeers`
/// samples.
std::optional<std::chrono::microseconds> ClockOffset(
    const MembershipState& state,
    const Instant& now);

/// Minimum number of clock samples for a median. A node with fewer peers has no
/// reference for its clock.
inline constexpr std::size_t kMinClockPeers = 3;

}  // namespace cassiakeel::membership
