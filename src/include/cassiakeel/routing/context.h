#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cassiakeel/base/error.h"
#include "cassiakeel/base/outcome.h"
#include "cassiakeel/base/random.h"
#include "cassiakeel/base/request_class.h"
#include "cassiakeel/base/strong.h"

namespace cassiakeel::routing {

inline constexpr std::string_view kTraceparentHeader = "traceparent";
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";
inline constexpr std::string_view kDeadlineHeader = "Cassiakeel-Deadline-Ms";
inline constexpr std::string_view kRetriesHeader = "Cassiakeel-Retries";
inline constexpr std::string_view kClassHeader = "Cassiakeel-Class";
inline constexpr std::string_view kDepthHeader = "Cassiakeel-Depth";
inline constexpr std::string_view kAttemptHeader = "Cassiakeel-Attempt";
inline constexpr std::string_view kExpiresHeader = "Cassiakeel-Expires-Ns";
inline constexpr std::string_view kOutcomeHeader = "Cassiakeel-Outcome";
inline constexpr std::string_view kReasonHeader = "Cassiakeel-Reason";
inline constexpr std::string_view kUnspentHeader = "Cassiakeel-Unspent";
inline constexpr std::string_view kLoadHeader = "Cassiakeel-Load";
inline constexpr std::string_view kOwnerHeader = "Cassiakeel-Owner";

/// Maximum depth of a call chain; a deeper one is assumed to be a loop.
inline constexpr int kMaxDepth = 16;

/// Header fields in order of arrival; names are case-insensitive.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// Metadata propagated with every call of a request tree. Absent fields stay
/// unset; a call from an external caller carries few or none.
struct RequestContext {
  /// Trace id of `traceparent`; generated where that is absent or invalid.
  RequestId request;
  std::optional<RequestClass> request_class;
  /// Time left until the deadline, as of the arrival of the call.
  std::optional<std::chrono::milliseconds> time_left;
  /// Number of retries that the receiver may spend on this call and on all
  /// calls below it.
  std::optional<int> retries;
  std::optional<IdempotencyKey> key;
  std::optional<AttemptId> attempt;
  int depth = 0;
  /// The caller sent a valid `traceparent`.
  bool traced = false;
};

/// Parses the context of a call. Fails on malformed or contradictory fields,
/// such as the same field twice with different values, a negative deadline or a
/// depth above `kMaxDepth`. Such a call is rejected before any of its work
/// runs.
Result<RequestContext> ParseContext(const HeaderList& headers, Rng& rng);

/// Header fields that carry `context` to the next hop. `depth` is written as it
/// is, so the caller must increment it. `traceparent` gets a new parent id.
HeaderList FormatContext(const RequestContext& context, Rng& rng);

}  // namespace cassiakeel::routing
