#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "cassiakeel/base/error.h"
#include "cassiakeel/policy/policy.h"

namespace cassiakeel::policy {

/// Largest sheet that is read.
inline constexpr std::size_t kMaxSheetBytes = std::size_t{1} << 20;
/// `FindKind` compares kinds one by one for each call, so their number is
/// bounded.
inline constexpr std::size_t kMaxKindsPerService = 256;

/// One reason why a sheet is not accepted. `row` counts from 1 as a
/// spreadsheet does; 0 stands for the whole file.
struct SheetFault {
  int row = 0;
  std::string column;
  std::string value;
  /// What would be accepted instead.
  std::string accepted;

  std::string ToString() const;
};

/// Something legal that is probably not what the planner wants.
struct SheetWarning {
  int row = 0;
  std::string column;
  std::string message;

  std::string ToString() const;
};

/// Everything found in one sheet. `policy` is complete only when `ok()`; its
/// version is 0 until an approval gives it one.
struct SheetReport {
  Policy policy;
  std::vector<SheetFault> faults;
  std::vector<SheetWarning> warnings;

  bool ok() const { return this->faults.empty(); }
};

/// Reads a CSV sheet as spreadsheets export it: UTF-8 with or without
/// byte-order mark, comma or semicolon, any line ends, quoted cells, blank
/// rows. All faults are found in one pass, so that a planner corrects a sheet
/// once. docs/sheet-format.md describes the columns.
SheetReport CheckSheet(std::string_view bytes);

/// `CheckSheet` for programs: the policy, or one error that lists all faults.
/// A sheet with any fault is refused whole.
Result<Policy> ParseSheet(std::string_view bytes);

}  // namespace cassiakeel::policy
