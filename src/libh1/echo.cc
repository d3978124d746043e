#include "echo.h"

namespace cassiakeel::h1::pvt {

Answered FindAnswered(const HeaderList& headers,
                      const std::string& field,
                      const std::string& value,
                      bool is_first) {
  if (field.empty()) {
    return Answered::kCurrent;
  }
  if (value.empty()) {
    return is_first ? Answered::kOnly : Answered::kUnknown;
  }
  bool repeats_value = false;
  bool repeats_other = false;
  for (const auto& [name, repeated] : headers) {
    if (EqualsIgnoreCase(name, field)) {
      (repeated == value ? repeats_value : repeats_other) = true;
    }
  }
  if (repeats_value) {
    return repeats_other ? Answered::kUnknown : Answered::kCurrent;
  }
  if (repeats_other) {
    return Answered::kEarlier;
  }
  return is_first ? Answered::kOnly : Answered::kUnknown;
}

}  // namespace cassiakeel::h1::pvt
