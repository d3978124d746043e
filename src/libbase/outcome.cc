#include "cassiakeel/base/outcome.h"

#include "enum_names.h"

namespace cassiakeel {
namespace {

constexpr pvt::EnumNames<Outcome, 3> kOutcomeNames = {{
    {Outcome::kRan, "ran"},
    {Outcome::kNotRun, "not-run"},
    {Outcome::kUnknown, "unknown"},
}};

constexpr pvt::EnumNames<Reason, 23> kReasonNames = {{
    {Reason::kNone, "none"},
    {Reason::kOverload, "overload"},
    {Reason::kDeadline, "deadline"},
    {Reason::kQueueFull, "queue-full"},
    {Reason::kLongShare, "long-share"},
    {Reason::kLeaving, "leaving"},
    {Reason::kNoPolicy, "no-policy"},
    {Reason::kNoEndpoint, "no-endpoint"},
    {Reason::kUnknownService, "unknown-service"},
    {Reason::kUnknownKind, "unknown-kind"},
    {Reason::kBadRequest, "bad-request"},
    {Reason::kTooLarge, "too-large"},
    {Reason::kTooDeep, "too-deep"},
    {Reason::kNoAuthority, "no-authority"},
    {Reason::kNotVouched, "not-vouched"},
    {Reason::kKeyConflict, "key-conflict"},
    {Reason::kConnectFailed, "connect-failed"},
    {Reason::kConnectionLost, "connection-lost"},
    {Reason::kTimeout, "timeout"},
    {Reason::kCancelled, "cancelled"},
    {Reason::kServerRefused, "server-refused"},
    {Reason::kUnauthenticated, "unauthenticated"},
    {Reason::kAllotment, "allotment"},
}};

}  // namespace

std::string_view OutcomeName(Outcome outcome) {
  return pvt::NameOf(kOutcomeNames, outcome);
}

std::optional<Outcome> ParseOutcome(std::string_view name) {
  return pvt::ValueOf(kOutcomeNames, name);
}

std::string_view ReasonName(Reason reason) {
  return pvt::NameOf(kReasonNames, reason);
}

std::optional<Reason> ParseReason(std::string_view name) {
  return pvt::ValueOf(kReasonNames, name);
}

}  // namespace cassiakeel
