#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cassiakeel/h1/body.h"
#include "cassiakeel/http/message.h"

namespace cassiakeel::h1 {

using http::EqualsIgnoreCase;
using http::FindHeader;
using http::HeaderList;

/// A complete request. `target` is in origin form (RFC 9112, section 3.2.1).
struct Request {
  std::string method;
  std::string target;
  HeaderList headers;
  Body body;
};

/// A complete response. When it is sent, connection and framing fields
/// (`Content-Length`, `Connection`, ...) in `headers` are ignored; the
/// connection writes its own.
struct Response {
  int status = 0;
  HeaderList headers;
  std::string body;
  /// `Content-Length` of a response that has no content and yet tells the
  /// length of a response to GET: one to HEAD, or with the status 304.
  std::optional<std::uint64_t> get_length = {};
};

/// Value of `Content-Length` in a response (RFC 9110, section 8.6), or nothing
/// if the response has no such field. `to_head` means that it answers a HEAD
/// request.
std::optional<std::uint64_t> LengthToSend(const Response& response,
                                          bool to_head);

/// Upper bounds on the size of a received message.
struct MessageLimits {
  std::size_t header_bytes = 16U << 10U;
  std::size_t body_bytes = 64U << 20U;
};

/// True for fields that apply to a single connection (RFC 9110, section 7.6.1)
/// and for those that frame the body, neither of which a proxy forwards.
bool IsConnectionField(std::string_view name);

/// Removes connection fields and the fields listed in `Connection`.
void RemoveConnectionFields(HeaderList& headers);

/// The registered reason phrase of a status code, "Unknown" for other codes.
std::string_view ReasonPhrase(int status);

}  // namespace cassiakeel::h1
