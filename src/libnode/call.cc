#include "call.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "cassiakeel/admission/state.h"

namespace cassiakeel::node {
namespace {

// Hop-by-hop fields (RFC 9110, 7.6.1) and fields that every hop sets itself.
constexpr std::array<std::string_view, 14> kPerHopFields = {"Connection",
                                                            "Keep-Alive",
                                                            "Proxy-Connection",
                                                            "Transfer-Encoding",
                                                            "TE",
                                                            "Trailer",
                                                            "Upgrade",
                                                            "Host",
                                                            "Content-Length",
                                                            "Expect",
                                                            "Date",
                                                            "traceparent",
                                                            "Idempotency-Key",
                                                            "Retry-After"};
constexpr std::string_view kContextFieldPrefix = "Cassiakeel-";

bool IsPerHopField(std::string_view name) {
  if (name.size() >= kContextFieldPrefix.size() &&
      http::EqualsIgnoreCase(name.substr(0, kContextFieldPrefix.size()),
                             kContextFieldPrefix)) {
    return true;
  }
  return std::any_of(kPerHopFields.begin(), kPerHopFields.end(),
                     [name](std::string_view field) {
                       return http::EqualsIgnoreCase(field, name);
                     });
}

std::optional<int> ParseInt(const std::string* text) {
  int value = 0;
  if (text == nullptr) {
    return std::nullopt;
  }
  const char* end = text->data() + text->size();
  const auto [rest, error] = std::from_chars(text->data(), end, value);
  if (error != std::errc() || rest != end) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

CallResult MakeErrorResult(Reason reason, std::string step) {
  CallResult result;
  result.outcome = Outcome::kNotRun;
  result.reason = reason;
  result.status = HttpStatusFor(reason);
  result.step = std::move(step);
  return result;
}

int HttpStatusFor(Reason reason) {
  switch (reason) {
    case Reason::kBadRequest:
      return 400;
    case Reason::kUnknownService:
    case Reason::kUnknownKind:
      return 404;
    case Reason::kNotVouched:
    case Reason::kKeyConflict:
      return 409;
    case Reason::kTooLarge:
      return 413;
    case Reason::kTooDeep:
      return 508;
    case Reason::kConnectFailed:
    case Reason::kConnectionLost:
      return 502;
    case Reason::kDeadline:
    case Reason::kTimeout:
      return 504;
    default:
      return 503;
  }
}

http::HeaderList ForwardableHeaders(const http::HeaderList& headers) {
  http::HeaderList forwardable;
  for (const auto& field : headers) {
    if (!IsPerHopField(field.first)) {
      forwardable.push_back(field);
    }
  }
  return forwardable;
}

std::chrono::milliseconds TimeLeft(SteadyTime deadline, SteadyTime now) {
  return std::max(
      std::chrono::milliseconds(0),
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now));
}

http::HeaderList OutcomeHeaders(const CallResult& result) {
  http::HeaderList headers = {{std::string(routing::kOutcomeHeader),
                               std::string(OutcomeName(result.outcome))},
                              {std::string(routing::kUnspentHeader),
                               std::to_string(result.unspent_retries)}};
  if (result.reason != Reason::kNone) {
    headers.emplace_back(routing::kReasonHeader, ReasonName(result.reason));
  }
  if (result.load) {
    headers.emplace_back(routing::kLoadHeader,
                         admission::FormatLoad(*result.load));
  }
  if (!result.shard_owner.empty()) {
    headers.emplace_back(routing::kOwnerHeader, result.shard_owner);
  }
  if (result.retry_after.count() > 0) {
    // Retry-After is in whole seconds (RFC 9110, 10.2.3).
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(result.retry_after);
    headers.emplace_back("Retry-After", std::to_string(seconds.count()));
  }
  return headers;
}

void ReadOutcomeHeaders(const http::HeaderList& headers, CallResult& result) {
  if (const auto* outcome =
          http::FindHeader(headers, routing::kOutcomeHeader)) {
    result.outcome = ParseOutcome(*outcome).value_or(Outcome::kUnknown);
  } else {
    result.outcome = Outcome::kUnknown;
  }
  if (const auto* reason = http::FindHeader(headers, routing::kReasonHeader)) {
    result.reason = ParseReason(*reason).value_or(Reason::kNone);
  }
  if (const auto* load = http::FindHeader(headers, routing::kLoadHeader)) {
    const auto parsed = admission::ParseLoad(*load);
    if (parsed) {
      result.load = *parsed;
    }
  }
  if (const auto* owner = http::FindHeader(headers, routing::kOwnerHeader)) {
    result.shard_owner = *owner;
  }
  result.unspent_retries =
      ParseInt(http::FindHeader(headers, routing::kUnspentHeader)).value_or(0);
  result.retry_after = std::chrono::seconds(
      ParseInt(http::FindHeader(headers, "Retry-After")).value_or(0));
}

}  // namespace cassiakeel::node
