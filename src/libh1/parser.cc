#include "parser.h"

#include <climits>

namespace cassiakeel::h1::pvt {
namespace {

Parser& Of(http_parser* machine) {
  return *static_cast<Parser*>(machine->data);
}

}  // namespace

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
  http_parser_init(&this->machine,
                   this->kind == Kind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  this->machine.data = this;
  this->method.clear();
  this->target.clear();
  this->status = 0;
  this->headers.clear();
  this->body.clear();
  this->header_bytes = 0;
  this->in_value = false;
  this->begun = false;
  this->head_done = false;
  this->done = false;
  this->persistent = false;
  this->failure = ParseFault::kNone;
}

ParseState Parser::Feed(std::string_view bytes, std::size_t& used) {
  this->begun = this->begun || !bytes.empty();
  used = http_parser_execute(&this->machine, &kCallbacks, bytes.data(),
                             bytes.size());
  if (this->done) {
    return ParseState::kComplete;
  }
  const auto error = HTTP_PARSER_ERRNO(&this->machine);
  if (error == HPE_OK && this->machine.upgrade == 0) {
    return ParseState::kNeedMore;
  }
  if (this->failure == ParseFault::kNone) {
    this->failure = error == HPE_HEADER_OVERFLOW ? ParseFault::kHeaderTooLarge
                                                 : ParseFault::kMalformed;
  }
  return ParseState::kFailed;
}

ParseState Parser::FeedEnd() {
  if (!this->begun) {
    return ParseState::kFailed;
  }
  http_parser_execute(&this->machine, &kCallbacks, nullptr, 0);
  return this->done ? ParseState::kComplete : ParseState::kFailed;
}

bool Parser::expects_continue() const {
  const auto* expect = FindHeader(this->headers, "Expect");
  return expect != nullptr && SameName(*expect, "100-continue");
}

bool Parser::CountHeader(std::size_t bytes) {
  this->header_bytes += bytes;
  if (this->header_bytes <= this->limits.header_bytes) {
    return true;
  }
  this->failure = ParseFault::kHeaderTooLarge;
  return false;
}

int Parser::OnUrl(http_parser* machine, const char* at, std::size_t length) {
  auto& self = Of(machine);
  self.target.append(at, length);
  return self.CountHeader(length) ? 0 : 1;
}

int Parser::OnField(http_parser* machine, const char* at, std::size_t length) {
  auto& self = Of(machine);
  // Trailer fields of a chunked body are dropped.
  if (self.head_done) {
    return self.CountHeader(length) ? 0 : 1;
  }
  if (self.in_value || self.headers.empty()) {
    self.headers.emplace_back();
    self.in_value = false;
  }
  self.headers.back().first.append(at, length);
  return self.CountHeader(length) ? 0 : 1;
}

int Parser::OnValue(http_parser* machine, const char* at, std::size_t length) {
  auto& self = Of(machine);
  if (!self.head_done) {
    self.in_value = true;
    self.headers.back().second.append(at, length);
  }
  return self.CountHeader(length) ? 0 : 1;
}

int Parser::OnHeadersComplete(http_parser* machine) {
  auto& self = Of(machine);
  self.head_done = true;
  self.persistent = http_should_keep_alive(machine) != 0;
  // Protocol upgrades are not offered; the request is an ordinary one.
  machine->upgrade = 0;
  if (self.kind == Kind::kRequest) {
    self.method = http_method_str(static_cast<http_method>(machine->method));
    const bool fits = machine->content_length == ULLONG_MAX ||
                      machine->content_length <= self.limits.body_bytes;
    if (!fits) {
      self.failure = ParseFault::kBodyTooLarge;
      return -1;
    }
    return 0;
  }
  self.status = static_cast<int>(machine->status_code);
  return self.no_body ? 1 : 0;
}

int Parser::OnBody(http_parser* machine, const char* at, std::size_t length) {
  auto& self = Of(machine);
  if (self.body.size() + length > self.limits.body_bytes) {
    self.failure = ParseFault::kBodyTooLarge;
    return 1;
  }
  self.body.append(at, length);
  return 0;
}

int Parser::OnMessageComplete(http_parser* machine) {
  auto& self = Of(machine);
  self.done = true;
  self.persistent = self.persistent && http_should_keep_alive(machine) != 0;
  // Bytes behind the message belong to the next one.
  http_parser_pause(machine, 1);
  return 0;
}

}  // namespace cassiakeel::h1::pvt
