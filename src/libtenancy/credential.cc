#include "cassiakeel/tenancy/credential.h"

#include <algorithm>
#include <cctype>

namespace cassiakeel::tenancy {
namespace {

// Far more than any key; a longer one is refused without being hashed.
constexpr std::size_t kMaxKeyBytes = 4096;
constexpr std::string_view kScheme = "bearer";
// Characters of a token besides letters and digits (b64token of RFC 6750).
constexpr std::string_view kTokenPunctuation = "-._~+/=";

bool IsTokenCharacter(unsigned char c) {
  return std::isalnum(c) != 0 ||
         kTokenPunctuation.find(static_cast<char>(c)) != std::string_view::npos;
}

bool IsToken(std::string_view text) {
  return !text.empty() && text.size() <= kMaxKeyBytes &&
         std::ranges::all_of(text, IsTokenCharacter);
}

// The key of one field value, or empty if it is malformed.
std::string_view KeyOf(std::string_view value) {
  const auto space = value.find(' ');
  if (space == std::string_view::npos ||
      !http::EqualsIgnoreCase(value.substr(0, space), kScheme)) {
    return {};
  }
  const auto start = value.find_first_not_of(' ', space);
  if (start == std::string_view::npos) {
    return {};
  }
  const auto key = value.substr(start);
  return IsToken(key) ? key : std::string_view();
}

}  // namespace

Credential ReadCredential(const http::HeaderList& headers) {
  Credential credential;
  for (const auto& [name, value] : headers) {
    if (!http::EqualsIgnoreCase(name, kCredentialField)) {
      continue;
    }
    if (credential.state != Credential::State::kMissing) {
      return {Credential::State::kMalformed, {}};
    }
    const auto key = KeyOf(value);
    credential = key.empty() ? Credential{Credential::State::kMalformed, {}}
                             : Credential{Credential::State::kPresent, key};
  }
  return credential;
}

}  // namespace cassiakeel::tenancy
