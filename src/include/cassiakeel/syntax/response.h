#pragma once

#include <string>
#include <string_view>

#include "cassiakeel/base/error.h"
#include "cassiakeel/http/message.h"
#include "cassiakeel/syntax/scan.h"

namespace cassiakeel::syntax {

/// A response that a transfer library hands over as header lines and, with its
/// decoding of transfer codings switched off, as bytes of the body. Interim
/// responses (1xx) are skipped.
struct PartialResponse {
  Scan scan;
  /// Fields of the head, complete once content arrives.
  http::HeaderList headers;
  /// Size of all heads so far, those of interim responses included.
  std::size_t head_bytes = 0;
  /// Bytes that belong to no request have arrived behind the response, so the
  /// connection must not be used again.
  bool has_stray_bytes = false;
};

/// Prepares for the response to a request.
PartialResponse ExpectResponse(std::string_view method);

/// Takes a line of a head with its line end. Fails if it is malformed, or if
/// the heads exceed 64 KiB.
Result<void> TakeHeaderLine(PartialResponse& response, std::string_view line);

/// Whether the head of the final response is complete.
bool HasFinalHead(const PartialResponse& response);

/// Takes bytes of the body and returns the content in them. Fails if they are
/// malformed. Bytes beyond the end are left out.
Result<std::string> TakeBody(PartialResponse& response, std::string_view bytes);

/// Whether the response is whole, given that the transfer has ended without an
/// error.
bool IsWhole(const PartialResponse& response);

}  // namespace cassiakeel::syntax
