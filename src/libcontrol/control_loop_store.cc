#include <algorithm>

#include "control_loop.h"

namespace cassiakeel::control::pvt {
namespace {

/// If no peer has reported the same view digest for this time, a peer's member
/// list is fetched.
constexpr std::chrono::seconds kMaxDigestMismatchAge{30};
constexpr std::chrono::seconds kMinListFetchInterval{30};
/// Rows of nodes that have been dead or left for this time are removed.
constexpr std::chrono::hours kStaleRowAge{1};
/// Probability that a node removes a stale row which it has read. Keeps 830
/// nodes from all writing the same removal.
constexpr double kRemoveProbability = 0.05;

}  // namespace

void ControlLoop::RequestIncarnation() {
  auto& table = this->environment.table;
  const auto address = this->state.self.gossip;
  const auto wall = this->Now().wall;
  this->RunOnPlatform<Incarnation>(
      [&table, address, wall] {
        return AcquireIncarnation(table, address, wall);
      },
      [this](Result<Incarnation> acquired) {
        if (!acquired) {
          ++this->stats.store_failures;
          this->StartWithoutStore();
        } else if (!this->joined) {
          this->incarnation_recorded = true;
          this->JoinPeers(*acquired);
        } else {
          // The store answered after this node had derived its incarnation from
          // the wall clock.
          membership::RaiseIncarnation(this->state, *acquired, this->Now());
        }
      });
}

// While the store is down, the incarnation is the wall clock in seconds. It is
// higher than that of any predecessor on the same address because
// - this process holds the ports of the address, so any predecessor obtained
//   its incarnation before this process was started;
// - the store never assigns a value below the wall clock, and assigns one above
//   it only if the address restarts more than once per second;
// - this process reads the clock 3 s after binding: 1 s covers the resolution
//   of the clock, and 2 s cover the difference between two instances whose
//   clocks are each off by the 1 s that the clock check tolerates;
// - peers are first asked for the incarnations that they have recorded for this
//   id or address, which covers a predecessor whose clock was wrong.
void ControlLoop::StartWithoutStore() {
  if (this->joined || this->starting_without_store) {
    return;
  }
  this->starting_without_store = true;
  this->SendDatagrams(membership::QuerySeeds(
      this->state, this->environment.options.seeds, this->Now()));
}

void ControlLoop::QueryPredecessors() {
  for (const auto& [node, record] : this->state.records) {
    if (!this->queried_nodes.insert(node).second) {
      continue;
    }
    auto asking = kj::evalNow([this, rpc = record.member.rpc]() {
      return FetchMembers(this->caller, rpc);
    });
    this->tasks.add(asking.then(
        [this](std::vector<membership::Member>&& members) {
          const auto& self = this->state.self;
          for (const auto& member : members) {
            if (member.node == self.node || member.gossip == self.gossip) {
              this->predecessor_incarnation =
                  std::max(this->predecessor_incarnation, member.incarnation);
            }
          }
        },
        [this](kj::Exception&&) { ++this->stats.rpc_calls_failed; }));
  }
}

void ControlLoop::AdvanceStartup(const membership::Instant& now) {
  const auto& timings = this->environment.options.timings;
  const auto waited = now.steady - this->start_time;
  if (!this->starting_without_store && waited >= timings.incarnation_wait) {
    this->StartWithoutStore();
  }
  if (!this->starting_without_store) {
    return;
  }
  // Only the seeds have been contacted, and no other node knows of this one, so
  // the recorded members are the seeds.
  this->QueryPredecessors();
  if (waited >= timings.clock_incarnation_wait) {
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
        now.wall.time_since_epoch());
    const auto before =
        std::max(this->predecessor_incarnation, this->state.superseded_by);
    this->JoinPeers(Incarnation(std::max(
        static_cast<std::uint64_t>(seconds.count()), before.Value() + 1)));
  }
}

void ControlLoop::JoinPeers(Incarnation incarnation) {
  const auto now = this->Now();
  membership::RaiseIncarnation(this->state, incarnation, now);
  this->joined = true;
  this->SendDatagrams(membership::Join(
      this->state, this->environment.options.seeds, now, this->rng));
  this->next_member_read = now.steady;
}

