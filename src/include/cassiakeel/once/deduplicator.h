#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "cassiakeel/base/clock.h"
#include "cassiakeel/base/error.h"
#include "cassiakeel/once/decide.h"
#include "cassiakeel/once/deduplication_table.h"
#include "cassiakeel/once/lease.h"
#include "cassiakeel/once/shard.h"
#include "cassiakeel/platform/platform.h"

namespace cassiakeel::once {

/// Identity and limits of a `Deduplicator`.
struct DeduplicatorConfig {
  /// The node, its availability zone and the service of its backend server.
  ServiceNode self;
  ServiceName service;
  DecideSettings decide;
  DeduplicationLimits limits;
};

/// Dependencies of a `Deduplicator`. All pointers and functions must outlive
/// it. The functions are called without locks held.
struct DeduplicatorEnvironment {
  const Clock* clock = nullptr;
  platform::Table* table = nullptr;
  platform::ObjectStore* objects = nullptr;
  /// Live nodes of the node's own service that are not leaving.
  std::function<std::vector<ServiceNode>()> nodes;
  /// Last measured difference of the wall clock; empty until first measured. A
  /// node that is configured without peers reports 0.
  std::function<std::optional<WallOffset>()> wall_offset;
  /// Requests a grant from a lease grantor, blocking for at most one second.
  /// True only for a positive response to this request.
  std::function<bool(const GrantRequest&)> request_grant;
  /// Creates a unique id, for example 32 random hex digits.
  std::function<std::string()> make_id;
};

/// Runs each idempotency key of the node's own service at most once.
///
/// Traffic threads call `Begin` before a non-idempotent call is dispatched and
/// `Complete` afterwards. The platform thread calls `Maintain` about once a
/// second; it blocks on the store. The RPC server calls `HandleGrant`. All
/// functions are thread-safe. Locks are held only for short computations, never
/// during a call to the platform or to another node.
class Deduplicator {
 public:
  static Result<std::unique_ptr<Deduplicator>> Create(
      DeduplicatorConfig config,
      DeduplicatorEnvironment environment);

  /// Decides on a call to the node's own service. For `Action::kRun` the caller
  /// dispatches it with `Decision::expires` and must call `Complete`. For
  /// `Action::kJoin`, `on_finished` is called when the running attempt ends, on
  /// the thread that reports the end.
  Decision Begin(const Request& request, JoinCallback on_finished);

  /// Reports the end of a run. `epoch` is `Decision::epoch`.
  void Complete(const Request& request,
                ShardEpoch epoch,
                const AttemptResult& result);

  /// Outcome of an attempt, for a node that lost its connection during the
  /// call. If the attempt has not arrived here, it is rejected from now on and
  /// the result is `kNotRun`.
  Outcome ResolveAttempt(const Request& request);

  /// Handles a grant request of another lease holder.
  bool HandleGrant(const GrantRequest& request);

  /// Runs one round of lease renewals, reads, handoffs and expiries. Platform
  /// failures are stored in `LastStoreError` and retried in later rounds.
  void Maintain();

  /// Starts to hand over all shards; later calls of `Maintain` complete it.
  void Leave();
  /// True when all shards are handed over and the lease is released.
  bool HasLeft() const;

  /// Keeps the shard map of another service up to date for `OwnerOf`.
  void Watch(const ServiceName& service);
  /// Reads the map of the service in the next round. Call it after a rejection
  /// by a node that is not the owner.
  void Refresh(const ServiceName& service);
  /// Owner of the key's shard according to the last map read; empty when
  /// unknown.
  std::optional<NodeRef> OwnerOf(const ServiceName& service,
                                 const IdempotencyKey& key) const;
  /// Epoch of the shard returned by `OwnerOf`, for the `Cassiakeel-Owner`
  /// header.
  ShardEpoch EpochOf(const ServiceName& service,
                     const IdempotencyKey& key) const;

  /// End of this node's authority, for metrics.
  SteadyTime AuthorityEnd() const;
  std::size_t OwnedShards() const;
  std::optional<Error> LastStoreError() const;

 private:
  struct OwnShard {
    ShardState state = ShardState::kNotOwned;
    ShardEpoch epoch;
    WallTime keys_known_after{};
    ShardEpoch handoff_epoch;
  };
  struct CachedMap {
    std::optional<ShardMap> map;
    std::uint64_t version = 0;
    SteadyTime next_read{};
    SteadyTime last_read{};
  };

  Deduplicator(DeduplicatorConfig config, DeduplicatorEnvironment environment);

  ClockReadings ReadClocks() const;
  /// Steps of `Maintain`, in order; each may throw `PlatformException`.
  void MaintainLease();
  void RenewInStore(const NodeRef& grantor);
  void RequestGrants();
  void MaintainMaps();
  void CreateMap();
  void AssignUnownedShards();
  void LoadShards();
  void MaintainHandoff();
  std::vector<ShardId> ShardsToMove();
  void StopShards();
  std::vector<ShardId> WriteHandoffObjects();
  void WriteHandoff(const std::vector<ShardId>& stopped);
  void EndLease();
  void CheckLeases();
  void ExpireLease(const NodeId& holder);

  /// Reads a shard map from the store and applies it.
  void ReadMap(const ServiceName& service);
  void SetMap(const ServiceName& service,
              const ShardMap& map,
              std::uint64_t version);
  /// Applies the map of the node's own service to `own_shards`. The caller
  /// holds `mutex`. Returns the callbacks of requests that joined runs in
  /// shards which are no longer owned.
  std::vector<JoinCallback> ApplyOwnMap(const ShardMap& map);
  void DropOwnership();
  /// Live nodes that hold a lease, read from their rows. Call it after reading
  /// the shard map: a lease always ends in the same transaction as a write of
  /// that map, so a conditional write of the map fails if a lease ended in
  /// between.
  std::vector<NodeRef> NodesWithLease(const NodeId& except);
  std::optional<std::pair<LeaseRow, std::uint64_t>> ReadLease(
      const NodeId& node);

  const DeduplicatorConfig config;
  const DeduplicatorEnvironment environment;

  /// Serializes `Maintain`.
  std::mutex maintenance_mutex;
  /// Guards everything below.
  mutable std::mutex mutex;
  DeduplicationTable dedup_table;
  LeaseHolder lease;
  LeaseGrantor grantor;
  std::array<OwnShard, kShardCount> own_shards;
  std::map<ServiceName, CachedMap> shard_maps;
  /// The lease row of this node still belongs to an earlier process.
  bool predecessor_holds_lease = false;
  SteadyTime next_lease_action{};
  SteadyTime next_balance{};
  SteadyTime next_lease_check{};
  SteadyTime next_all_leases_check{};
  bool leaving = false;
  bool has_left = false;
  std::optional<Error> store_error;
};

}  // namespace cassiakeel::once
