#pragma once

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "cassiakeel/base/strong.h"

namespace cassiakeel::membership {

/// Status of a member as seen by one node. Of two reports with equal
/// incarnation and revision, the one with the greater status takes precedence.
enum class MemberStatus : std::uint8_t {
  kAlive,
  /// Did not answer a probe; it can still refute the suspicion within
  /// `Timings::suspicion_timeout`.
  kSuspected,
  /// Accepts no new work, as announced by the member itself.
  kLeaving,
  /// Neither refuted a suspicion in time nor answered this node's direct check.
  kDead,
  /// Announced that it is gone, or stopped answering probes while leaving.
  kLeft,
};

std::string_view MemberStatusName(MemberStatus status);

/// Version of a node's own record within one incarnation. A refutation raises
/// the revision and not the incarnation, because the incarnation is the fencing
/// token under which the node holds leases.
using Revision = Strong<std::uint32_t, struct RevisionTag>;

/// Record of a node as exchanged between nodes; about 150 bytes encoded.
struct Member {
  NodeId node;
  Incarnation incarnation;
  Revision revision;
  MemberStatus status = MemberStatus::kAlive;
  PeerAddress gossip;
  PeerAddress traffic;
  PeerAddress rpc;
  ZoneName zone;
  RegionName region;
  /// Empty until the backend server has registered with its node.
  ServiceName service;
  Slots slots;
  /// Highest policy version that the member itself reported.
  PolicyVersion policy_version;

  friend bool operator==(const Member&, const Member&) = default;
};

/// True for a member that is neither dead nor left, and so may be sent work or
/// control calls.
bool IsPresent(MemberStatus status);

/// Endpoint of a service. Callers select an `excluded` endpoint only after all
/// others.
struct Endpoint {
  Member member;
  bool excluded = false;
};

/// Immutable snapshot of the members, published to all threads of the process.
struct MembersView {
  Member self;
  /// Another process uses the id of this node with a higher incarnation, so
  /// this process must not serve requests.
  bool superseded = false;
  /// All present members including this node, sorted by id.
  std::vector<Member> members;
  /// Alive and suspected members per service, sorted by id.
  std::map<ServiceName, std::vector<Endpoint>> endpoints;
};

/// Maximum share of the endpoints of a service that are excluded because they
/// are suspected. A broken network path or a slow network causes suspicion of
/// many nodes at the same time, and the others could not carry their load.
inline constexpr int kMaxExcludedPercent = 30;

/// Endpoints of `service`; empty for an unknown service. Suspected members are
/// marked as excluded, up to `kMaxExcludedPercent` of the endpoints rounded
/// down. Leaving, left and dead members are not endpoints.
const std::vector<Endpoint>& EndpointsOf(const MembersView& view,
                                         const ServiceName& service);

}  // namespace cassiakeel::membership
