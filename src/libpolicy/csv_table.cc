#include "csv_table.h"

#include <csv.h>

#include <algorithm>
#include <memory>

#include <fmt/format.h>

namespace cassiakeel::policy::pvt {
namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
constexpr std::string_view kStep = "read sheet";

struct Collector {
  std::vector<CsvRow> rows;
  CsvRow current{1, {}};
};

std::string Trimmed(std::string_view text) {
  const auto first = text.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) {
    return "";
  }
  return std::string(
      text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1));
}

void OnCell(void* bytes, std::size_t size, void* data) {
  auto& collector = *static_cast<Collector*>(data);
  collector.current.cells.push_back(
      Trimmed({static_cast<const char*>(bytes), size}));
}

void OnRowEnd(int, void* data) {
  auto& collector = *static_cast<Collector*>(data);
  const int next = collector.current.number + 1;
  const auto& cells = collector.current.cells;
  const bool blank = std::all_of(cells.begin(), cells.end(),
                                 [](const auto& c) { return c.empty(); });
  if (!blank) {
    collector.rows.push_back(std::move(collector.current));
  }
  collector.current = CsvRow{next, {}};
}

// libcsv counts CR LF as two row ends when it reports blank rows, which would
// shift the row numbers.
std::string WithPlainLineEnds(std::string_view bytes) {
  std::string text;
  text.reserve(bytes.size());
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    if (bytes[i] != '\r') {
      text += bytes[i];
    } else if (i + 1 == bytes.size() || bytes[i + 1] != '\n') {
      text += '\n';
    }
  }
  return text;
}

char FindDelimiter(std::string_view text) {
  const auto first_line = text.substr(0, text.find('\n'));
  const auto found = first_line.find_first_of(",;");
  return found == std::string_view::npos ? ',' : first_line[found];
}

// Length of the UTF-8 sequence at the start of `text`, 0 where it is invalid
// (Unicode Standard, table 3-7).
std::size_t SequenceLength(std::string_view text) {
  const auto byte = [&](std::size_t i) {
    return i < text.size() ? static_cast<unsigned char>(text[i]) : 0U;
  };
  const auto tail = [&](std::size_t i) { return (byte(i) & 0xC0U) == 0x80U; };
  const auto lead = byte(0);
  if (lead < 0x80) {
    return lead == 0 ? 0 : 1;
  }
  if (lead >= 0xC2 && lead <= 0xDF) {
    return tail(1) ? 2 : 0;
  }
  if (lead >= 0xE0 && lead <= 0xEF) {
    const bool overlong = lead == 0xE0 && byte(1) < 0xA0;
    const bool surrogate = lead == 0xED && byte(1) > 0x9F;
    return tail(1) && tail(2) && !overlong && !surrogate ? 3 : 0;
  }
  if (lead >= 0xF0 && lead <= 0xF4) {
    const bool overlong = lead == 0xF0 && byte(1) < 0x90;
    const bool beyond = lead == 0xF4 && byte(1) > 0x8F;
    return tail(1) && tail(2) && tail(3) && !overlong && !beyond ? 4 : 0;
  }
  return 0;
}

}  // namespace

bool IsUtf8Text(std::string_view bytes) {
  while (!bytes.empty()) {
    const auto length = SequenceLength(bytes);
    if (length == 0) {
      return false;
    }
    bytes.remove_prefix(length);
  }
  return true;
}

Result<std::vector<CsvRow>> ReadCsv(std::string_view bytes) {
  if (bytes.starts_with(kByteOrderMark)) {
    bytes.remove_prefix(kByteOrderMark.size());
  }
  const std::string text = WithPlainLineEnds(bytes);
  csv_parser parser;
  if (csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL) != 0) {
    return Fail(std::string(kStep), "the CSV parser cannot be set up");
  }
  const std::unique_ptr<csv_parser, decltype(&csv_free)> guard(&parser,
                                                               csv_free);
  csv_set_delim(&parser, static_cast<unsigned char>(FindDelimiter(text)));
  Collector collector;
  const auto parsed = csv_parse(&parser, text.data(), text.size(), OnCell,
                                OnRowEnd, &collector);
  if (parsed != text.size() ||
      csv_fini(&parser, OnCell, OnRowEnd, &collector) != 0) {
    return Fail(std::string(kStep),
                fmt::format("misplaced or unclosed quote in or after row {}",
                            collector.current.number));
  }
  return std::move(collector.rows);
}

}  // namespace cassiakeel::policy::pvt
