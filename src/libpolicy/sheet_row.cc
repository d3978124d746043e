#include "sheet_row.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include <fmt/format.h>

#include "path_pattern.h"

namespace cassiakeel::policy::pvt {
namespace {

constexpr std::size_t kMaxNameLength = 63;
constexpr std::size_t kMaxMethodLength = 16;
/// No request outlives a day; nodes keep deduplication entries as long.
constexpr int kMaxDurationMs = 24 * 60 * 60 * 1000;
/// Depth of a call chain is at most 16, so that more retries are no use.
constexpr int kMaxRetries = 16;
constexpr int kMaxInFlight = 100'000;
/// At 100% every failure would exhaust the error budget at once.
constexpr double kMaxSloPercent = 99.999;
/// Path prefix of the nodes' own interfaces.
constexpr std::string_view kReservedService = "cassiakeel";

std::string Lower(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) {
    c = c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
  }
  return lower;
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         text.front() != '-' &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
         });
}

bool IsMethod(std::string_view text) {
  return text == "*" || (!text.empty() && text.size() <= kMaxMethodLength &&
                         std::all_of(text.begin(), text.end(), [](char c) {
                           return c >= 'A' && c <= 'Z';
                         }));
}

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number{};
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

template <typename T, typename U>
bool Store(const std::optional<T>& value, U& target) {
  if (value) {
    target = U(*value);
  }
  return value.has_value();
}

std::optional<bool> ParseFlag(std::string_view cell) {
  const std::string flag = Lower(cell);
  if (flag == "yes" || flag == "true") {
    return true;
  }
  if (flag == "no" || flag == "false") {
    return false;
  }
  return std::nullopt;
}

bool StoreSloPercent(std::string_view cell, SheetRow& row) {
  // Spreadsheets of many languages export a decimal comma.
  std::string text(cell);
  std::replace(text.begin(), text.end(), ',', '.');
  const auto number = ParseNumber<double>(text);
  // The comparison also refuses NaN.
  if (!number || !(*number >= 1.0 && *number <= kMaxSloPercent)) {
    return false;
  }
  row.kind.objective.percent = *number;
  return true;
}

// A column that holds a whole number from `low` to `high`.
SheetColumn WholeNumber(std::string_view name,
                        int low,
                        int high,
                        std::function<void(int, SheetRow&)> set) {
  return {
      name, fmt::format("a whole number from {} to {}", low, high),
      [low, high, set = std::move(set)](std::string_view cell, SheetRow& row) {
        const auto number = ParseNumber<int>(cell);
        if (!number || *number < low || *number > high) {
          return false;
        }
        set(*number, row);
        return true;
      }};
}

std::vector<SheetColumn> NameColumns() {
  return {
      {"service", "1 to 63 of a-z, 0-9 and -, other than \"cassiakeel\"",
       [](std::string_view cell, SheetRow& row) {
         row.service = ServiceName(std::string(cell));
         return IsName(cell) && cell != kReservedService;
       }},
      {"kind", "1 to 63 of a-z, 0-9 and -",
       [](std::string_view cell, SheetRow& row) {
         row.kind.kind = KindName(std::string(cell));
         return IsName(cell);
       }},
      {"method", "an upper-case HTTP method, or * for all",
       [](std::string_view cell, SheetRow& row) {
         row.kind.method = cell;
         return IsMethod(cell);
       }},
      {"path",
       "a path such as /rooms/{id}/assign: segments of letters, digits and "
       "-._~, {name} for any one segment, ** only as the last",
       [](std::string_view cell, SheetRow& row) {
         row.kind.path = cell;
         return IsPathPattern(cell);
       }},
      {"class", "critical, interactive, internal or background",
       [](std::string_view cell, SheetRow& row) {
         return Store(ParseRequestClass(Lower(cell)), row.kind.request_class);
       }},
      {"length", "short or long",
       [](std::string_view cell, SheetRow& row) {
         return Store(ParseWorkLength(Lower(cell)), row.kind.length);
       }},
      {"idempotent", "yes, no, true or false",
       [](std::string_view cell, SheetRow& row) {
         return Store(ParseFlag(cell), row.kind.idempotent);
       }},
  };
}

std::vector<SheetColumn> NumberColumns() {
  using std::chrono::milliseconds;
  return {
      WholeNumber(
          "deadline_ms", 1, kMaxDurationMs,
          [](int n, SheetRow& row) { row.kind.deadline = milliseconds(n); }),
      WholeNumber("retries", 0, kMaxRetries,
                  [](int n, SheetRow& row) { row.kind.retries = n; }),
      WholeNumber(
          "slot_share_percent", 1, 100,
          [](int n, SheetRow& row) { row.kind.slot_share = Percent(n); }),
      WholeNumber(
          "max_wait_ms", 0, kMaxDurationMs,
          [](int n, SheetRow& row) { row.kind.max_wait = milliseconds(n); }),
      {"slo_percent", fmt::format("a number from 1 to {}", kMaxSloPercent),
       StoreSloPercent},
      WholeNumber("slo_latency_ms", 1, kMaxDurationMs,
                  [](int n, SheetRow& row) {
                    row.kind.objective.latency = milliseconds(n);
                  }),
      WholeNumber("max_in_flight", 1, kMaxInFlight,
                  [](int n, SheetRow& row) { row.max_in_flight = n; }),
      WholeNumber("short_reserved", 0, kMaxInFlight,
                  [](int n, SheetRow& row) { row.short_reserved = Slots(n); }),
  };
}

}  // namespace

std::span<const SheetColumn> SheetColumns() {
  static const std::vector<SheetColumn> kColumns = [] {
    auto columns = NameColumns();
    for (auto& column : NumberColumns()) {
      columns.push_back(std::move(column));
    }
    return columns;
  }();
  return kColumns;
}

}  // namespace cassiakeel::policy::pvt