void ControlLoop::WriteOwnRow() {
  auto& table = this->environment.table;
  this->RunOnPlatform<Incarnation>(
      [&table, self = this->state.self] { return WriteNodeRow(table, self); },
      [this](const Result<Incarnation>& owner) {
        if (!owner) {
          ++this->stats.store_failures;
        } else if (*owner > this->state.self.incarnation) {
          this->state.superseded_by =
              std::max(this->state.superseded_by, *owner);
          ++this->state.view_version;
        }
      });
}

void ControlLoop::AdvanceMemberRead(const membership::Instant& now) {
  if (this->reading_members || now.steady < this->next_member_read) {
    return;
  }
  this->reading_members = true;
  auto& table = this->environment.table;
  auto self = this->state.self;
  const bool recorded = this->incarnation_recorded;
  const bool all_rows = !this->member_schedule.succeeded_once;
  this->RunOnPlatform<MemberRead>(
      [&table, self, recorded, all_rows, wall = now.wall,
       after = this->RandomMember().node]() mutable {
        if (!recorded) {
          const auto counter =
              RecordIncarnation(table, self.gossip, self.incarnation);
          if (counter > self.incarnation) {
            self.incarnation = AcquireIncarnation(table, self.gossip, wall);
          }
        }
        WriteNodeRow(table, self);
        return MemberRead{self.incarnation, all_rows
                                                ? ReadNodeRows(table)
                                                : ReadNodePage(table, after)};
      },
      [this](const Result<MemberRead>& read) { this->FinishMemberRead(read); });
}

void ControlLoop::FinishMemberRead(const Result<MemberRead>& read) {
  const auto now = this->Now();
  this->reading_members = false;
  this->next_member_read =
      now.steady + NextMemberRead(this->member_schedule, read.has_value(),
                                  this->environment.options.timings, this->rng);
  if (!read) {
    ++this->stats.store_failures;
    return;
  }
  this->incarnation_recorded = true;
  this->stats.store_bytes_read += read->rows.bytes;
  membership::RaiseIncarnation(this->state, read->incarnation, now);
  membership::MergeMembers(this->state, read->rows.members, now, this->rng);
  this->RemoveStaleRow(read->rows.members);
}

membership::Member ControlLoop::RandomMember() {
  const auto pick = std::uniform_int_distribution<std::size_t>(
      0, this->state.probe_order.size())(this->rng);
  return pick == this->state.probe_order.size()
             ? this->state.self
             : this->state.records.at(this->state.probe_order[pick]).member;
}

void ControlLoop::RemoveStaleRow(const std::vector<membership::Member>& rows) {
  const auto now = this->Now();
  for (const auto& row : rows) {
    const auto found = this->state.records.find(row.node);
    if (found == this->state.records.end()) {
      continue;
    }
    const auto& record = found->second;
    if (membership::IsPresent(record.member.status) ||
        record.member.incarnation != row.incarnation ||
        now.steady - record.status_since < kStaleRowAge ||
        UniformUnit(this->rng) > kRemoveProbability) {
      continue;
    }
    auto& table = this->environment.table;
    this->RunOnPlatform<bool>(
        [&table, row] {
          RemoveNodeRow(table, row.node, row.incarnation);
          return true;
        },
        [this](const Result<bool>& removed) {
          this->stats.store_failures += removed ? 0 : 1;
        });
    return;
  }
}

void ControlLoop::AdvanceListFetch(const membership::Instant& now) {
  const bool first =
      !this->list_fetched && !this->member_schedule.succeeded_once;
  const bool differs =
      now.steady - this->state.digest_matched_at > kMaxDigestMismatchAge;
  if (this->fetching_list || now.steady < this->next_list_fetch ||
      (!first && !differs)) {
    return;
  }
  const auto peer = this->RandomMember();
  if (peer.node == this->state.self.node ||
      !membership::IsPresent(peer.status)) {
    return;
  }
  this->fetching_list = true;
  this->next_list_fetch = now.steady + kMinListFetchInterval +
                          FullJitter(2 * kMinListFetchInterval, this->rng);
  auto fetching =
      kj::evalNow([&]() { return FetchMembers(this->caller, peer.rpc); });
  this->tasks.add(fetching.then(
      [this](std::vector<membership::Member>&& list) {
        this->fetching_list = false;
        this->list_fetched = true;
        membership::MergeMembers(this->state, list, this->Now(), this->rng);
      },
      [this](kj::Exception&&) {
        ++this->stats.rpc_calls_failed;
        this->fetching_list = false;
      }));
}

}  // namespace cassiakeel::control::pvt
