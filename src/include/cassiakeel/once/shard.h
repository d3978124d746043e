#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cassiakeel/base/clock.h"
#include "cassiakeel/base/error.h"
#include "cassiakeel/base/strong.h"

namespace cassiakeel::once {

/// Index of a key shard of a service, 0 to `kShardCount` - 1.
using ShardId = Strong<int, struct ShardIdTag>;
/// Incremented with each change of a shard's owner.
using ShardEpoch = Strong<std::uint64_t, struct ShardEpochTag>;

/// Key shards per service. Must not change, because the shard of a key must
/// never change.
inline constexpr int kShardCount = 64;

/// One process of a node. A replacement on the same address has the same id and
/// a higher incarnation, and does not inherit ownership.
struct NodeRef {
  NodeId node;
  Incarnation incarnation;

  // clang-tidy takes the zero of the rewritten comparisons for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const NodeRef&, const NodeRef&) = default;
  friend bool operator==(const NodeRef&, const NodeRef&) = default;
};

/// A live node of a service, from the membership.
struct ServiceNode {
  NodeRef ref;
  ZoneName zone;
};

/// Ownership of one key shard.
struct Shard {
  /// Empty when the last node of the service left; see `AssignUnowned`.
  NodeRef owner;
  ShardEpoch epoch;
  /// The owner knows every key issued after this wall time. The clock's epoch
  /// means that it knows every key.
  WallTime keys_known_after{};
  /// The last change of owner was a planned handoff.
  bool clean = true;
  /// Epoch whose owner wrote a handoff object with the deduplication table.
  /// This owner must read it before serving the shard; 0 for none.
  ShardEpoch handoff_epoch;

  friend bool operator==(const Shard&, const Shard&) = default;
};

/// The row `shards/<service>`.
struct ShardMap {
  std::array<Shard, kShardCount> shards;
  /// Id of the write that produced this value. It identifies the write when its
  /// response was lost and the row is read back.
  std::string change;

  friend bool operator==(const ShardMap&, const ShardMap&) = default;
};

/// One planned change of owner.
struct Move {
  ShardId shard;
  NodeRef to;
};

/// Shard of a key. The same on every node and in every release.
ShardId ShardOf(const IdempotencyKey& key);

std::string ShardRowKey(const ServiceName& service);
/// Name of the object that contains the deduplication table of a shard at the
/// end of `epoch`. Each epoch has one owner, so each object has one writer.
std::string HandoffObjectKey(const ServiceName& service,
                             ShardId shard,
                             ShardEpoch epoch);

/// JSON of the row. Owners are listed once and referred to by index, which
/// keeps the row near 2 KB.
std::string FormatShardMap(const ShardMap& map);
Result<ShardMap> ParseShardMap(std::string_view json);

/// Assigns the shards of a new service evenly. `nodes` must not be empty. No
/// key has run before, so every owner knows all keys.
ShardMap InitialAssignment(const std::vector<NodeRef>& nodes);

/// Planned moves of shards from `self` to other nodes, at most `limit`, after
/// which the shard counts of the nodes differ by at most one. A node that is
/// not in `nodes` is leaving and hands over all its shards.
std::vector<Move> PlanHandoff(const ShardMap& map,
                              const NodeRef& self,
                              const std::vector<NodeRef>& nodes,
                              int limit);

/// Records a planned handoff. `keys_known_after` is unchanged, because the new
/// owner knows exactly what the previous owner knew. `has_handoff_object` says
/// that an object was written for the epoch that ends. The receiver may be the
/// empty node when no other is left. It may also be the owner itself, which
/// invalidates its own earlier handoff writes.
void ApplyHandoff(ShardMap& map, const Move& move, bool has_handoff_object);

/// Assigns shards without an owner to the least loaded of `nodes`. True when
/// there were any.
bool AssignUnowned(ShardMap& map, const std::vector<NodeRef>& nodes);

/// Records an unclean failover: the shards of `failed` move to the least loaded
/// of `nodes`, which know only keys issued after `keys_known_after`. With empty
/// `nodes` the shards have no owner until `AssignUnowned`.
void ApplyFailover(ShardMap& map,
                   const NodeRef& failed,
                   const std::vector<NodeRef>& nodes,
                   WallTime keys_known_after);

/// Shards owned by `node`.
std::vector<ShardId> ShardsOf(const ShardMap& map, const NodeRef& node);

}  // namespace cassiakeel::once
