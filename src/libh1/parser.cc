#include "parser.h"

#include <algorithm>
#include <climits>

namespace cassiakeel::h1::pvt {
namespace {

// Bytes of a field line besides its name and value: colon, space and line end.
// Counted, so that the number of empty fields is bounded as well.
constexpr std::size_t kFieldOverheadBytes = 4;
// Upper bound on the size of a head on the wire, as a multiple of its limit,
// which counts only the target and the fields.
constexpr std::size_t kMaxRawHeadRatio = 4;

// When this much of a body has arrived, or a quarter, memory for the longest
// possible rest is reserved. Growing by steps would hold up to twice the body
// for a moment; reserved memory that is not written needs none.
constexpr std::size_t kReserveFromBytes = 4U << 20U;

// The library leaves the blanks behind a field value (RFC 9112, section 5.1).
void RemoveTrailingBlanks(HeaderList& headers) {
  for (auto& [name, value] : headers) {
    value.erase(value.find_last_not_of(" \t") + 1);
  }
}

// Reserves memory for `length` more bytes of a body of at most `longest`.
void ReserveFor(std::string& body, std::size_t length, std::size_t longest) {
  const auto needed = body.size() + length;
  if (needed > body.capacity() &&
      needed >= std::min(longest / 4, kReserveFromBytes)) {
    body.reserve(std::max(needed, longest));
  }
}

Parser& ParserOf(http_parser* raw_parser) {
  return *static_cast<Parser*>(raw_parser->data);
}

}  // namespace

int StatusForError(ParseError error) {
  switch (error) {
    case ParseError::kHeaderTooLarge:
      return 431;
    case ParseError::kBodyTooLarge:
      return 413;
    default:
      return 400;
  }
}

const http_parser_settings Parser::kCallbacks = [] {
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  settings.on_url = &Parser::OnUrl;
  settings.on_header_field = &Parser::OnField;
  settings.on_header_value = &Parser::OnValue;
  settings.on_headers_complete = &Parser::OnHeadersComplete;
  settings.on_body = &Parser::OnBody;
  settings.on_message_complete = &Parser::OnMessageComplete;
  return settings;
}();

Parser::Parser(Kind kind, const MessageLimits& limits)
    : kind(kind), limits(limits) {
  this->Reset();
}

void Parser::Reset() {
  http_parser_init(&this->raw_parser,
                   this->kind == Kind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  this->raw_parser.data = this;
  this->scan = {};
  this->scan.kind = this->kind == Kind::kRequest
                        ? syntax::MessageKind::kRequest
                        : syntax::MessageKind::kResponse;
  this->method.clear();
  this->target.clear();
  this->status = 0;
  // Releases their memory, which `clear` does not.
  HeaderList().swap(this->headers);
  std::string().swap(this->body);
  this->header_bytes = 0;
  this->declared_bytes = 0;
  this->raw_head_bytes = 0;
  this->in_value = false;
  this->has_started = false;
  this->head_done = false;
  this->done = false;
  this->persistent = false;
  this->parse_error = ParseError::kNone;
  this->syntax_error.clear();
}

ParseState Parser::Feed(std::string_view bytes, std::size_t& used) {
  this->has_started = this->has_started || !bytes.empty();
  used = http_parser_execute(&this->raw_parser, &kCallbacks, bytes.data(),
                             bytes.size());
  if (!this->CheckSyntax(bytes.substr(0, used))) {
    this->parse_error = ParseError::kMalformed;
    return ParseState::kFailed;
  }
  if (this->done) {
    return ParseState::kComplete;
  }
  const auto error = HTTP_PARSER_ERRNO(&this->raw_parser);
  if (error == HPE_OK && this->raw_parser.upgrade == 0 &&
      this->HeadFits(bytes.size())) {
    return ParseState::kNeedMore;
  }
  if (this->parse_error == ParseError::kNone) {
    this->parse_error = error == HPE_HEADER_OVERFLOW
                            ? ParseError::kHeaderTooLarge
                            : ParseError::kMalformed;
  }
  return ParseState::kFailed;
}

ParseState Parser::FeedEnd() {
  if (!this->has_started) {
    return ParseState::kFailed;
  }
  http_parser_execute(&this->raw_parser, &kCallbacks, nullptr, 0);
  return this->done && syntax::EndCompletes(this->scan) ? ParseState::kComplete
                                                        : ParseState::kFailed;
}

bool Parser::CheckSyntax(std::string_view bytes) {
  while (!bytes.empty()) {
    const auto step = syntax::Advance(this->scan, bytes);
    if (!step) {
      this->syntax_error = step.error().ToString();
      return false;
    }
    if (step->used == 0) {
      return false;
    }
    bytes.remove_prefix(step->used);
  }
  return this->done == (this->scan.part == syntax::ScanPart::kComplete);
}

bool Parser::expects_continue() const {
  // Interim responses are not sent to clients of HTTP/1.0 (RFC 9110, section
  // 15.2).
  const auto* expect = FindHeader(this->headers, "Expect");
  return expect != nullptr && EqualsIgnoreCase(*expect, "100-continue") &&
         this->scan.start.minor_version > 0;
}

bool Parser::CountHeaderBytes(std::size_t bytes) {
  this->header_bytes += bytes;
  if (this->header_bytes <= this->limits.header_bytes) {
    return true;
  }
  this->parse_error = ParseError::kHeaderTooLarge;
  return false;
}

bool Parser::HeadFits(std::size_t bytes) {
  if (this->head_done) {
    return true;
  }
  this->raw_head_bytes += bytes;
  if (this->raw_head_bytes <= this->limits.header_bytes * kMaxRawHeadRatio) {
    return true;
  }
  this->parse_error = ParseError::kHeaderTooLarge;
  return false;
}

int Parser::OnUrl(http_parser* raw_parser, const char* at, std::size_t length) {
  auto& self = ParserOf(raw_parser);
  self.target.append(at, length);
  return self.CountHeaderBytes(length) ? 0 : 1;
}

int Parser::OnField(http_parser* raw_parser,
                    const char* at,
                    std::size_t length) {
  auto& self = ParserOf(raw_parser);
  // Trailer fields of a chunked body are discarded but count as header bytes.
  if (self.head_done) {
    return self.CountHeaderBytes(length + kFieldOverheadBytes) ? 0 : 1;
  }
  if (self.in_value || self.headers.empty()) {
    self.headers.emplace_back();
    self.in_value = false;
    self.header_bytes += kFieldOverheadBytes;
  }
  self.headers.back().first.append(at, length);
  return self.CountHeaderBytes(length) ? 0 : 1;
}

int Parser::OnValue(http_parser* raw_parser,
                    const char* at,
                    std::size_t length) {
  auto& self = ParserOf(raw_parser);
  if (!self.head_done) {
    self.in_value = true;
    self.headers.back().second.append(at, length);
  }
  return self.CountHeaderBytes(length) ? 0 : 1;
}

int Parser::OnHeadersComplete(http_parser* raw_parser) {
  auto& self = ParserOf(raw_parser);
  self.head_done = true;
  RemoveTrailingBlanks(self.headers);
  self.persistent = http_should_keep_alive(raw_parser) != 0;
  // Protocol upgrades are not supported, so the message is parsed as an
  // ordinary one.
  raw_parser->upgrade = 0;
  if (self.kind == Kind::kRequest) {
    self.method = http_method_str(static_cast<http_method>(raw_parser->method));
    const bool has_length = raw_parser->content_length != ULLONG_MAX;
    const bool fits =
        !has_length || raw_parser->content_length <= self.limits.body_bytes;
    self.declared_bytes = has_length ? raw_parser->content_length : 0;
    if (!fits) {
      self.parse_error = ParseError::kBodyTooLarge;
      return -1;
    }
    return 0;
  }
  self.status = static_cast<int>(raw_parser->status_code);
  return syntax::MayHaveContent(self.status, self.scan.to_head) ? 0 : 1;
}

int Parser::OnBody(http_parser* raw_parser,
                   const char* at,
                   std::size_t length) {
  auto& self = ParserOf(raw_parser);
  if (self.body.size() + length > self.limits.body_bytes) {
    self.parse_error = ParseError::kBodyTooLarge;
    return 1;
  }
  ReserveFor(
      self.body, length,
      self.declared_bytes > 0 ? self.declared_bytes : self.limits.body_bytes);
  self.body.append(at, length);
  return 0;
}

int Parser::OnMessageComplete(http_parser* raw_parser) {
  auto& self = ParserOf(raw_parser);
  self.done = true;
  self.persistent = self.persistent && http_should_keep_alive(raw_parser) != 0;
  // Stops the parser here, since the remaining bytes belong to the next
  // message.
  http_parser_pause(raw_parser, 1);
  return 0;
}

}  // namespace cassiakeel::h1::pvt
