// Planned handoff of shards: the part of `Deduplicator::Maintain` that balances
// shards between nodes and empties a leaving node.

#include <algorithm>

#include "cassiakeel/once/deduplicator.h"

namespace cassiakeel::once {
namespace {

/// Maximum number of shards stopped at the same time, which bounds how long
/// each is not served.
constexpr int kMaxMovesPerRound = 16;
/// Interval of balancing. The leases of all live nodes are read only while the
/// shards are unbalanced. A longer interval with fewer moves per round leaves
/// shards concentrated on one node long enough after a start that submissions
/// fail there: with 10 s and 8 moves, one node of four still owns 56 of 64
/// shards after 20 s.
constexpr std::chrono::seconds kBalanceInterval{2};

}  // namespace

void Deduplicator::MaintainHandoff() {
  {
    const std::lock_guard lock(this->mutex);
    if (this->has_left || this->lease.term.empty()) {
      this->has_left =
          this->has_left || (this->leaving && this->lease.pending.empty());
      return;
    }
  }
  this->StopShards();
  const std::vector<ShardId> stopped = this->WriteHandoffObjects();
  if (!stopped.empty()) {
    this->WriteHandoff(stopped);
  }
  this->EndLease();
}

std::vector<ShardId> Deduplicator::ShardsToMove() {
  const std::vector<ServiceNode> nodes = this->environment.nodes();
  ShardMap map;
  {
    const std::lock_guard lock(this->mutex);
    const SteadyTime now = this->environment.clock->Now();
    const auto& cached = this->shard_maps[this->config.service].map;
    if (!cached || (!this->leaving && now < this->next_balance)) {
      return {};
    }
    map = *cached;
    if (this->leaving) {
      return ShardsOf(map, this->config.self.ref);
    }
    this->next_balance = now + kBalanceInterval;
  }
  std::vector<NodeRef> live{this->config.self.ref};
  for (const ServiceNode& node : nodes) {
    if (node.ref.node != this->config.self.ref.node) {
      live.push_back(node.ref);
    }
  }
  std::vector<ShardId> to_move;
  if (PlanHandoff(map, this->config.self.ref, live, 1).empty()) {
    return to_move;
  }
  for (const Move& move :
       PlanHandoff(map, this->config.self.ref, this->NodesWithLease(NodeId()),
                   kMaxMovesPerRound)) {
    to_move.push_back(move.shard);
  }
  return to_move;
}

void Deduplicator::StopShards() {
  const std::vector<ShardId> to_stop = this->ShardsToMove();
  const std::lock_guard lock(this->mutex);
  const bool stopping =
      std::any_of(this->own_shards.begin(), this->own_shards.end(),
                  [](const OwnShard& shard) {
                    return shard.state == ShardState::kStopping;
                  });
  if (stopping && !this->leaving) {
    return;
  }
  for (const ShardId shard : to_stop) {
    OwnShard& own_shard = this->own_shards[shard.Value()];
    if (own_shard.state == ShardState::kServing) {
      own_shard.state = ShardState::kStopping;
    }
  }
}

std::vector<ShardId> Deduplicator::WriteHandoffObjects() {
  std::vector<ShardId> written;
  for (int i = 0; i < kShardCount; ++i) {
    std::string bytes;
    ShardEpoch epoch;
    {
      const std::lock_guard lock(this->mutex);
      if (this->own_shards[i].state != ShardState::kStopping ||
          this->dedup_table.running[i] != 0) {
        continue;
      }
      epoch = this->own_shards[i].epoch;
      // The shard has stopped, so every round writes the same entries and a
      // delayed write is harmless.
      if (!this->dedup_table.shards[i].empty()) {
        bytes = ExportShard(this->dedup_table, ShardId(i),
                            this->environment.clock->Now());
      }
    }
    if (!bytes.empty()) {
      this->environment.objects->Put(
          HandoffObjectKey(this->config.service, ShardId(i), epoch), bytes);
      this->MaintainLease();
    }
    written.emplace_back(i);
  }
  return written;
}

void Deduplicator::WriteHandoff(const std::vector<ShardId>& stopped) {
  this->ReadMap(this->config.service);
  const std::vector<NodeRef> nodes = this->NodesWithLease(NodeId());
  ShardMap map;
  std::uint64_t version = 0;
  {
    const std::lock_guard lock(this->mutex);
    const CachedMap& cached = this->shard_maps[this->config.service];
    map = *cached.map;
    version = cached.version;
    for (const ShardId shard : stopped) {
      const OwnShard& own_shard = this->own_shards[shard.Value()];
      // The shard may have been failed over since it was stopped.
      if (own_shard.state != ShardState::kStopping ||
          map.shards[shard.Value()].epoch != own_shard.epoch ||
          map.shards[shard.Value()].owner != this->config.self.ref) {
        continue;
      }
      // Excludes the shard from the counts, so that the least loaded node gets
      // it.
      ShardMap without_owner = map;
      ApplyHandoff(without_owner, {shard, NodeRef()}, false);
      AssignUnowned(without_owner, nodes);
      const bool has_handoff_object =
          !this->dedup_table.shards[shard.Value()].empty() &&
          this->config.decide.variant != Variant::kHandoffWithoutTable;
      ApplyHandoff(map, {shard, without_owner.shards[shard.Value()].owner},
                   has_handoff_object);
    }
  }
  map.change = this->environment.make_id();
  const platform::Commit commit = this->environment.table->Transact(
      {{ShardRowKey(this->config.service), FormatShardMap(map), version}});
  if (commit.applied) {
    this->SetMap(this->config.service, map, commit.versions.at(0));
  }
}

void Deduplicator::EndLease() {
  {
    const std::lock_guard lock(this->mutex);
    if (!this->leaving) {
      return;
    }
  }
  this->ReadMap(this->config.service);
  std::vector<platform::Write> writes;
  LeaseRow row;
  {
    const std::lock_guard lock(this->mutex);
    CachedMap& cached = this->shard_maps[this->config.service];
    if (!cached.map || !ShardsOf(*cached.map, this->config.self.ref).empty() ||
        !this->lease.pending.empty()) {
      return;
    }
    row = NextLeaseRow(this->lease, this->config.service, this->lease.grantor,
                       this->environment.make_id());
    row.ended = true;
    ShardMap map = *cached.map;
    map.change = row.change;
    // Also writes the map, so that a concurrent handoff of a shard to this node
    // fails.
    writes = {
        {LeaseRowKey(row.holder.node), FormatLease(row), this->lease.version},
        {ShardRowKey(this->config.service), FormatShardMap(map),
         cached.version}};
  }
  const platform::Commit commit = this->environment.table->Transact(writes);
  const auto seen = this->ReadLease(row.holder.node);
  if (commit.applied || (seen && seen->first.ended)) {
    const std::lock_guard lock(this->mutex);
    DropLease(this->lease);
    this->has_left = true;
  }
}

}  // namespace cassiakeel::once
