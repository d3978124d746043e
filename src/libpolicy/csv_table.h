#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cassiakeel/base/error.h"

namespace cassiakeel::policy::pvt {

/// One row of a sheet with its cells trimmed. `number` is the row that a
/// spreadsheet shows.
struct CsvRow {
  int number = 0;
  std::vector<std::string> cells;
};

/// The rows of a CSV file that are not blank. Fails on a quote that is opened
/// and never closed, or misplaced.
Result<std::vector<CsvRow>> ReadCsv(std::string_view bytes);

/// Whether `bytes` is well-formed UTF-8 without NUL, so that messages about it
/// can be shown and encoded as JSON.
bool IsUtf8Text(std::string_view bytes);

}  // namespace cassiakeel::policy::pvt
