#include "cassiakeel/once/deduplicator.h"

#include <utility>

namespace cassiakeel::once {
namespace {

/// Minimum interval between reads of this service's shard map that are
/// triggered by calls.
constexpr std::chrono::seconds kMinOnDemandMapReadInterval{1};

void Notify(const std::vector<JoinCallback>& joined,
            const AttemptResult& result) {
  for (const JoinCallback& callback : joined) {
    callback(result);
  }
}

}  // namespace

Result<std::unique_ptr<Deduplicator>> Deduplicator::Create(
    DeduplicatorConfig config,
    DeduplicatorEnvironment environment) {
  if (config.self.ref.node.Value().empty() || config.service.Value().empty()) {
    return Fail("create deduplicator", "node id and service must not be empty");
  }
  if (environment.clock == nullptr || environment.table == nullptr ||
      environment.objects == nullptr || !environment.nodes ||
      !environment.wall_offset || !environment.request_grant ||
      !environment.make_id) {
    return Fail("create deduplicator",
                "a required member of the environment is not set");
  }
  return std::unique_ptr<Deduplicator>(
      new Deduplicator(std::move(config), std::move(environment)));
}

Deduplicator::Deduplicator(DeduplicatorConfig config,
                           DeduplicatorEnvironment environment)
    : config(std::move(config)), environment(std::move(environment)) {
  this->dedup_table.limits = this->config.limits;
  this->lease.self = this->config.self.ref;
  this->grantor.self = this->config.self.ref;
  this->shard_maps[this->config.service];
}

ClockReadings Deduplicator::ReadClocks() const {
  ClockReadings readings;
  readings.offset = this->environment.wall_offset();
  readings.now = this->environment.clock->Now();
  readings.wall = this->environment.clock->WallNow();
  return readings;
}

Decision Deduplicator::Begin(const Request& request, JoinCallback on_finished) {
  const ClockReadings readings = this->ReadClocks();
  const std::lock_guard lock(this->mutex);
  const OwnShard& shard = this->own_shards[ShardOf(request.key).Value()];
  ShardView view{shard.state, shard.epoch, shard.keys_known_after};
  if (this->leaving && view.state == ShardState::kServing) {
    view.state = ShardState::kStopping;
  }
  if (view.state == ShardState::kNotOwned) {
    // Another node considers this node the owner, so the cached map may be
    // outdated.
    CachedMap& cached = this->shard_maps[this->config.service];
    cached.next_read = std::min(cached.next_read,
                                cached.last_read + kMinOnDemandMapReadInterval);
  }
  Decision decision = Decide(request, view, this->dedup_table, this->lease,
                             readings, this->config.decide);
  if (decision.action == Action::kRun) {
    StartKey(this->dedup_table, request.key, request.fingerprint,
             request.attempt);
    RecordDispatched(this->dedup_table, request.attempt, readings.now);
  } else if (decision.outcome == Outcome::kNotRun &&
             decision.action == Action::kReject &&
             WasDispatched(this->dedup_table, request.attempt)) {
    // This is a copy of a request that was already dispatched.
    decision.outcome = Outcome::kUnknown;
  } else if (decision.action == Action::kJoin) {
    JoinKey(this->dedup_table, request.key, std::move(on_finished));
  }
  return decision;
}

void Deduplicator::Complete(const Request& request,
                            ShardEpoch epoch,
                            const AttemptResult& result) {
  std::vector<JoinCallback> joined;
  {
    const std::lock_guard lock(this->mutex);
    if (result.outcome == Outcome::kNotRun) {
      RemoveDispatched(this->dedup_table, request.attempt);
    }
    // A run of an earlier epoch has no entry any more: its shard was failed
    // over, and the new owner decides on its key.
    if (this->own_shards[ShardOf(request.key).Value()].epoch == epoch) {
      joined = FinishKey(this->dedup_table, request.key, request.attempt,
                         result, this->environment.clock->Now());
    }
  }
  Notify(joined, result);
}

Outcome Deduplicator::ResolveAttempt(const Request& request) {
  const ClockReadings readings = this->ReadClocks();
  const std::lock_guard lock(this->mutex);
  if (IsCancelled(this->dedup_table, request.attempt)) {
    return Outcome::kNotRun;
  }
  const OwnShard& shard = this->own_shards[ShardOf(request.key).Value()];
  if (shard.state != ShardState::kServing &&
      shard.state != ShardState::kStopping) {
    return Outcome::kUnknown;
  }
  const DeduplicationEntry* entry = FindKey(this->dedup_table, request.key);
  if (entry != nullptr && entry->fingerprint == request.fingerprint) {
    return entry->state == KeyState::kDone ? Outcome::kRan : Outcome::kUnknown;
  }
  // A missing entry proves that the attempt did not run only for keys that this
  // owner knows completely. An entry with another fingerprint means that the
  // attempt was rejected.
  const bool absence_is_proof =
      WallClockTrusted(readings) &&
      KnowsWhetherKeyRan(shard.keys_known_after, request.key, readings);
  if ((entry == nullptr && !absence_is_proof) ||
      WasDispatched(this->dedup_table, request.attempt) ||
      !CancelAttempt(this->dedup_table, request.attempt, readings.now)) {
    return Outcome::kUnknown;
  }
  return Outcome::kNotRun;
}

bool Deduplicator::HandleGrant(const GrantRequest& request) {
  const std::lock_guard lock(this->mutex);
  if (this->config.decide.variant == Variant::kGrantWhileExpiring) {
    this->grantor.issued[request.holder.node].expired_terms.clear();
  }
  return TryGrant(this->grantor, request, this->environment.clock->Now());
}

void Deduplicator::Leave() {
  const std::lock_guard lock(this->mutex);
  this->leaving = true;
  this->shard_maps[this->config.service].next_read = SteadyTime{};
}

bool Deduplicator::HasLeft() const {
  const std::lock_guard lock(this->mutex);
  return this->has_left;
}

void Deduplicator::Watch(const ServiceName& service) {
  const std::lock_guard lock(this->mutex);
  this->shard_maps[service];
}

void Deduplicator::Refresh(const ServiceName& service) {
  const std::lock_guard lock(this->mutex);
  const auto cached = this->shard_maps.find(service);
  if (cached != this->shard_maps.end()) {
    cached->second.next_read = SteadyTime{};
  }
}

std::optional<NodeRef> Deduplicator::OwnerOf(const ServiceName& service,
                                             const IdempotencyKey& key) const {
  const std::lock_guard lock(this->mutex);
  const auto cached = this->shard_maps.find(service);
  if (cached == this->shard_maps.end() || !cached->second.map) {
    return std::nullopt;
  }
  const NodeRef& owner = cached->second.map->shards[ShardOf(key).Value()].owner;
  if (owner == NodeRef()) {
    return std::nullopt;
  }
  return owner;
}

ShardEpoch Deduplicator::EpochOf(const ServiceName& service,
                                 const IdempotencyKey& key) const {
  const std::lock_guard lock(this->mutex);
  const auto cached = this->shard_maps.find(service);
  if (cached == this->shard_maps.end() || !cached->second.map) {
    return ShardEpoch();
  }
  return cached->second.map->shards[ShardOf(key).Value()].epoch;
}

SteadyTime Deduplicator::AuthorityEnd() const {
  const std::lock_guard lock(this->mutex);
  return this->lease.term.empty() ? SteadyTime{} : this->lease.authority_end;
}

std::size_t Deduplicator::OwnedShards() const {
  const std::lock_guard lock(this->mutex);
  std::size_t count = 0;
  for (const OwnShard& shard : this->own_shards) {
    count += shard.state == ShardState::kNotOwned ? 0 : 1;
  }
  return count;
}

std::optional<Error> Deduplicator::LastStoreError() const {
  const std::lock_guard lock(this->mutex);
  return this->store_error;
}

std::vector<JoinCallback> Deduplicator::ApplyOwnMap(const ShardMap& map) {
  std::vector<JoinCallback> orphaned;
  for (int i = 0; i < kShardCount; ++i) {
    const Shard& shard = map.shards[i];
    OwnShard& own_shard = this->own_shards[i];
    const bool owned = shard.owner == this->config.self.ref;
    // With equal epochs, either nothing has changed, or this node dropped the
    // shard when it lost its lease and must not serve the same epoch again.
    if (owned ? shard.epoch <= own_shard.epoch
              : own_shard.state == ShardState::kNotOwned) {
      continue;
    }
    auto dropped = DropShard(this->dedup_table, ShardId(i));
    std::move(dropped.begin(), dropped.end(), std::back_inserter(orphaned));
    if (!owned) {
      own_shard.state = ShardState::kNotOwned;
      continue;
    }
    own_shard.epoch = shard.epoch;
    own_shard.keys_known_after = shard.keys_known_after;
    own_shard.handoff_epoch = shard.handoff_epoch;
    own_shard.state = shard.handoff_epoch == ShardEpoch()
                          ? ShardState::kServing
                          : ShardState::kLoading;
  }
  return orphaned;
}

void Deduplicator::SetMap(const ServiceName& service,
                          const ShardMap& map,
                          std::uint64_t version) {
  std::vector<JoinCallback> orphaned;
  {
    const std::lock_guard lock(this->mutex);
    CachedMap& cached = this->shard_maps[service];
    cached.map = map;
    cached.version = version;
    if (service == this->config.service && !this->lease.term.empty()) {
      orphaned = this->ApplyOwnMap(map);
    }
  }
  Notify(orphaned, AttemptResult());
}

void Deduplicator::DropOwnership() {
  std::vector<JoinCallback> orphaned;
  {
    const std::lock_guard lock(this->mutex);
    for (int i = 0; i < kShardCount; ++i) {
      auto dropped = DropShard(this->dedup_table, ShardId(i));
      std::move(dropped.begin(), dropped.end(), std::back_inserter(orphaned));
      this->own_shards[i].state = ShardState::kNotOwned;
    }
    this->shard_maps[this->config.service].next_read = SteadyTime{};
  }
  Notify(orphaned, AttemptResult());
}

}  // namespace cassiakeel::once
