#include "cassiakeel/once/deduplication_table.h"

#include <nlohmann/json.hpp>

namespace cassiakeel::once {
namespace {

using Json = nlohmann::json;

std::size_t SizeOf(const StoredResponse& response) {
  std::size_t bytes = sizeof(StoredResponse) + response.body.size();
  for (const auto& [name, value] : response.headers) {
    bytes += name.size() + value.size();
  }
  return bytes;
}

DeduplicationEntry* Find(DeduplicationTable& table,
                         ShardId shard,
                         const std::string& key) {
  auto& entries = table.shards[shard.Value()];
  const auto found = entries.find(key);
  return found == entries.end() ? nullptr : &found->second;
}

void ReleaseResponse(DeduplicationTable& table, DeduplicationEntry& entry) {
  if (entry.response) {
    table.response_bytes -= SizeOf(*entry.response);
    entry.response.reset();
  }
}

void EvictResponses(DeduplicationTable& table) {
  while (table.response_bytes > table.limits.response_bytes &&
         !table.response_order.empty()) {
    const auto& oldest = table.response_order.front();
    DeduplicationEntry* entry = Find(table, oldest.shard, oldest.key);
    if (entry != nullptr) {
      ReleaseResponse(table, *entry);
    }
    table.response_order.pop_front();
  }
}

/// Adds a finished entry to the retention queues and evicts old responses.
void TrackRetention(DeduplicationTable& table,
                    ShardId shard,
                    const std::string& key,
                    DeduplicationEntry& entry) {
  table.finish_order.push_back({entry.finished_at, shard, key});
  if (entry.response) {
    table.response_bytes += SizeOf(*entry.response);
    table.response_order.push_back({entry.finished_at, shard, key});
    EvictResponses(table);
  }
}

bool AddAttempt(AttemptTable& table, const AttemptId& attempt, SteadyTime now) {
  const bool added = table.added.emplace(attempt.Value(), now).second;
  if (added) {
    table.insertion_order.emplace_back(now, attempt.Value());
  }
  return added;
}

void ExpireAttempts(AttemptTable& table,
                    SteadyTime now,
                    SteadyTime::duration retention) {
  while (!table.insertion_order.empty() &&
         now - table.insertion_order.front().first >= retention) {
    table.added.erase(table.insertion_order.front().second);
    table.insertion_order.pop_front();
  }
}

Json ToJson(const std::string& key,
            const DeduplicationEntry& entry,
            SteadyTime now) {
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - entry.finished_at);
  Json json = {{"key", key},
               {"unknown", entry.state == KeyState::kUnknown},
               {"fingerprint", entry.fingerprint},
               {"attempt", entry.attempt.Value()},
               {"reason", ReasonName(entry.reason)},
               {"age", age.count()}};
  if (entry.response) {
    json["status"] = entry.response->status;
    json["headers"] = entry.response->headers;
    json["body"] = Json::binary(
        {entry.response->body.begin(), entry.response->body.end()});
  }
  return json;
}

DeduplicationEntry FromJson(const Json& json, SteadyTime now) {
  DeduplicationEntry entry;
  entry.state =
      json.at("unknown").get<bool>() ? KeyState::kUnknown : KeyState::kDone;
  entry.fingerprint = json.at("fingerprint").get<std::uint64_t>();
  entry.attempt = AttemptId(json.at("attempt").get<std::string>());
  entry.reason =
      ParseReason(json.at("reason").get<std::string>()).value_or(Reason::kNone);
  entry.finished_at =
      now - std::chrono::milliseconds(json.at("age").get<std::int64_t>());
  if (json.contains("status")) {
    StoredResponse response;
    response.status = json.at("status").get<int>();
    response.headers =
        json.at("headers")
            .get<std::vector<std::pair<std::string, std::string>>>();
    const auto& body = json.at("body").get_binary();
    response.body.assign(body.begin(), body.end());
    entry.response = std::make_shared<const StoredResponse>(response);
  }
  return entry;
}

}  // namespace

const DeduplicationEntry* FindKey(const DeduplicationTable& table,
                                  const IdempotencyKey& key) {
  const auto& entries = table.shards[ShardOf(key).Value()];
  const auto found = entries.find(key.Value());
  return found == entries.end() ? nullptr : &found->second;
}

bool HasRoom(const DeduplicationTable& table) {
  return table.entries < table.limits.entries &&
         table.dispatched.insertion_order.size() <
             table.limits.dispatched_attempts;
}

void StartKey(DeduplicationTable& table,
              const IdempotencyKey& key,
              std::uint64_t fingerprint,
              const AttemptId& attempt) {
  const ShardId shard = ShardOf(key);
  DeduplicationEntry entry;
  entry.fingerprint = fingerprint;
  entry.attempt = attempt;
  table.shards[shard.Value()].emplace(key.Value(), std::move(entry));
  ++table.entries;
  ++table.running[shard.Value()];
}

