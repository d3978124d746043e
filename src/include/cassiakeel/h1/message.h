#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "cassiakeel/http/message.h"

namespace cassiakeel::h1 {

using http::FindHeader;
using http::HeaderList;
using http::SameName;

/// A whole request. `target` is the request target in origin form.
struct Request {
  std::string method;
  std::string target;
  HeaderList headers;
  std::string body;
};

/// A whole response. Framing fields (`Content-Length`, `Connection`, ...) are
/// written by the connection and are not part of `headers` when sending.
struct Response {
  int status = 0;
  HeaderList headers;
  std::string body;
};

/// Bounds on what a peer may send.
struct MessageLimits {
  std::size_t header_bytes = 16U << 10U;
  std::size_t body_bytes = 64U << 20U;
};

/// True for fields that concern one connection only (RFC 9110, section 7.6.1)
/// and for the framing of the body.
bool IsConnectionField(std::string_view name);

/// Removes connection fields, and those that `Connection` names.
void RemoveConnectionFields(HeaderList& headers);

/// The registered phrase of a status code, "Unknown" for others.
std::string_view ReasonPhrase(int status);

}  // namespace cassiakeel::h1
