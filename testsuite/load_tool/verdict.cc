#include "verdict.h"

#include <nlohmann/json.hpp>

#include "cassiakeel/routing/context.h"

namespace cassiakeel::testsuite {

namespace {

Classification ClassifyBody(const std::string& text,
                            const ExpectedEcho& expected) {
  const auto body = nlohmann::json::parse(text, nullptr, false);
  if (!body.is_object()) {
    return {Verdict::kCorrupt, "not-json"};
  }
  if (body.value("echo", "") != expected.path) {
    return {Verdict::kMismatched, "other-path"};
  }
  if (body.value("key", "") != expected.key) {
    return {Verdict::kMismatched, "other-key"};
  }
  if (expected.key.empty() && body.value("request", "") != expected.request) {
    return {Verdict::kMismatched, "other-request"};
  }
  return {Verdict::kOk, ""};
}

Classification ClassifyError(const ClientResponse& response) {
  const auto outcome = FindHeader(response.headers, routing::kOutcomeHeader);
  std::string reason(FindHeader(response.headers, routing::kReasonHeader));
  if (reason.empty()) {
    reason = "status-" + std::to_string(response.status);
  }
  if (outcome == "not-run") {
    return {Verdict::kRefused, reason};
  }
  return {outcome == "ran" ? Verdict::kFailed : Verdict::kUnknown, reason};
}

}  // namespace

Classification ClassifyResponse(const ClientResponse& response,
                                const ExpectedEcho& expected) {
  switch (response.transfer) {
    case Transfer::kNotSent:
      return {Verdict::kRefused, "connect-failed"};
    case Transfer::kTimeout:
      return {Verdict::kUnknown, "timeout"};
    case Transfer::kBroken:
      return {Verdict::kCorrupt, "connection-lost"};
    case Transfer::kComplete:
      break;
  }
  return response.status == 200 ? ClassifyBody(response.body, expected)
                                : ClassifyError(response);
}

}  // namespace cassiakeel::testsuite
