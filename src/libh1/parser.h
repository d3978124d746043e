#pragma once

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cassiakeel/h1/message.h"
#include "cassiakeel/syntax/scan.h"

namespace cassiakeel::h1::pvt {

enum class ParseState { kNeedMore, kComplete, kFailed };

/// Reason why a message was rejected.
enum class ParseError { kNone, kMalformed, kHeaderTooLarge, kBodyTooLarge };

/// Status of the response to a request that was rejected with `error`.
int StatusForError(ParseError error);

/// Parses the requests or the responses of a byte stream, one at a time.
/// `http_parser` assembles them; `syntax::Advance` sees the same bytes and
/// rejects what the library accepts beyond the grammar.
class Parser {
 public:
  enum class Kind { kRequest, kResponse };
  Parser(Kind kind, const MessageLimits& limits);

  /// Parses up to the end of the current message and sets `used` to the number
  /// of bytes that belong to it.
  ParseState Feed(std::string_view bytes, std::size_t& used);
  /// Reports the end of the stream, which completes a response without a
  /// length.
  ParseState FeedEnd();
  /// Prepares for the next message on the same stream.
  void Reset();
  /// To be set for a response to HEAD, which has no body even if its fields
  /// give a length.
  void set_no_body(bool value) { this->scan.to_head = value; }

  /// Whether any byte of the current message was parsed.
  bool started() const { return this->has_started; }
  bool headers_complete() const { return this->head_done; }
  bool keep_alive() const { return this->persistent; }
  ParseError error() const { return this->parse_error; }
  /// How the message breaks the grammar, for people; empty if it does not.
  const std::string& violation() const { return this->syntax_error; }
  bool expects_continue() const;
  /// Length of the body as the header gives it; 0 if it gives none.
  std::size_t declared_body_bytes() const { return this->declared_bytes; }
  /// `Content-Length` of a response that has no content.
  std::optional<std::uint64_t> get_length() const {
    return this->scan.framing.end == syntax::BodyEnd::kNone
               ? this->scan.fields.content_length
               : std::nullopt;
  }
  /// Memory that the parsed part of the current message holds.
  std::size_t buffered_bytes() const {
    return this->header_bytes + this->body.size() +
           this->headers.capacity() * sizeof(HeaderList::value_type);
  }

  std::string method;
  std::string target;
  int status = 0;
  HeaderList headers;
  std::string body;

 private:
  static int OnUrl(http_parser* raw_parser, const char* at, std::size_t length);
  static int OnField(http_parser* raw_parser,
                     const char* at,
                     std::size_t length);
  static int OnValue(http_parser* raw_parser,
                     const char* at,
                     std::size_t length);
  static int OnHeadersComplete(http_parser* raw_parser);
  static int OnBody(http_parser* raw_parser,
                    const char* at,
                    std::size_t length);
  static int OnMessageComplete(http_parser* raw_parser);
  static const http_parser_settings kCallbacks;

  bool CountHeaderBytes(std::size_t bytes);
  // Counts the bytes of a head that the callbacks do not report: empty lines
  // before the start line, the reason phrase and separators.
  bool HeadFits(std::size_t bytes);
  // Whether `bytes`, which the library has parsed, obey the grammar.
  bool CheckSyntax(std::string_view bytes);

  Kind kind;
  const MessageLimits& limits;
  http_parser raw_parser{};
  syntax::Scan scan;
  std::size_t header_bytes = 0;
  std::size_t declared_bytes = 0;
  /// All bytes fed before the end of the head.
  std::size_t raw_head_bytes = 0;
  bool in_value = false;
  bool has_started = false;
  bool head_done = false;
  bool done = false;
  bool persistent = false;
  ParseError parse_error = ParseError::kNone;
  std::string syntax_error;
};

}  // namespace cassiakeel::h1::pvt
