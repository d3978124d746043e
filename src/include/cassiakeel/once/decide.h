#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>

#include "cassiakeel/base/clock.h"
#include "cassiakeel/base/outcome.h"
#include "cassiakeel/once/deduplication_table.h"
#include "cassiakeel/once/lease.h"
#include "cassiakeel/once/shard.h"

namespace cassiakeel::once {

/// Keys issued further in the future than this are rejected.
inline constexpr std::chrono::seconds kFutureTolerance{2};
/// Largest accepted difference between the local wall clock and the median of
/// the peers' clocks.
inline constexpr std::chrono::seconds kMaxWallOffset{1};
/// Maximum error of the measured difference.
inline constexpr std::chrono::milliseconds kOffsetError{500};
/// Safety margin that a failover adds to the local wall clock to get
/// `keys_known_after`. A key that the previous owner ran was issued at most
/// `kFutureTolerance` after that owner's wall clock. The clocks of both nodes
/// may be off by `kMaxWallOffset` in opposite directions, each measured with an
/// error of `kOffsetError`. The previous owner has run nothing for the time by
/// which `kExpireAfter` exceeds `kLeaseDuration` and `kClockRateMargin`. The
/// sum is 2 s.
inline constexpr std::chrono::milliseconds kFailoverMargin =
    kFutureTolerance + 2 * (kMaxWallOffset + kOffsetError) -
    (kExpireAfter - kLeaseDuration - kClockRateMargin);
/// Maximum age of a key by its issue time. The entry of an older key may
/// already have been removed, so its absence proves nothing. Shorter than
/// `kKeyRetention` by more than the tolerated clock differences.
inline constexpr std::chrono::seconds kMaxKeyAge =
    kKeyRetention - std::chrono::seconds(10);

/// Deliberately incorrect variants of the protocol. Tests use them to show that
/// the history checker detects the resulting violations. Production code uses
/// `kCorrect`.
enum class Variant {
  kCorrect,
  /// After a failover, keys are run regardless of their issue time.
  kNoIssueTimeCheck,
  /// `keys_known_after` lies before the end of the previous owner's authority.
  kEarlyKeysKnownAfter,
  /// Any node, not only the lease grantor, expires a lease after
  /// `kExpireAfter`.
  kExpireWithoutGrantor,
  /// The dispatched call carries no deadline.
  kNoDispatchDeadline,
  /// Authority is counted from the response to a renewal or grant request
  /// instead of from its sending.
  kCountFromAnswer,
  /// The difference of the wall clock is not checked.
  kNoOffsetCheck,
  /// A retransmitted request of a running key is dispatched.
  kNoJoin,
  /// A planned handoff carries no deduplication table.
  kHandoffWithoutTable,
  /// A lease grantor gives grants for a lease that it is expiring.
  kGrantWhileExpiring,
};

/// Difference between the local wall clock and the median of the peers' clocks,
/// with the local steady and wall clock readings at the time of measurement.
struct WallOffset {
  std::chrono::nanoseconds offset{0};
  SteadyTime measured;
  WallTime measured_wall;
};

/// Clock readings of one decision.
struct ClockReadings {
  SteadyTime now;
  WallTime wall;
  /// Empty until first measured.
  std::optional<WallOffset> offset;
};

/// A non-idempotent call at its serving node.
struct Request {
  IdempotencyKey key;
  /// Hash of method, path and body.
  std::uint64_t fingerprint = 0;
  AttemptId attempt;
};

/// State of a shard on this node.
enum class ShardState {
  kNotOwned,
  /// Owned, but the handoff object has not been read yet.
  kLoading,
  kServing,
  /// A planned handoff has begun. It is never reverted.
  kStopping,
};

/// State of the shard of the key, as input of a decision.
struct ShardView {
  ShardState state = ShardState::kNotOwned;
  ShardEpoch epoch;
  WallTime keys_known_after{};
};

enum class Action { kRun, kJoin, kReplay, kReject };

struct Decision {
  Action action = Action::kReject;
  /// For a rejection; `kRan` for a replay.
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNone;
  /// For `kRun`: the time from which the backend server must refuse the call.
  SteadyTime expires{};
  /// For `kRun`: identifies the run in `Deduplicator::Complete`.
  ShardEpoch epoch;
  /// For `kReplay`: null when the response is no longer stored.
  std::shared_ptr<const StoredResponse> response;
};

struct DecideSettings {
  /// The backend server refuses calls after `Cassiakeel-Expires-Ns`.
  bool server_enforces_deadline = true;
  Variant variant = Variant::kCorrect;
};

/// Issue time of a UUID version 7 (RFC 9562), empty for other keys.
std::optional<WallTime> IssueTime(const IdempotencyKey& key);

/// Difference of the wall clock at the time of the readings: the measured
/// difference plus the drift of the wall clock against the steady clock since.
/// A jump of the wall clock is therefore noticed immediately, without a new
/// measurement.
std::optional<std::chrono::nanoseconds> CurrentOffset(
    const ClockReadings& readings);

/// True when the wall clock is known to be within `kMaxWallOffset` of the
/// peers.
bool WallClockTrusted(const ClockReadings& readings);

/// True when an owner without an entry of `key` may conclude that the key never
/// ran.
bool KnowsWhetherKeyRan(WallTime keys_known_after,
                        const IdempotencyKey& key,
                        const ClockReadings& readings);

/// The `keys_known_after` to write in an unclean failover. Empty while the wall
/// clock is not trusted; the failover then has to wait.
std::optional<WallTime> KeysKnownAfterFailover(
    const ClockReadings& readings,
    Variant variant = Variant::kCorrect);

/// Decides on a call without changing any state; `Deduplicator::Begin` applies
/// the decision.
Decision Decide(const Request& request,
                const ShardView& shard,
                const DeduplicationTable& table,
                const LeaseHolder& lease,
                const ClockReadings& readings,
                const DecideSettings& settings);

}  // namespace cassiakeel::once
