#include "cassiakeel/h1/message.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <vector>

#include "cassiakeel/syntax/message.h"

namespace cassiakeel::h1 {
namespace {

constexpr std::array<std::string_view, 9> kConnectionFields = {
    "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
    "TE",         "Trailer",    "Upgrade",          "Content-Length",
    "Expect"};

std::vector<std::string> FieldsListedInConnection(const HeaderList& headers) {
  std::vector<std::string> names;
  for (const auto& [name, value] : headers) {
    if (!EqualsIgnoreCase(name, "Connection")) {
      continue;
    }
    std::string token;
    for (const char c : value + ",") {
      if (c == ',') {
        if (!token.empty()) {
          names.push_back(std::move(token));
        }
        token.clear();
      } else if (c != ' ' && c != '\t') {
        token.push_back(c);
      }
    }
  }
  return names;
}

}  // namespace

std::optional<std::uint64_t> LengthToSend(const Response& response,
                                          bool to_head) {
  if (syntax::MayHaveContent(response.status, to_head)) {
    return response.body.size();
  }
  // A handler may have made the content that a GET gets.
  if (to_head && !response.get_length && !response.body.empty()) {
    return response.body.size();
  }
  return response.get_length;
}

bool IsConnectionField(std::string_view name) {
  return std::any_of(
      kConnectionFields.begin(), kConnectionFields.end(),
      [name](std::string_view field) { return EqualsIgnoreCase(field, name); });
}

void RemoveConnectionFields(HeaderList& headers) {
  const auto listed = FieldsListedInConnection(headers);
  std::erase_if(headers, [&listed](const auto& field) {
    return IsConnectionField(field.first) ||
           std::any_of(listed.begin(), listed.end(),
                       [&field](const auto& name) {
                         return EqualsIgnoreCase(name, field.first);
                       });
  });
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
#define CASSIAKEEL_STATUS_CASE(code, name, phrase) \
  case code:                                       \
    return #phrase;
    HTTP_STATUS_MAP(CASSIAKEEL_STATUS_CASE)
#undef CASSIAKEEL_STATUS_CASE
    default:
      return "Unknown";
  }
}

}  // namespace cassiakeel::h1
