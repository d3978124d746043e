#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace cassiakeel::pvt {

/// Table of enumerators and their names on the wire.
template <typename Enum, std::size_t N>
using EnumNames = std::array<std::pair<Enum, std::string_view>, N>;

template <typename Enum, std::size_t N>
std::string_view NameOf(const EnumNames<Enum, N>& names, Enum value) {
  for (const auto& [candidate, name] : names) {
    if (candidate == value) {
      return name;
    }
  }
  return "";
}

template <typename Enum, std::size_t N>
std::optional<Enum> ValueOf(const EnumNames<Enum, N>& names,
                            std::string_view wanted) {
  for (const auto& [value, name] : names) {
    if (name == wanted) {
      return value;
    }
  }
  return std::nullopt;
}

}  // namespace cassiakeel::pvt
