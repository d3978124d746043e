#include "peer_result.h"

namespace cassiakeel::mesh::pvt {

ServeResult DecodePeerResult(h1::FetchResult fetch) {
  ServeResult result;
  if (fetch.end == h1::FetchEnd::kNotSent) {
    result.outcome = Outcome::kNotRun;
    result.reason = Reason::kConnectFailed;
    return result;
  }
  result.reached_backend = true;
  result.reason = fetch.end == h1::FetchEnd::kTimeout ? Reason::kTimeout
                                                      : Reason::kConnectionLost;
  if (fetch.end != h1::FetchEnd::kComplete) {
    return result;
  }
  const auto* text = h1::FindHeader(fetch.response.headers, kResultField);
  const auto parsed = text == nullptr ? Fail("read result", "no result field")
                                      : ParseResult(*text);
  if (!parsed) {
    return result;
  }
  result = *parsed;
  result.response = std::move(fetch.response);
  h1::RemoveConnectionFields(result.response.headers);
  std::erase_if(result.response.headers, [](const auto& field) {
    return h1::SameName(field.first, kResultField);
  });
  return result;
}

}  // namespace cassiakeel::mesh::pvt
