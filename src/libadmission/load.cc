#include <fmt/format.h>

#include <array>
#include <charconv>
#include <limits>

#include "cassiakeel/admission/state.h"

namespace cassiakeel::admission {
namespace {

constexpr std::string_view kStep = "parse load";
// Bounds the work on a malformed header. Exceeds the five fields of this
// release, so that later releases can add some.
constexpr int kMaxFields = 32;

std::string_view Trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool ParseCount(std::string_view text, int max, int& value) {
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() &&
         value >= 0 && value <= max;
}

}  // namespace

std::string FormatLoad(const Load& load) {
  return fmt::format(
      "in-flight={}, limit={}, queued={}, accepts={}, leaving={}",
      load.in_flight, load.limit, load.queued, RequestClassName(load.accepts),
      load.leaving ? 1 : 0);
}

Result<Load> ParseLoad(std::string_view text) {
  constexpr std::array<std::string_view, 5> kNames = {
      "in-flight", "limit", "queued", "accepts", "leaving"};
  constexpr int kMaxCount = std::numeric_limits<int>::max();
  std::array<bool, 5> seen{};
  Load load;
  int fields = 0;
  while (!text.empty()) {
    if (++fields > kMaxFields) {
      return Fail(std::string(kStep), "load header has too many fields");
    }
    const auto comma = text.find(',');
    const auto field = Trim(text.substr(0, comma));
    text = comma == std::string_view::npos ? std::string_view()
                                           : text.substr(comma + 1);
    const auto equals = field.find('=');
    if (equals == std::string_view::npos) {
      return Fail(std::string(kStep),
                  "load header field is not of the form name=value");
    }
    const auto name = Trim(field.substr(0, equals));
    const auto value = Trim(field.substr(equals + 1));
    const auto index = static_cast<std::size_t>(
        std::find(kNames.begin(), kNames.end(), name) - kNames.begin());
    if (index == kNames.size()) {
      continue;
    }
    if (seen[index]) {
      return Fail(std::string(kStep),
                  fmt::format("load header has field {} more than once", name));
    }
    seen[index] = true;
    int leaving = 0;
    bool valid = false;
    switch (index) {
      case 0:
        valid = ParseCount(value, kMaxCount, load.in_flight);
        break;
      case 1:
        valid = ParseCount(value, kMaxCount, load.limit);
        break;
      case 2:
        valid = ParseCount(value, kMaxCount, load.queued);
        break;
      case 3:
        if (const auto parsed = ParseRequestClass(value)) {
          load.accepts = *parsed;
          valid = true;
        }
        break;
      default:
        valid = ParseCount(value, 1, leaving);
        load.leaving = leaving == 1;
    }
    if (!valid) {
      return Fail(
          std::string(kStep),
          fmt::format("load header has an invalid value of field {}", name));
    }
  }
  for (std::size_t i = 0; i < seen.size(); ++i) {
    if (!seen[i]) {
      return Fail(std::string(kStep),
                  fmt::format("load header lacks field {}", kNames[i]));
    }
  }
  return load;
}

}  // namespace cassiakeel::admission
