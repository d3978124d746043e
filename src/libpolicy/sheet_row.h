#pragma once

#include <functional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cassiakeel/policy/sheet.h"

namespace cassiakeel::policy::pvt {

/// One request kind as its row states it. `bad` names the columns whose cell
/// was not accepted, so that later checks pass over them.
struct SheetRow {
  int number = 0;
  ServiceName service;
  KindPolicy kind;
  int max_in_flight = 0;
  Slots short_reserved{0};
  std::set<std::string_view> bad;

  bool Has(std::string_view column) const {
    return !this->bad.contains(column);
  }
};

/// A column of the sheet: what it accepts in words, and how a cell is stored.
/// `store` returns false for a cell that is not accepted.
struct SheetColumn {
  std::string_view name;
  std::string accepted;
  std::function<bool(std::string_view cell, SheetRow& row)> store;
};

/// All columns in the order of the documentation.
std::span<const SheetColumn> SheetColumns();

/// Checks that need several cells or rows. Appends to the faults.
void CheckRows(const std::vector<SheetRow>& rows,
               std::vector<SheetFault>& faults);

/// Warnings on rows without faults.
void WarnRows(const std::vector<SheetRow>& rows,
              std::vector<SheetWarning>& warnings);

}  // namespace cassiakeel::policy::pvt
