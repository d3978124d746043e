// The part of `Deduplicator` that runs on the platform thread and calls the
// store and the lease grantors.

#include <algorithm>
#include <utility>

#include "cassiakeel/once/deduplicator.h"

namespace cassiakeel::once {
namespace {

constexpr std::chrono::seconds kMapReadInterval{30};
/// Interval of map reads while shards are being moved, or while there is no map
/// or no lease.
constexpr std::chrono::seconds kMapReadIntervalWhileMoving{5};
constexpr std::chrono::seconds kLeaseCheckInterval{5};
/// Interval at which a node checks the leases of all owners of its service. 830
/// nodes x 18 leases every 10 minutes are 25 reads/s.
constexpr std::chrono::minutes kAllLeasesCheckInterval{10};

template <typename Value>
Value OrThrow(Result<Value> parsed) {
  if (!parsed) {
    throw platform::PlatformException(parsed.error(), false);
  }
  return std::move(*parsed);
}

}  // namespace

void Deduplicator::Maintain() {
  const std::lock_guard round(this->maintenance_mutex);
  try {
    this->MaintainLease();
    this->MaintainMaps();
    this->LoadShards();
    this->MaintainHandoff();
    this->CheckLeases();
    const std::lock_guard lock(this->mutex);
    this->store_error.reset();
  } catch (const platform::PlatformException& failure) {
    const std::lock_guard lock(this->mutex);
    this->store_error = failure.error();
  }
  const std::lock_guard lock(this->mutex);
  ExpireEntries(this->dedup_table, this->environment.clock->Now());
}

std::optional<std::pair<LeaseRow, std::uint64_t>> Deduplicator::ReadLease(
    const NodeId& node) {
  const auto row = this->environment.table->Get(LeaseRowKey(node));
  if (!row) {
    return std::nullopt;
  }
  return std::pair(OrThrow(ParseLease(row->value)), row->version);
}

void Deduplicator::MaintainLease() {
  const auto nodes = this->environment.nodes();
  const SteadyTime now = this->environment.clock->Now();
  NodeRef chosen;
  {
    const std::lock_guard lock(this->mutex);
    if (this->has_left || now < this->next_lease_action ||
        (this->leaving && this->lease.term.empty()) ||
        !RenewalDue(this->lease, now)) {
      return;
    }
    this->next_lease_action = now + kRenewInterval;
    // Keeps the same lease grantor while it is alive, because only that process
    // knows which grants it gave.
    chosen = this->lease.grantor;
  }
  const bool alive =
      std::any_of(nodes.begin(), nodes.end(),
                  [&](const ServiceNode& node) { return node.ref == chosen; });
  if (!alive) {
    chosen = ChooseGrantor(this->config.self, nodes).value_or(NodeRef());
    // The first request makes the grantor observe this lease.
    if (chosen != NodeRef() &&
        !this->environment.request_grant(
            {this->config.self.ref, chosen, std::string()})) {
      chosen = NodeRef();
    }
  }
  try {
    this->RenewInStore(chosen);
  } catch (const platform::PlatformException&) {
    this->RequestGrants();
    throw;
  }
}

void Deduplicator::RenewInStore(const NodeRef& chosen) {
  LeaseRow next;
  std::uint64_t version = 0;
  bool resolved = true;
  {
    const std::lock_guard lock(this->mutex);
    resolved = this->lease.pending.empty();
    version = this->lease.version;
  }
  if (version == 0 || !resolved) {
    const auto row = this->ReadLease(this->config.self.ref.node);
    const bool had_lease = version != 0;
    bool lost = false;
    {
      const std::lock_guard lock(this->mutex);
      if (row) {
        ApplyLeaseRow(this->lease, row->first, row->second);
        version = row->second;
      }
      lost = had_lease && this->lease.term.empty();
    }
    if (lost) {
      this->DropOwnership();
    }
    if (row && !row->first.ended &&
        row->first.holder != this->config.self.ref) {
      // An earlier process of this node may still be running, so its lease has
      // to expire first.
      const std::lock_guard lock(this->mutex);
      this->predecessor_holds_lease = true;
      return;
    }
  }
  const SteadyTime sent = this->environment.clock->Now();
  {
    const std::lock_guard lock(this->mutex);
    this->predecessor_holds_lease = false;
    next = NextLeaseRow(this->lease, this->config.service, chosen,
                        this->environment.make_id());
    RecordRenewal(this->lease, next, sent);
  }
  const platform::Commit commit = this->environment.table->Transact(
      {{LeaseRowKey(this->config.self.ref.node), FormatLease(next), version}});
  std::optional<LeaseRow> seen;
  if (commit.applied) {
    seen = next;
    version = commit.versions.at(0);
  } else if (const auto row = this->ReadLease(this->config.self.ref.node)) {
    seen = row->first;
    version = row->second;
  }
  bool lost = false;
  {
    const std::lock_guard lock(this->mutex);
    if (this->config.decide.variant == Variant::kCountFromAnswer) {
      for (PendingRenewal& renewal : this->lease.pending) {
        renewal.sent = this->environment.clock->Now();
      }
    }
    const bool had_lease = !this->lease.term.empty();
    ApplyLeaseRow(this->lease, seen, version);
    lost = had_lease && this->lease.term.empty();
  }
  if (lost) {
    this->DropOwnership();
  }
}

void Deduplicator::RequestGrants() {
  std::vector<NodeRef> required;
  std::string term;
  {
    const std::lock_guard lock(this->mutex);
    required = RequiredGrantors(this->lease);
    term = this->lease.term;
  }
  if (term.empty()) {
    return;
  }
  for (const NodeRef& node : required) {
    const GrantRequest request{this->config.self.ref, node, term};
    SteadyTime sent = this->environment.clock->Now();
    if (node == NodeRef() || !this->environment.request_grant(request)) {
      continue;
    }
    if (this->config.decide.variant == Variant::kCountFromAnswer) {
      sent = this->environment.clock->Now();
    }
    const std::lock_guard lock(this->mutex);
    RecordGrant(this->lease, request, sent);
  }
}

void Deduplicator::ReadMap(const ServiceName& service) {
  const auto row = this->environment.table->Get(ShardRowKey(service));
  if (row) {
    this->SetMap(service, OrThrow(ParseShardMap(row->value)), row->version);
  }
}

void Deduplicator::MaintainMaps() {
  std::vector<ServiceName> due;
  bool moving = false;
  {
    const std::lock_guard lock(this->mutex);
    const SteadyTime now = this->environment.clock->Now();
    moving = this->leaving ||
             std::any_of(this->own_shards.begin(), this->own_shards.end(),
                         [](const OwnShard& shard) {
                           return shard.state == ShardState::kStopping;
                         });
    for (auto& [service, cached] : this->shard_maps) {
      if (now >= cached.next_read) {
        due.push_back(service);
      }
    }
  }
  for (const ServiceName& service : due) {
    const bool own_service = service == this->config.service;
    this->ReadMap(service);
    bool exists = false;
    bool leased = false;
    {
      const std::lock_guard lock(this->mutex);
      CachedMap& cached = this->shard_maps[service];
      exists = cached.map.has_value();
      leased = !this->lease.term.empty();
      cached.last_read = this->environment.clock->Now();
      cached.next_read =
          cached.last_read + (exists && !(own_service && (moving || !leased))
                                  ? kMapReadInterval
                                  : kMapReadIntervalWhileMoving);
    }
    if (own_service && leased) {
      if (exists) {
        this->AssignUnownedShards();
      } else {
        this->CreateMap();
      }
    }
  }
}

std::vector<NodeRef> Deduplicator::NodesWithLease(const NodeId& except) {
  std::vector<NodeRef> leased;
  std::vector<ServiceNode> nodes = this->environment.nodes();
  bool self_stays = false;
  {
    const std::lock_guard lock(this->mutex);
    self_stays = !this->leaving && !this->lease.term.empty();
  }
  std::erase_if(nodes, [&](const ServiceNode& node) {
    return node.ref.node == this->config.self.ref.node;
  });
  if (self_stays) {
    leased.push_back(this->config.self.ref);
  }
  for (const ServiceNode& node : nodes) {
    if (node.ref.node == except) {
      continue;
    }
    const auto lease_row = this->ReadLease(node.ref.node);
    if (lease_row && !lease_row->first.ended &&
        lease_row->first.holder == node.ref &&
        lease_row->first.service == this->config.service) {
      leased.push_back(node.ref);
    }
  }
  return leased;
}

void Deduplicator::CreateMap() {
  const std::vector<NodeRef> nodes = this->NodesWithLease(NodeId());
  if (nodes.empty()) {
    return;
  }
  ShardMap map = InitialAssignment(nodes);
  map.change = this->environment.make_id();
  const platform::Commit commit = this->environment.table->Transact(
      {{ShardRowKey(this->config.service), FormatShardMap(map), 0}});
  if (commit.applied) {
    this->SetMap(this->config.service, map, commit.versions.at(0));
  }
}

void Deduplicator::AssignUnownedShards() {
  ShardMap map;
  std::uint64_t version = 0;
  {
    const std::lock_guard lock(this->mutex);
    const CachedMap& cached = this->shard_maps[this->config.service];
    map = *cached.map;
    version = cached.version;
  }
  if (ShardsOf(map, NodeRef()).empty() ||
      !AssignUnowned(map, this->NodesWithLease(NodeId()))) {
    return;
  }
  map.change = this->environment.make_id();
  const platform::Commit commit = this->environment.table->Transact(
      {{ShardRowKey(this->config.service), FormatShardMap(map), version}});
  if (commit.applied) {
    this->SetMap(this->config.service, map, commit.versions.at(0));
  }
}

void Deduplicator::LoadShards() {
  for (int i = 0; i < kShardCount; ++i) {
    OwnShard shard;
    {
      const std::lock_guard lock(this->mutex);
      shard = this->own_shards[i];
    }
    if (shard.state != ShardState::kLoading) {
      continue;
    }
    const auto bytes = this->environment.objects->Get(HandoffObjectKey(
        this->config.service, ShardId(i), shard.handoff_epoch));
    if (!bytes) {
      continue;
    }
    {
      const std::lock_guard lock(this->mutex);
      const auto imported = ImportShard(this->dedup_table, ShardId(i), *bytes,
                                        this->environment.clock->Now());
      if (imported && this->own_shards[i].epoch == shard.epoch) {
        this->own_shards[i].state = ShardState::kServing;
      }
    }
    this->MaintainLease();
  }
}

void Deduplicator::CheckLeases() {
  std::vector<NodeId> due;
  {
    const std::lock_guard lock(this->mutex);
    const SteadyTime now = this->environment.clock->Now();
    const bool expire_without_grantor =
        this->config.decide.variant == Variant::kExpireWithoutGrantor;
    if (now >= this->next_lease_check) {
      this->next_lease_check = now + kLeaseCheckInterval;
      for (const auto& [node, issued] : this->grantor.issued) {
        due.push_back(node);
      }
      if (this->predecessor_holds_lease) {
        due.push_back(this->config.self.ref.node);
      }
    }
    const auto& map = this->shard_maps[this->config.service].map;
    if (map && (now >= this->next_all_leases_check || expire_without_grantor)) {
      this->next_all_leases_check = now + kAllLeasesCheckInterval;
      for (const Shard& shard : map->shards) {
        due.push_back(shard.owner.node);
      }
    }
  }
  std::sort(due.begin(), due.end());
  due.erase(std::unique(due.begin(), due.end()), due.end());
  for (const NodeId& node : due) {
    if (node == NodeId()) {
      continue;
    }
    const auto row = this->ReadLease(node);
    bool may_expire = false;
    if (row && row->first.service == this->config.service &&
        row->first.holder != this->config.self.ref) {
      const std::lock_guard lock(this->mutex);
      const SteadyTime now = this->environment.clock->Now();
      ObserveLease(this->grantor, row->first, row->second, now);
      may_expire = MayExpire(
          this->grantor, node, now,
          this->config.decide.variant == Variant::kExpireWithoutGrantor
              ? SteadyTime::duration(kExpireAfter)
              : SteadyTime::duration(kExpireByNonGrantorAfter));
    }
    if (may_expire) {
      this->ExpireLease(node);
    }
    this->MaintainLease();
  }
}

void Deduplicator::ExpireLease(const NodeId& holder) {
  this->ReadMap(this->config.service);
  const std::vector<NodeRef> nodes = this->NodesWithLease(holder);
  const ClockReadings readings = this->ReadClocks();
  const auto keys_known_after =
      KeysKnownAfterFailover(readings, this->config.decide.variant);
  std::vector<platform::Write> writes;
  {
    const std::lock_guard lock(this->mutex);
    const CachedMap& cached = this->shard_maps[this->config.service];
    const auto non_grantor_timeout =
        this->config.decide.variant == Variant::kExpireWithoutGrantor
            ? SteadyTime::duration(kExpireAfter)
            : SteadyTime::duration(kExpireByNonGrantorAfter);
    if (!keys_known_after || !cached.map ||
        !MayExpire(this->grantor, holder, readings.now, non_grantor_timeout)) {
      return;
    }
    BeginExpiry(this->grantor, holder, readings.now);
    const ObservedLease& observed = this->grantor.observed.at(holder);
    LeaseRow ended = observed.row;
    ended.ended = true;
    ended.change = this->environment.make_id();
    ShardMap map = *cached.map;
    ApplyFailover(map, ended.holder, nodes, *keys_known_after);
    map.change = ended.change;
    writes = {{LeaseRowKey(holder), FormatLease(ended), observed.version},
              {ShardRowKey(this->config.service), FormatShardMap(map),
               cached.version}};
  }
  this->environment.table->Transact(writes);
  this->ReadMap(this->config.service);
}

}  // namespace cassiakeel::once
