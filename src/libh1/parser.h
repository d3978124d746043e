#pragma once

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "cassiakeel/h1/message.h"

namespace cassiakeel::h1::pvt {

enum class ParseState { kNeedMore, kComplete, kFailed };

/// Why a message was not accepted.
enum class ParseFault { kNone, kMalformed, kHeaderTooLarge, kBodyTooLarge };

/// Reads one message of either direction at a time out of a byte stream.
class Parser {
 public:
  enum class Kind { kRequest, kResponse };
  Parser(Kind kind, const MessageLimits& limits);

  /// Reads up to the end of the current message; `used` tells how many bytes
  /// belong to it.
  ParseState Feed(std::string_view bytes, std::size_t& used);
  /// The peer closed its side. A response without a length is complete then.
  ParseState FeedEnd();
  /// Prepares for the next message on the same stream.
  void Reset();
  /// A response to HEAD has no body whatever its fields say.
  void set_no_body(bool value) { this->no_body = value; }

  /// Whether any byte of the current message arrived.
  bool started() const { return this->begun; }
  bool headers_complete() const { return this->head_done; }
  bool keep_alive() const { return this->persistent; }
  ParseFault fault() const { return this->failure; }
  bool expects_continue() const;

  std::string method;
  std::string target;
  int status = 0;
  HeaderList headers;
  std::string body;

 private:
  static int OnUrl(http_parser* parser, const char* at, std::size_t length);
  static int OnField(http_parser* parser, const char* at, std::size_t length);
  static int OnValue(http_parser* parser, const char* at, std::size_t length);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* at, std::size_t length);
  static int OnMessageComplete(http_parser* parser);
  static const http_parser_settings kCallbacks;

  bool CountHeader(std::size_t bytes);

  Kind kind;
  const MessageLimits& limits;
  http_parser machine{};
  std::size_t header_bytes = 0;
  bool in_value = false;
  bool begun = false;
  bool head_done = false;
  bool done = false;
  bool persistent = false;
  bool no_body = false;
  ParseFault failure = ParseFault::kNone;
};

}  // namespace cassiakeel::h1::pvt
