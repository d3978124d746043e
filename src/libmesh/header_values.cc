#include "header_values.h"

#include <array>
#include <charconv>
#include <cstdint>
#include <cstdio>

namespace cassiakeel::mesh::pvt {

std::optional<std::chrono::milliseconds> ParseMilliseconds(
    const std::string* text) {
  if (text == nullptr) {
    return std::nullopt;
  }
  std::int64_t value = 0;
  const auto* last = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), last, value);
  if (parsed.ec != std::errc() || value < 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(value);
}

std::string FormatSeconds(std::chrono::milliseconds time) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f",
                static_cast<double>(time.count()) / 1000);
  return text.data();
}

void RemoveHopByHopFields(h1::HeaderList& headers, const FieldNames& fields) {
  h1::RemoveConnectionFields(headers);
  std::erase_if(headers, [&fields](const auto& field) {
    return h1::EqualsIgnoreCase(field.first, fields.timeout_ms) ||
           h1::EqualsIgnoreCase(field.first, fields.caller_service) ||
           h1::EqualsIgnoreCase(field.first, fields.expected_instance) ||
           h1::EqualsIgnoreCase(field.first, kCallField);
  });
}

}  // namespace cassiakeel::mesh::pvt
