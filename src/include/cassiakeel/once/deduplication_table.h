#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cassiakeel/base/clock.h"
#include "cassiakeel/base/error.h"
#include "cassiakeel/base/outcome.h"
#include "cassiakeel/once/shard.h"

namespace cassiakeel::once {

/// How long a finished key is remembered. Callers must not retry a key after
/// this time.
inline constexpr std::chrono::hours kKeyRetention{24};
/// Maximum size of a response body that is stored for replay.
inline constexpr std::size_t kMaxStoredBody = 64UL * 1024;
/// Maximum length of an idempotency key, which bounds the size of an entry.
inline constexpr std::size_t kMaxKeyLength = 255;
/// How long an attempt that was reported as not run stays rejected. Longer than
/// the lifetime of any connection that carried it.
inline constexpr std::chrono::hours kCancelledAttemptRetention{1};

/// How long a dispatched attempt is remembered independently of its key. Longer
/// than the time in which an HTTP client resends a request on another
/// connection.
inline constexpr std::chrono::minutes kDispatchedAttemptRetention{10};

/// Response of a backend server, stored for replay.
struct StoredResponse {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

/// Result of an attempt. `response` is null when there is none or when it is no
/// longer stored; `Outcome::kRan` is valid without it.
struct AttemptResult {
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  std::shared_ptr<const StoredResponse> response;
};

/// Receives the result of the attempt that a retransmitted request joined.
using JoinCallback = std::function<void(const AttemptResult&)>;

/// State of a key. A key that is known not to have run has no entry and may run
/// like a key that was never seen.
enum class KeyState {
  kRunning,
  kDone,
  /// Dispatched, but it cannot be proved whether it ran. Never dispatched
  /// again.
  kUnknown,
};

struct DeduplicationEntry {
  KeyState state = KeyState::kRunning;
  std::uint64_t fingerprint = 0;
  AttemptId attempt;
  Reason reason = Reason::kNone;
  SteadyTime finished_at{};
  std::shared_ptr<const StoredResponse> response;
  std::vector<JoinCallback> joined;
};

/// Memory limits of a deduplication table. At 10 submissions/s, one day fills
/// 864,000 entries of about 200 bytes.
struct DeduplicationLimits {
  std::size_t entries = 500'000;
  std::size_t response_bytes = 48UL * 1024 * 1024;
  std::size_t cancelled_attempts = 50'000;
  std::size_t dispatched_attempts = 50'000;
};

/// Attempts with the time at which each was added.
struct AttemptTable {
  std::unordered_map<std::string, SteadyTime> added;
  std::deque<std::pair<SteadyTime, std::string>> insertion_order;
};

/// Deduplication table of all shards of a node.
///
/// Memory is bounded by three rules. Entries are kept until `kKeyRetention`
/// after they finished; when the table is full, new keys are rejected as not
/// run. Stored responses are evicted oldest first; a retransmission then learns
/// that the work ran, without its response. Cancelled attempts are not removed
/// early; when there are too many, an attempt that was never seen is reported
/// as unknown instead of being cancelled.
struct DeduplicationTable {
  struct TimedKey {
    SteadyTime at;
    ShardId shard;
    std::string key;
  };

  DeduplicationLimits limits;
  std::array<std::unordered_map<std::string, DeduplicationEntry>, kShardCount>
      shards;
  std::array<int, kShardCount> running{};
  std::size_t entries = 0;
  std::size_t response_bytes = 0;
  std::deque<TimedKey> finish_order;
  std::deque<TimedKey> response_order;
  AttemptTable cancelled;
  AttemptTable dispatched;
};

/// Entry of a key, or null.
const DeduplicationEntry* FindKey(const DeduplicationTable& table,
                                  const IdempotencyKey& key);

/// True when there is room for one more key and its attempt.
bool HasRoom(const DeduplicationTable& table);

/// Records that `attempt` of a key without an entry is about to be dispatched.
void StartKey(DeduplicationTable& table,
              const IdempotencyKey& key,
              std::uint64_t fingerprint,
              const AttemptId& attempt);

/// Registers a retransmitted request for the result of the running attempt of
/// its key.
void JoinKey(DeduplicationTable& table,
             const IdempotencyKey& key,
             JoinCallback callback);

/// Records the end of `attempt`. Does nothing if the entry belongs to another
/// attempt. Returns the callbacks of joined requests; call them without locks
/// held.
std::vector<JoinCallback> FinishKey(DeduplicationTable& table,
                                    const IdempotencyKey& key,
                                    const AttemptId& attempt,
                                    const AttemptResult& result,
                                    SteadyTime now);

/// Ensures that `attempt`, which has not arrived yet, is rejected when it
/// arrives later. False when the table of cancelled attempts is full.
bool CancelAttempt(DeduplicationTable& table,
                   const AttemptId& attempt,
                   SteadyTime now);
bool IsCancelled(const DeduplicationTable& table, const AttemptId& attempt);

/// Records that `attempt` was dispatched here. An HTTP client may resend its
/// request when the connection breaks; that copy may arrive after the shard has
/// been handed over and must not be reported as not run.
void RecordDispatched(DeduplicationTable& table,
                      const AttemptId& attempt,
                      SteadyTime now);
bool WasDispatched(const DeduplicationTable& table, const AttemptId& attempt);
/// Removes an attempt that is known not to have run.
void RemoveDispatched(DeduplicationTable& table, const AttemptId& attempt);

/// Removes entries and attempts that are older than their retention.
void ExpireEntries(DeduplicationTable& table, SteadyTime now);

/// Removes all entries of a shard that this node no longer owns. Returns the
/// callbacks of joined requests, which receive `Outcome::kUnknown`.
std::vector<JoinCallback> DropShard(DeduplicationTable& table, ShardId shard);

/// Entries of a shard as CBOR, for the handoff object. No attempt may be
/// running in the shard. Ages are relative because the reader's clock differs.
std::string ExportShard(const DeduplicationTable& table,
                        ShardId shard,
                        SteadyTime now);

/// Imports a handoff object into the shard. Malformed bytes are an error and
/// change nothing. All entries are imported, even beyond `limits.entries`.
Result<bool> ImportShard(DeduplicationTable& table,
                         ShardId shard,
                         std::string_view bytes,
                         SteadyTime now);

}  // namespace cassiakeel::once
