#include <algorithm>
#include <tuple>

#include "cassiakeel/base/hash.h"
#include "internal.h"

namespace cassiakeel::membership {
namespace pvt {
namespace {

auto RecordVersion(const Member& member) {
  return std::tuple(member.incarnation, member.revision);
}

void ApplyToSelf(MembershipState& state, const Member& report) {
  auto& self = state.self;
  if (report.incarnation > self.incarnation) {
    if (report.incarnation > state.superseded_by) {
      state.superseded_by = report.incarnation;
      ++state.view_version;
    }
    return;
  }
  if (report.incarnation < self.incarnation ||
      report.revision < self.revision ||
      (report.revision == self.revision && report.status == self.status)) {
    return;
  }
  // A higher revision can only stem from an earlier state of this record that
  // peers still have. The refutation must exceed it.
  self.revision = std::max(self.revision, report.revision);
  ++state.counters.refutations;
  RaiseRevision(state);
}

/// Two nodes with the same gossip address are successive processes. Marks the
/// present holder of the address as dead unless `report` is about an older
/// process; returns false in that case.
bool ReplaceAtAddress(MembershipState& state,
                      const Member& report,
                      const Instant& now) {
  const auto holder = state.by_gossip_address.find(report.gossip);
  if (holder == state.by_gossip_address.end() ||
      holder->second == report.node) {
    return true;
  }
  auto& old = state.records.at(holder->second);
  if (old.member.incarnation > report.incarnation) {
    return false;
  }
  if (IsPresent(old.member.status)) {
    SetStatus(state, old, MemberStatus::kDead, now);
    QueueBroadcast(state, old.member.node);
  }
  return true;
}

void InsertIntoProbeOrder(MembershipState& state,
                          const NodeId& node,
                          Rng& rng) {
  const auto position = std::uniform_int_distribution<std::size_t>(
      0, state.probe_order.size())(rng);
  state.probe_order.insert(
      state.probe_order.begin() + static_cast<std::ptrdiff_t>(position), node);
  if (position < state.probe_position) {
    ++state.probe_position;
  }
}

void AddMember(MembershipState& state,
               const Member& report,
               const Instant& now,
               Rng& rng) {
  if (report.gossip.Value().empty() || !IsPresent(report.status) ||
      report.gossip == state.self.gossip) {
    return;
  }
  if (state.records.size() >= kMaxMembers) {
    ++state.counters.members_refused;
    return;
  }
  if (!ReplaceAtAddress(state, report, now)) {
    return;
  }
  auto& record = state.records[report.node];
  record.member = report;
  record.status_since = now.steady;
  state.by_gossip_address[report.gossip] = report.node;
  InsertIntoProbeOrder(state, report.node, rng);
  state.view_digest ^= MemberDigest(report);
  ++state.view_version;
  QueueBroadcast(state, report.node);
  if (report.status == MemberStatus::kSuspected) {
    record.member.status = MemberStatus::kAlive;
    SetStatus(state, record, MemberStatus::kSuspected, now);
  }
}

/// Replaces the contents of `record` by a newer full report.
void ReplaceRecord(MembershipState& state,
                   Record& record,
                   const Member& report,
                   const Instant& now) {
  auto& member = record.member;
  const auto address_entry = state.by_gossip_address.find(member.gossip);
  if (address_entry != state.by_gossip_address.end() &&
      address_entry->second == report.node) {
    state.by_gossip_address.erase(address_entry);
  }
  state.by_gossip_address[report.gossip] = report.node;
  state.view_digest ^= MemberDigest(member);
  const auto status = member.status;
  const auto policy =
      member.incarnation == report.incarnation
          ? std::max(member.policy_version, report.policy_version)
          : report.policy_version;
  member = report;
  member.policy_version = policy;
  member.status = status;
  state.view_digest ^= MemberDigest(member);
  ++state.view_version;
  SetStatus(state, record, report.status, now);
}

void ApplyNewer(MembershipState& state,
                Record& record,
                const Member& report,
                const Instant& now) {
  if (report.gossip.Value().empty()) {
    // The report is in short form and lacks fields that may have changed since
    // the recorded revision. Only the revision and status are applied, and only
    // for the same incarnation.
    if (report.incarnation != record.member.incarnation) {
      return;
    }
    state.view_digest ^= MemberDigest(record.member);
    record.member.revision = report.revision;
    state.view_digest ^= MemberDigest(record.member);
    const bool removed = report.status == MemberStatus::kDead;
    SetStatus(state, record, removed ? MemberStatus::kSuspected : report.status,
              now);
    if (removed) {
      record.check_deadline = now.steady;
    }
  } else {
    if (!ReplaceAtAddress(state, report, now)) {
      return;
    }
    ReplaceRecord(state, record, report, now);
  }
  QueueBroadcast(state, record.member.node);
}

void ApplyEqual(MembershipState& state,
                Record& record,
                const Member& report,
                const Instant& now) {
  const auto current = record.member.status;
  if (report.status <= current) {
    return;
  }
  if (report.status == MemberStatus::kDead &&
      current != MemberStatus::kLeaving) {
    // A reported death is confirmed by a direct check first: after a partition
    // the other side still reports members as dead that it could not reach.
    if (current == MemberStatus::kAlive) {
      SetStatus(state, record, MemberStatus::kSuspected, now);
    }
    if (!record.direct_check) {
      record.check_deadline = std::min(record.check_deadline, now.steady);
    }
    return;
  }
  SetStatus(state, record, report.status, now);
  QueueBroadcast(state, record.member.node);
}

}  // namespace

std::uint64_t MemberDigest(const Member& member) {
  if (!IsPresent(member.status)) {
    return 0;
  }
  // Suspicion is not part of the digest because nodes disagree on it for
  // seconds at a time.
  std::string text = member.node.Value();
  text += '/' + std::to_string(member.incarnation.Value()) + '/' +
          std::to_string(member.revision.Value());
  text += member.status == MemberStatus::kLeaving ? "/leaving" : "";
  return StableHash(text);
}

void SetStatus(MembershipState& state,
               Record& record,
               MemberStatus status,
               const Instant& now) {
  auto& member = record.member;
  if (member.status == status) {
    return;
  }
  state.view_digest ^= MemberDigest(member);
  member.status = status;
  state.view_digest ^= MemberDigest(member);
  record.status_since = now.steady;
  record.direct_check.reset();
  state.suspects.erase(member.node);
  state.absent.erase(member.node);
  ++state.view_version;
  switch (status) {
    case MemberStatus::kAlive:
      break;
    case MemberStatus::kSuspected:
      record.check_deadline = now.steady + state.timings.suspicion_timeout;
      state.suspects.insert(member.node);
      ++state.counters.suspicions;
      break;
    case MemberStatus::kLeaving:
      state.urgent_updates.insert(member.node);
      break;
    case MemberStatus::kDead:
      state.absent.insert(member.node);
      ++state.counters.deaths;
      break;
    case MemberStatus::kLeft:
      state.absent.insert(member.node);
      state.urgent_updates.insert(member.node);
      break;
  }
}

void RaiseRevision(MembershipState& state) {
  state.view_digest ^= MemberDigest(state.self);
  state.self.revision = Revision(state.self.revision.Value() + 1);
  state.view_digest ^= MemberDigest(state.self);
  ++state.view_version;
  QueueBroadcast(state, state.self.node);
}

void ApplyReport(MembershipState& state,
                 const Member& report,
                 Origin origin,
                 const Instant& now,
                 Rng& rng) {
  if (report.node == state.self.node) {
    if (origin == Origin::kGossip ||
        report.incarnation > state.self.incarnation) {
      ApplyToSelf(state, report);
    }
    return;
  }
  if (origin == Origin::kList && !IsPresent(report.status)) {
    return;
  }
  const auto found = state.records.find(report.node);
  if (found == state.records.end()) {
    AddMember(state, report, now, rng);
    return;
  }
  auto& record = found->second;
  if (RecordVersion(report) > RecordVersion(record.member)) {
    ApplyNewer(state, record, report, now);
  } else if (RecordVersion(report) == RecordVersion(record.member) &&
             origin == Origin::kGossip) {
    ApplyEqual(state, record, report, now);
  }
}

void ClearSuspicion(MembershipState& state,
                    const NodeId& node,
                    const Instant& now) {
  const auto found = state.records.find(node);
  if (found != state.records.end() &&
      found->second.member.status == MemberStatus::kSuspected) {
    SetStatus(state, found->second, MemberStatus::kAlive, now);
    state.broadcasts.erase(node);
  }
}

}  // namespace pvt

void MergeMembers(MembershipState& state,
                  const std::vector<Member>& members,
                  const Instant& now,
                  Rng& rng) {
  for (auto member : members) {
    if (member.status == MemberStatus::kSuspected) {
      member.status = MemberStatus::kAlive;
    }
    // Updates from a list are not piggybacked. Most nodes have them already,
    // and sending all of them would fill the datagrams for minutes.
    const bool queued = state.broadcasts.contains(member.node);
    pvt::ApplyReport(state, member, pvt::Origin::kList, now, rng);
    if (!queued && member.node != state.self.node) {
      state.broadcasts.erase(member.node);
    }
  }
}

}  // namespace cassiakeel::membership
