#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cassiakeel/base/clock.h"

namespace cassiakeel::mesh::pvt {

/// Structured lines about decisions, through log4cxx. A bucket bounds the lines
/// a second, so that an overload is not made worse by describing it; what was
/// left out is counted in the next line.
class DecisionLog {
 public:
  explicit DecisionLog(const Clock& clock) : clock(clock) {}

  /// True if a line about a request may be written now; takes a token.
  bool Admit();
  /// Writes {"event": event, fields...}; `fields` are JSON members such as
  /// `"route":"a","age_ms":3`.
  void Write(std::string_view event, const std::string& fields);
  /// `Write`, if `Admit` allows it.
  void Request(std::string_view event, const std::string& fields) {
    if (this->Admit()) {
      this->Write(event, fields);
    }
  }
  std::uint64_t left_out() const { return this->dropped_total; }

 private:
  const Clock& clock;
  double tokens = 0;
  SteadyTime refilled;
  std::uint64_t dropped = 0;
  std::uint64_t dropped_total = 0;
};

/// `"name":"value"` with the value escaped.
std::string Text(std::string_view name, std::string_view value);
/// A share in thousandths, for `Num`.
std::int64_t Permille(double share);
/// `"name":value`.
std::string Num(std::string_view name, std::int64_t value);

}  // namespace cassiakeel::mesh::pvt
