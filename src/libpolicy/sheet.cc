#include "cassiakeel/policy/sheet.h"

#include <algorithm>
#include <map>

#include <fmt/format.h>

#include "cassiakeel/policy/approval.h"
#include "csv_table.h"
#include "sheet_row.h"

namespace cassiakeel::policy {
namespace {

constexpr std::string_view kFormatName = "cassiakeel-sheet";
constexpr std::string_view kFormatVersion = "1";
/// A file of 1 MiB that is no sheet could have millions of faults.
constexpr std::size_t kMaxFaults = 1000;
constexpr std::string_view kFormatAccepted =
    "first row cassiakeel-sheet,1 (name and version of the format)";

/// Column of the documentation for each cell position; null for a position
/// without a known header.
using Header = std::vector<const pvt::SheetColumn*>;

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
  });
  return text;
}

const pvt::SheetColumn* FindColumn(const std::string& name) {
  for (const auto& column : pvt::SheetColumns()) {
    if (column.name == name) {
      return &column;
    }
  }
  return nullptr;
}

std::string ColumnNames() {
  std::string names;
  for (const auto& column : pvt::SheetColumns()) {
    names += fmt::format("{}{}", names.empty() ? "" : ", ", column.name);
  }
  return names;
}

Header ReadHeader(const pvt::CsvRow& row, std::vector<SheetFault>& faults) {
  Header header;
  for (const std::string& cell : row.cells) {
    const auto* column = FindColumn(Lower(cell));
    if (column != nullptr &&
        std::find(header.begin(), header.end(), column) != header.end()) {
      faults.push_back(
          {row.number, std::string(column->name), cell, "each column once"});
      column = nullptr;
    } else if (column == nullptr && !cell.empty()) {
      faults.push_back({row.number, cell, cell, "one of " + ColumnNames()});
    }
    header.push_back(column);
  }
  for (const auto& column : pvt::SheetColumns()) {
    if (std::find(header.begin(), header.end(), &column) == header.end()) {
      faults.push_back({row.number, std::string(column.name), "",
                        "a header cell " + std::string(column.name)});
    }
  }
  return header;
}

pvt::SheetRow ReadRow(const pvt::CsvRow& csv,
                      const Header& header,
                      std::vector<SheetFault>& faults) {
  pvt::SheetRow row;
  row.number = csv.number;
  for (const auto& column : pvt::SheetColumns()) {
    const auto position =
        std::find(header.begin(), header.end(), &column) - header.begin();
    if (position == std::ssize(header)) {
      // Reported once, with the header.
      row.bad.insert(column.name);
      continue;
    }
    const std::string cell =
        position < std::ssize(csv.cells) ? csv.cells[position] : "";
    if (!column.store(cell, row)) {
      row.bad.insert(column.name);
      faults.push_back(
          {csv.number, std::string(column.name), cell, column.accepted});
    }
  }
  for (std::size_t i = header.size(); i < csv.cells.size(); ++i) {
    if (!csv.cells[i].empty()) {
      faults.push_back({csv.number, fmt::format("number {}", i + 1),
                        csv.cells[i], "no cell beyond the header"});
    }
  }
  return row;
}

bool CheckFormatRow(const pvt::CsvRow& row, std::vector<SheetFault>& faults) {
  const std::string name = row.cells[0];
  const std::string version = row.cells.size() > 1 ? row.cells[1] : "";
  if (name != kFormatName) {
    faults.push_back(
        {row.number, "format", name, std::string(kFormatAccepted)});
  } else if (version != kFormatVersion) {
    faults.push_back(
        {row.number, "format version", version, std::string(kFormatVersion)});
  }
  return faults.empty();
}

void FillPolicy(const std::vector<pvt::SheetRow>& rows, Policy& policy) {
  for (const auto& row : rows) {
    ServicePolicy& service = policy.services[row.service];
    service.service = row.service;
    service.max_in_flight = row.max_in_flight;
    service.short_reserved = row.short_reserved;
    service.kinds.push_back(row.kind);
  }
}

void ReadRows(const std::vector<pvt::CsvRow>& csv, SheetReport& report) {
  if (csv.empty() || !CheckFormatRow(csv[0], report.faults)) {
    if (csv.empty()) {
      report.faults.push_back({1, "format", "", std::string(kFormatAccepted)});
    }
    return;
  }
  if (csv.size() < 3) {
    report.faults.push_back(
        {0, "", "", "a header row and at least one request kind"});
    return;
  }
  const Header header = ReadHeader(csv[1], report.faults);
  std::vector<pvt::SheetRow> rows;
  for (std::size_t i = 2; i < csv.size(); ++i) {
    rows.push_back(ReadRow(csv[i], header, report.faults));
    if (report.faults.size() >= kMaxFaults) {
      report.faults.push_back({csv[i].number, "", "too many faults",
                               "correct those listed, then check again"});
      return;
    }
  }
  pvt::CheckRows(rows, report.faults);
  pvt::WarnRows(rows, report.warnings);
  if (report.ok()) {
    FillPolicy(rows, report.policy);
  }
}

std::string Place(int row, const std::string& column) {
  if (row == 0) {
    return "sheet";
  }
  return column.empty() ? fmt::format("row {}", row)
                        : fmt::format("row {}, column {}", row, column);
}

}  // namespace

std::string SheetFault::ToString() const {
  return fmt::format("{}: \"{}\" is not accepted; accepted: {}",
                     Place(this->row, this->column), this->value,
                     this->accepted);
}

std::string SheetWarning::ToString() const {
  return Place(this->row, this->column) + ": " + this->message;
}

SheetReport CheckSheet(std::string_view bytes) {
  SheetReport report;
  report.policy.digest = Sha256Hex(bytes);
  if (bytes.size() > kMaxSheetBytes) {
    report.faults.push_back(
        {0, "", fmt::format("{} bytes", bytes.size()),
         fmt::format("a file of at most {} bytes", kMaxSheetBytes)});
    return report;
  }
  if (!pvt::IsUtf8Text(bytes)) {
    report.faults.push_back(
        {0, "", "binary or other encoding", "CSV exported as UTF-8"});
    return report;
  }
  const auto csv = pvt::ReadCsv(bytes);
  if (!csv) {
    report.faults.push_back({0, "", csv.error().message,
                             "quotes around whole cells, doubled inside them"});
    return report;
  }
  ReadRows(*csv, report);
  std::stable_sort(report.faults.begin(), report.faults.end(),
                   [](const auto& a, const auto& b) { return a.row < b.row; });
  return report;
}

Result<Policy> ParseSheet(std::string_view bytes) {
  SheetReport report = CheckSheet(bytes);
  if (report.ok()) {
    return std::move(report.policy);
  }
  std::string message;
  for (const auto& fault : report.faults) {
    message +=
        fmt::format("{}{}", message.empty() ? "" : "\n", fault.ToString());
  }
  return Fail("parse sheet", std::move(message));
}

}  // namespace cassiakeel::policy
