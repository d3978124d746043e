#pragma once

#include <optional>
#include <string_view>

namespace cassiakeel {

/// Whether the work of a call ran, as far as can be proved.
enum class Outcome {
  kRan,
  /// The backend server was never handed the work, or itself refused it.
  kNotRun,
  kUnknown,
};

/// Why a call was refused or failed.
enum class Reason {
  kNone,
  kOverload,
  kDeadline,
  kQueueFull,
  kLongShare,
  kLeaving,
  kNoPolicy,
  kNoEndpoint,
  kUnknownService,
  kUnknownKind,
  kBadRequest,
  kTooLarge,
  kTooDeep,
  kNoAuthority,
  kNotVouched,
  kKeyConflict,
  kConnectFailed,
  kConnectionLost,
  kTimeout,
  kCancelled,
  kServerRefused,
  /// The request has no key, or one that the policy in force does not hold.
  kUnauthenticated,
  /// The tenant's allotment is used up.
  kAllotment,
};

/// Value of the `Cassiakeel-Outcome` header: "ran", "not-run" or "unknown".
std::string_view OutcomeName(Outcome outcome);
std::optional<Outcome> ParseOutcome(std::string_view name);

/// Value of the `Cassiakeel-Reason` header, such as "overload".
std::string_view ReasonName(Reason reason);
std::optional<Reason> ParseReason(std::string_view name);

}  // namespace cassiakeel
