#pragma once

#include <algorithm>
#include <cctype>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cassiakeel::http {

/// Header fields in message order. Names are case-insensitive.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// Compares ASCII strings, such as header names, case-insensitively.
inline bool EqualsIgnoreCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

/// Value of the first field with this name, or null.
inline const std::string* FindHeader(const HeaderList& headers,
                                     std::string_view name) {
  for (const auto& [field, value] : headers) {
    if (EqualsIgnoreCase(field, name)) {
      return &value;
    }
  }
  return nullptr;
}

}  // namespace cassiakeel::http
