#include "cassiakeel/once/shard.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "cassiakeel/base/hash.h"

namespace cassiakeel::once {
namespace {

using Json = nlohmann::json;

constexpr int kFieldsPerShard = 5;

std::int64_t ToMillis(WallTime time) {
  // Rounds up: a later `keys_known_after` covers fewer keys and is therefore
  // safe.
  return std::chrono::ceil<std::chrono::milliseconds>(time.time_since_epoch())
      .count();
}

WallTime FromMillis(std::int64_t millis) {
  return WallTime(std::chrono::milliseconds(millis));
}

std::map<NodeRef, int> CountOwned(const ShardMap& map,
                                  const std::vector<NodeRef>& nodes) {
  std::map<NodeRef, int> counts;
  for (const NodeRef& node : nodes) {
    counts[node] = 0;
  }
  for (const Shard& shard : map.shards) {
    const auto found = counts.find(shard.owner);
    if (found != counts.end()) {
      ++found->second;
    }
  }
  return counts;
}

/// The node with the fewest shards; the lowest id if several are equal.
std::map<NodeRef, int>::iterator LeastLoaded(std::map<NodeRef, int>& counts) {
  return std::min_element(
      counts.begin(), counts.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
}

}  // namespace

ShardId ShardOf(const IdempotencyKey& key) {
  return ShardId(static_cast<int>(StableHash(key.Value()) % kShardCount));
}

std::string ShardRowKey(const ServiceName& service) {
  return "shards/" + service.Value();
}

std::string HandoffObjectKey(const ServiceName& service,
                             ShardId shard,
                             ShardEpoch epoch) {
  return "ledger/" + service.Value() + "/" + std::to_string(shard.Value()) +
         "/" + std::to_string(epoch.Value());
}

std::string FormatShardMap(const ShardMap& map) {
  Json nodes = Json::array();
  std::map<NodeRef, int> index;
  Json shards = Json::array();
  for (const Shard& shard : map.shards) {
    const auto [entry, added] =
        index.emplace(shard.owner, static_cast<int>(index.size()));
    if (added) {
      nodes.push_back(
          {shard.owner.node.Value(), shard.owner.incarnation.Value()});
    }
    shards.push_back({entry->second, shard.epoch.Value(),
                      ToMillis(shard.keys_known_after), shard.clean,
                      shard.handoff_epoch.Value()});
  }
  return Json({{"change", map.change}, {"nodes", nodes}, {"shards", shards}})
      .dump();
}

Result<ShardMap> ParseShardMap(std::string_view json) {
  try {
    const Json row = Json::parse(json);
    const Json& nodes = row.at("nodes");
    const Json& shards = row.at("shards");
    if (shards.size() != kShardCount) {
      return Fail("parse shard map", "wrong number of shards");
    }
    ShardMap map;
    map.change = row.at("change").get<std::string>();
    for (int i = 0; i < kShardCount; ++i) {
      const Json& fields = shards.at(i);
      if (fields.size() != kFieldsPerShard) {
        return Fail("parse shard map", "wrong number of fields");
      }
      const Json& owner = nodes.at(fields.at(0).get<std::size_t>());
      Shard& shard = map.shards[i];
      shard.owner.node = NodeId(owner.at(0).get<std::string>());
      shard.owner.incarnation = Incarnation(owner.at(1).get<std::uint64_t>());
      shard.epoch = ShardEpoch(fields.at(1).get<std::uint64_t>());
      shard.keys_known_after = FromMillis(fields.at(2).get<std::int64_t>());
      shard.clean = fields.at(3).get<bool>();
      shard.handoff_epoch = ShardEpoch(fields.at(4).get<std::uint64_t>());
    }
    return map;
  } catch (const Json::exception& error) {
    return Fail("parse shard map", error.what());
  }
}

ShardMap InitialAssignment(const std::vector<NodeRef>& nodes) {
  ShardMap map;
  for (int i = 0; i < kShardCount; ++i) {
    map.shards[i].owner = nodes[i % nodes.size()];
    map.shards[i].epoch = ShardEpoch(1);
  }
  return map;
}

std::vector<Move> PlanHandoff(const ShardMap& map,
                              const NodeRef& self,
                              const std::vector<NodeRef>& nodes,
                              int limit) {
  std::vector<Move> moves;
  std::map<NodeRef, int> counts = CountOwned(map, nodes);
  if (counts.empty()) {
    return moves;
  }
  for (const ShardId shard : ShardsOf(map, self)) {
    const auto least = LeastLoaded(counts);
    const auto own = counts.find(self);
    const bool leaving = own == counts.end();
    if (static_cast<int>(moves.size()) >= limit ||
        (!leaving && own->second - least->second < 2)) {
      break;
    }
    moves.push_back({shard, least->first});
    ++least->second;
    if (!leaving) {
      --own->second;
    }
  }
  return moves;
}

void ApplyHandoff(ShardMap& map, const Move& move, bool has_handoff_object) {
  Shard& shard = map.shards[move.shard.Value()];
  shard.handoff_epoch = has_handoff_object ? shard.epoch : ShardEpoch();
  shard.owner = move.to;
  shard.epoch = ShardEpoch(shard.epoch.Value() + 1);
  shard.clean = true;
}

bool AssignUnowned(ShardMap& map, const std::vector<NodeRef>& nodes) {
  std::map<NodeRef, int> counts = CountOwned(map, nodes);
  bool assigned = false;
  for (Shard& shard : map.shards) {
    if (shard.owner != NodeRef() || counts.empty()) {
      continue;
    }
    const auto least = LeastLoaded(counts);
    shard.owner = least->first;
    shard.epoch = ShardEpoch(shard.epoch.Value() + 1);
    ++least->second;
    assigned = true;
  }
  return assigned;
}

void ApplyFailover(ShardMap& map,
                   const NodeRef& failed,
                   const std::vector<NodeRef>& nodes,
                   WallTime keys_known_after) {
  std::map<NodeRef, int> counts = CountOwned(map, nodes);
  counts.erase(failed);
  for (const ShardId id : ShardsOf(map, failed)) {
    Shard& shard = map.shards[id.Value()];
    shard.owner = NodeRef();
    if (!counts.empty()) {
      const auto least = LeastLoaded(counts);
      shard.owner = least->first;
      ++least->second;
    }
    shard.epoch = ShardEpoch(shard.epoch.Value() + 1);
    shard.keys_known_after = std::max(shard.keys_known_after, keys_known_after);
    shard.clean = false;
    shard.handoff_epoch = ShardEpoch();
  }
}

std::vector<ShardId> ShardsOf(const ShardMap& map, const NodeRef& node) {
  std::vector<ShardId> owned;
  for (int i = 0; i < kShardCount; ++i) {
    if (map.shards[i].owner == node) {
      owned.emplace_back(i);
    }
  }
  return owned;
}

}  // namespace cassiakeel::once
