#include "cassiakeel/once/decide.h"

#include <charconv>
#include <string>
#include <string_view>

namespace cassiakeel::once {
namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kVersionPosition = 14;

Decision Reject(Outcome outcome, Reason reason) {
  Decision decision;
  decision.outcome = outcome;
  decision.reason = reason;
  return decision;
}

bool IsUuidShape(std::string_view text) {
  if (text.size() != kUuidLength) {
    return false;
  }
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
    const char c = text[i];
    const bool hex = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') ||
                     (c >= 'A' && c <= 'F');
    if (dash ? c != '-' : !hex) {
      return false;
    }
  }
  return true;
}

/// Decision on a key that has an entry. Valid even if the shard has a new
/// owner.
Decision DecideFromEntry(const Request& request,
                         const DeduplicationEntry& entry) {
  if (entry.fingerprint != request.fingerprint) {
    return Reject(Outcome::kNotRun, Reason::kKeyConflict);
  }
  Decision decision;
  switch (entry.state) {
    case KeyState::kRunning:
      decision.action = Action::kJoin;
      break;
    case KeyState::kDone:
      decision.action = Action::kReplay;
      decision.outcome = Outcome::kRan;
      decision.reason = entry.reason;
      decision.response = entry.response;
      break;
    case KeyState::kUnknown:
      return Reject(Outcome::kUnknown, entry.reason);
  }
  return decision;
}

}  // namespace

std::optional<WallTime> IssueTime(const IdempotencyKey& key) {
  const std::string& text = key.Value();
  if (!IsUuidShape(text) || text[kVersionPosition] != '7') {
    return std::nullopt;
  }
  const std::string digits = text.substr(0, 8) + text.substr(9, 4);
  std::uint64_t millis = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), millis, 16);
  return WallTime(std::chrono::milliseconds(millis));
}

std::optional<std::chrono::nanoseconds> CurrentOffset(
    const ClockReadings& readings) {
  if (!readings.offset) {
    return std::nullopt;
  }
  const auto wall_elapsed = readings.wall - readings.offset->measured_wall;
  const auto steady_elapsed = readings.now - readings.offset->measured;
  return readings.offset->offset +
         std::chrono::duration_cast<std::chrono::nanoseconds>(wall_elapsed) -
         std::chrono::duration_cast<std::chrono::nanoseconds>(steady_elapsed);
}

bool WallClockTrusted(const ClockReadings& readings) {
  const auto offset = CurrentOffset(readings);
  return offset && std::chrono::abs(*offset) <= kMaxWallOffset;
}

bool KnowsWhetherKeyRan(WallTime keys_known_after,
                        const IdempotencyKey& key,
                        const ClockReadings& readings) {
  const std::optional<WallTime> issued = IssueTime(key);
  if (issued && *issued < readings.wall - kMaxKeyAge) {
    return false;
  }
  if (keys_known_after == WallTime{}) {
    return true;
  }
  return (issued && *issued > keys_known_after) ||
         readings.wall > keys_known_after + kKeyRetention;
}

std::optional<WallTime> KeysKnownAfterFailover(const ClockReadings& readings,
                                               Variant variant) {
  if (variant == Variant::kEarlyKeysKnownAfter) {
    return readings.wall - kExpireAfter;
  }
  if (variant != Variant::kNoOffsetCheck && !WallClockTrusted(readings)) {
    return std::nullopt;
  }
  return readings.wall + kFailoverMargin;
}

Decision Decide(const Request& request,
                const ShardView& shard,
                const DeduplicationTable& table,
                const LeaseHolder& lease,
                const ClockReadings& readings,
                const DecideSettings& settings) {
  if (request.key.Value().empty() ||
      request.key.Value().size() > kMaxKeyLength) {
    return Reject(Outcome::kNotRun, Reason::kBadRequest);
  }
  if (IsCancelled(table, request.attempt)) {
    return Reject(Outcome::kNotRun, Reason::kCancelled);
  }
  if (shard.state == ShardState::kNotOwned ||
      shard.state == ShardState::kLoading) {
    return Reject(Outcome::kNotRun, Reason::kNoAuthority);
  }
  const DeduplicationEntry* entry = FindKey(table, request.key);
  const bool rerun = settings.variant == Variant::kNoJoin && entry != nullptr &&
                     entry->state == KeyState::kRunning;
  if (entry != nullptr && !rerun) {
    return DecideFromEntry(request, *entry);
  }
  if (shard.state == ShardState::kStopping) {
    return Reject(Outcome::kNotRun, Reason::kLeaving);
  }
  if (!HasAuthority(lease, readings.now)) {
    return Reject(Outcome::kNotRun, Reason::kNoAuthority);
  }
  // If the backend server does not enforce deadlines, the remaining lease must
  // cover a pause between this check and the dispatch.
  if (!settings.server_enforces_deadline &&
      lease.authority_end - readings.now <
          SteadyTime::duration(kLeaseDuration) / 2) {
    return Reject(Outcome::kNotRun, Reason::kNoAuthority);
  }
  if (settings.variant != Variant::kNoOffsetCheck &&
      !WallClockTrusted(readings)) {
    return Reject(Outcome::kNotRun, Reason::kNoAuthority);
  }
  const std::optional<WallTime> issued = IssueTime(request.key);
  if (issued && *issued > readings.wall + kFutureTolerance) {
    return Reject(Outcome::kNotRun, Reason::kBadRequest);
  }
  if (settings.variant != Variant::kNoIssueTimeCheck &&
      !KnowsWhetherKeyRan(shard.keys_known_after, request.key, readings)) {
    return Reject(Outcome::kUnknown, Reason::kNotVouched);
  }
  if (!HasRoom(table)) {
    return Reject(Outcome::kNotRun, Reason::kOverload);
  }
  Decision decision;
  decision.action = Action::kRun;
  decision.expires = settings.variant == Variant::kNoDispatchDeadline
                         ? SteadyTime::max()
                         : lease.authority_end;
  decision.epoch = shard.epoch;
  return decision;
}

}  // namespace cassiakeel::once
