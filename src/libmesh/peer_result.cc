#include "peer_result.h"

namespace cassiakeel::mesh::pvt {

ServeResult ResultWithoutResponse(h1::FetchEnd end) {
  ServeResult result;
  if (end == h1::FetchEnd::kNotSent) {
    result.outcome = Outcome::kNotRun;
    result.reason = Reason::kConnectFailed;
    return result;
  }
  result.outcome = Outcome::kUnknown;
  result.reached_backend = true;
  result.reason = end == h1::FetchEnd::kTimeout ? Reason::kTimeout
                                                : Reason::kConnectionLost;
  return result;
}

ServeResult DecodePeerResult(h1::FetchResult fetch) {
  if (fetch.end != h1::FetchEnd::kComplete) {
    return ResultWithoutResponse(fetch.end);
  }
  const auto* text = h1::FindHeader(fetch.response.headers, kResultField);
  const auto parsed =
      text == nullptr ? Fail("read result", "header field Ck-Result is missing")
                      : ParseResult(*text);
  if (!parsed) {
    return ResultWithoutResponse(fetch.end);
  }
  ServeResult result = *parsed;
  result.response = std::move(fetch.response);
  h1::RemoveConnectionFields(result.response.headers);
  std::erase_if(result.response.headers, [](const auto& field) {
    return h1::EqualsIgnoreCase(field.first, kResultField);
  });
  return result;
}

}  // namespace cassiakeel::mesh::pvt
