#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cassiakeel/base/error.h"

/// Syntax of HTTP/1.1 messages as RFC 9110 and RFC 9112 define it. The parsers
/// that the readers are built on accept more than the grammar allows; these
/// checks stand beside them, so that all readers reject the same messages.
namespace cassiakeel::syntax {

enum class MessageKind { kRequest, kResponse };

/// Status codes outside this range are invalid (RFC 9110, section 15).
inline constexpr int kMinStatus = 100;
inline constexpr int kMaxStatus = 599;

/// RFC 9110, section 5.6.2.
bool IsToken(std::string_view text);

/// A field value without surrounding whitespace (RFC 9110, section 5.5).
bool IsFieldValue(std::string_view text);

struct StartLine {
  /// Second part of the version; the first one is always 1.
  int minor_version = 1;
  /// 0 for requests.
  int status = 0;
};

/// Parses a request line or status line without its line end. Fails on another
/// major version than 1, and on a status that no response may have or that no
/// request of this project asks for (101).
Result<StartLine> ParseStartLine(MessageKind kind, std::string_view line);

struct FieldLine {
  std::string_view name;
  /// Without surrounding whitespace.
  std::string_view value;
};

/// Parses a header or trailer field without its line end. Fails on whitespace
/// before or within the name or before the colon, and thus on folded lines, and
/// on control characters in the value.
Result<FieldLine> ParseFieldLine(std::string_view line);

/// Parses the line before the data of a chunk, without its line end. Extensions
/// are checked and ignored.
Result<std::uint64_t> ParseChunkLine(std::string_view line);

/// What the fields of a head say about the length of the body.
struct LengthFields {
  std::optional<std::uint64_t> content_length;
  bool has_transfer_encoding = false;
  int hosts = 0;
};

/// Takes the next field of a head into account. Fails if the head cannot be
/// valid any more: lengths that differ or are no numbers, a transfer coding
/// other than `chunked`, which nobody asks for, or a second Host field.
Result<void> AddField(LengthFields& fields, const FieldLine& field);

enum class BodyEnd {
  /// There is no body, whatever the length fields say.
  kNone,
  kLength,
  kLastChunk,
  kConnectionClose,
};

struct Framing {
  BodyEnd end = BodyEnd::kNone;
  /// For `kLength`, in bytes.
  std::uint64_t length = 0;
};

/// Whether a response may have content (RFC 9112, section 6.3). `to_head` means
/// that it answers a HEAD request.
bool MayHaveContent(int status, bool to_head);

/// How the body of a message ends (RFC 9112, section 6.3). Fails if the length
/// fields contradict each other, the version or the status.
Result<Framing> FramingOf(MessageKind kind,
                          const StartLine& start,
                          const LengthFields& fields,
                          bool to_head);

}  // namespace cassiakeel::syntax