void JoinKey(DeduplicationTable& table,
             const IdempotencyKey& key,
             JoinCallback callback) {
  DeduplicationEntry* entry = Find(table, ShardOf(key), key.Value());
  if (entry != nullptr && callback) {
    entry->joined.push_back(std::move(callback));
  }
}

std::vector<JoinCallback> FinishKey(DeduplicationTable& table,
                                    const IdempotencyKey& key,
                                    const AttemptId& attempt,
                                    const AttemptResult& result,
                                    SteadyTime now) {
  const ShardId shard = ShardOf(key);
  DeduplicationEntry* entry = Find(table, shard, key.Value());
  if (entry == nullptr || entry->state != KeyState::kRunning ||
      entry->attempt != attempt) {
    return {};
  }
  std::vector<JoinCallback> joined = std::move(entry->joined);
  entry->joined.clear();
  --table.running[shard.Value()];
  if (result.outcome == Outcome::kNotRun) {
    table.shards[shard.Value()].erase(key.Value());
    --table.entries;
    return joined;
  }
  entry->state =
      result.outcome == Outcome::kRan ? KeyState::kDone : KeyState::kUnknown;
  entry->reason = result.reason;
  entry->finished_at = now;
  if (result.response && result.response->body.size() <= kMaxStoredBody) {
    entry->response = result.response;
  }
  TrackRetention(table, shard, key.Value(), *entry);
  return joined;
}

bool CancelAttempt(DeduplicationTable& table,
                   const AttemptId& attempt,
                   SteadyTime now) {
  if (IsCancelled(table, attempt)) {
    return true;
  }
  if (table.cancelled.added.size() >= table.limits.cancelled_attempts) {
    return false;
  }
  return AddAttempt(table.cancelled, attempt, now);
}

bool IsCancelled(const DeduplicationTable& table, const AttemptId& attempt) {
  return table.cancelled.added.contains(attempt.Value());
}

void RecordDispatched(DeduplicationTable& table,
                      const AttemptId& attempt,
                      SteadyTime now) {
  AddAttempt(table.dispatched, attempt, now);
}

bool WasDispatched(const DeduplicationTable& table, const AttemptId& attempt) {
  return table.dispatched.added.contains(attempt.Value());
}

void RemoveDispatched(DeduplicationTable& table, const AttemptId& attempt) {
  table.dispatched.added.erase(attempt.Value());
}

void ExpireEntries(DeduplicationTable& table, SteadyTime now) {
  while (!table.finish_order.empty() &&
         now - table.finish_order.front().at >= kKeyRetention) {
    const auto& oldest = table.finish_order.front();
    DeduplicationEntry* entry = Find(table, oldest.shard, oldest.key);
    // The shard may have been handed over and back, so that the key has a newer
    // entry.
    if (entry != nullptr && entry->state != KeyState::kRunning &&
        now - entry->finished_at >= kKeyRetention) {
      ReleaseResponse(table, *entry);
      table.shards[oldest.shard.Value()].erase(oldest.key);
      --table.entries;
    }
    table.finish_order.pop_front();
  }
  ExpireAttempts(table.cancelled, now, kCancelledAttemptRetention);
  ExpireAttempts(table.dispatched, now, kDispatchedAttemptRetention);
}

std::vector<JoinCallback> DropShard(DeduplicationTable& table, ShardId shard) {
  std::vector<JoinCallback> joined;
  auto& entries = table.shards[shard.Value()];
  for (auto& [key, entry] : entries) {
    ReleaseResponse(table, entry);
    std::move(entry.joined.begin(), entry.joined.end(),
              std::back_inserter(joined));
  }
  table.entries -= entries.size();
  table.running[shard.Value()] = 0;
  entries.clear();
  return joined;
}

std::string ExportShard(const DeduplicationTable& table,
                        ShardId shard,
                        SteadyTime now) {
  Json exported = Json::array();
  for (const auto& [key, entry] : table.shards[shard.Value()]) {
    exported.push_back(ToJson(key, entry, now));
  }
  const std::vector<std::uint8_t> bytes = Json::to_cbor(exported);
  return {bytes.begin(), bytes.end()};
}

Result<bool> ImportShard(DeduplicationTable& table,
                         ShardId shard,
                         std::string_view bytes,
                         SteadyTime now) {
  std::vector<std::pair<std::string, DeduplicationEntry>> imported;
  try {
    for (const Json& json : Json::from_cbor(bytes.begin(), bytes.end())) {
      imported.emplace_back(json.at("key").get<std::string>(),
                            FromJson(json, now));
    }
  } catch (const Json::exception& error) {
    return Fail("read handoff object", error.what());
  }
  for (auto& [key, entry] : imported) {
    const auto [place, added] =
        table.shards[shard.Value()].emplace(key, std::move(entry));
    if (added) {
      ++table.entries;
      TrackRetention(table, shard, key, place->second);
    }
  }
  return true;
}

}  // namespace cassiakeel::once
