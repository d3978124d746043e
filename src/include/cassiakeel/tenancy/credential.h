#pragma once

#include <string_view>

#include "cassiakeel/http/message.h"

namespace cassiakeel::tenancy {

/// The key that a request shows in its header field `Authorization: Bearer KEY`
/// (RFC 6750). The scheme is matched without regard to case.
struct Credential {
  enum class State {
    kMissing,
    /// Several fields, another scheme, or a key that is empty, too long or has
    /// characters that a token may not have.
    kMalformed,
    kPresent,
  };
  State state = State::kMissing;
  /// Refers to the header field; empty unless `state` is `kPresent`.
  std::string_view key;
};

Credential ReadCredential(const http::HeaderList& headers);

/// Name of the header field with the credential.
inline constexpr std::string_view kCredentialField = "Authorization";

}  // namespace cassiakeel::tenancy
