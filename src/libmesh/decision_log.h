#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cassiakeel/base/clock.h"

namespace cassiakeel::mesh::pvt {

/// Writes structured log lines about decisions through log4cxx. A token bucket
/// limits the rate, so that logging does not add to an overload. The next line
/// contains the number of dropped lines.
class DecisionLog {
 public:
  explicit DecisionLog(const Clock& clock) : clock(clock) {}

  /// Takes a token from the bucket. Returns false if the line has to be
  /// dropped.
  bool TakeToken();
  /// Writes {"event": event, fields...}; `fields` are JSON members such as
  /// `"route":"a","age_ms":3`.
  void Write(std::string_view event, const std::string& fields);
  /// Calls `Write` if `TakeToken` succeeds.
  void WriteLimited(std::string_view event, const std::string& fields) {
    if (this->TakeToken()) {
      this->Write(event, fields);
    }
  }
  /// Number of lines dropped since the start.
  std::uint64_t dropped_lines() const { return this->dropped_total; }

 private:
  const Clock& clock;
  double tokens = 0;
  SteadyTime last_refill;
  std::uint64_t dropped = 0;
  std::uint64_t dropped_total = 0;
};

/// JSON member `"name":"value"` with the value escaped.
std::string JsonString(std::string_view name, std::string_view value);
/// Converts a share to thousandths, for `JsonNumber`.
std::int64_t Permille(double share);
/// JSON member `"name":value`.
std::string JsonNumber(std::string_view name, std::int64_t value);

}  // namespace cassiakeel::mesh::pvt
