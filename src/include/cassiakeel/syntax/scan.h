#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "cassiakeel/base/error.h"
#include "cassiakeel/syntax/message.h"

namespace cassiakeel::syntax {

/// Part of a message that is due next.
enum class ScanPart {
  kStartLine,
  kFieldLine,
  kBody,
  kChunkLine,
  kChunkData,
  kChunkEnd,
  kTrailerLine,
  kComplete,
};

/// Progress of the check of one message.
struct Scan {
  MessageKind kind = MessageKind::kResponse;
  /// The message is a response to a HEAD request.
  bool to_head = false;
  ScanPart part = ScanPart::kStartLine;
  /// Beginning of a line whose end has not arrived.
  std::string line;
  StartLine start;
  LengthFields fields;
  Framing framing;
  /// Bytes of the body or of the current chunk that have not arrived.
  std::uint64_t body_left = 0;
};

struct ScanStep {
  /// Number of bytes that were checked.
  std::size_t used = 0;
  /// Those of them that are content, without the chunked coding.
  std::string_view content;
};

/// Checks the next line or the next stretch of content at the start of `bytes`.
/// Fails at the first violation; the scan is not to be used any more. Checks
/// nothing once the message is complete.
Result<ScanStep> Advance(Scan& scan, std::string_view bytes);

/// Whether the end of the connection completes the message.
bool EndCompletes(const Scan& scan);

}  // namespace cassiakeel::syntax
