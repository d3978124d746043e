#include "path_pattern.h"

#include <algorithm>
#include <optional>
#include <string>

namespace cassiakeel::policy::pvt {
namespace {

constexpr std::string_view kRest = "**";
constexpr std::size_t kMaxPatternLength = 512;

// Takes the next segment off `rest`, which is empty or starts with "/".
std::optional<std::string_view> NextSegment(std::string_view& rest) {
  if (rest.empty() || rest.front() != '/') {
    return std::nullopt;
  }
  rest.remove_prefix(1);
  const auto length = std::min(rest.find('/'), rest.size());
  const auto segment = rest.substr(0, length);
  rest.remove_prefix(length);
  return segment;
}

bool IsVariable(std::string_view segment) {
  return segment.size() > 2 && segment.front() == '{' && segment.back() == '}';
}

bool IsUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' || c == '~';
}

bool AllUnreserved(std::string_view text) {
  return std::all_of(text.begin(), text.end(), IsUnreserved);
}

int HexDigit(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  const char lower = static_cast<char>(c | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string DecodeUnreserved(std::string_view segment) {
  std::string decoded;
  for (std::size_t i = 0; i < segment.size(); ++i) {
    if (segment[i] == '%' && i + 2 < segment.size()) {
      const int high = HexDigit(segment[i + 1]);
      const int low = HexDigit(segment[i + 2]);
      const char c = static_cast<char>(high * 16 + low);
      if (high >= 0 && low >= 0 && IsUnreserved(c)) {
        decoded += c;
        i += 2;
        continue;
      }
    }
    decoded += segment[i];
  }
  return decoded;
}

bool SegmentEquals(std::string_view literal, std::string_view segment) {
  if (segment.find('%') == std::string_view::npos) {
    return literal == segment;
  }
  return literal == DecodeUnreserved(segment);
}

}  // namespace

bool IsPathPattern(std::string_view text) {
  if (text == "/") {
    return true;
  }
  if (text.empty() || text.front() != '/' || text.size() > kMaxPatternLength) {
    return false;
  }
  std::string_view rest = text;
  while (const auto segment = NextSegment(rest)) {
    if (*segment == kRest) {
      return rest.empty();
    }
    const bool variable = IsVariable(*segment) && AllUnreserved(segment->substr(
                                                      1, segment->size() - 2));
    if (segment->empty() || !(variable || AllUnreserved(*segment))) {
      return false;
    }
  }
  return !HasDotSegment(text);
}

bool PathMatches(std::string_view pattern, std::string_view path) {
  while (true) {
    const auto wanted = NextSegment(pattern);
    if (wanted == kRest) {
      return true;
    }
    const auto segment = NextSegment(path);
    if (!wanted || !segment) {
      return !wanted && !segment && path.empty();
    }
    const bool matches = IsVariable(*wanted) ? !segment->empty()
                                             : SegmentEquals(*wanted, *segment);
    if (!matches) {
      return false;
    }
  }
}

bool PatternCovers(std::string_view wide, std::string_view narrow) {
  while (true) {
    const auto wanted = NextSegment(wide);
    if (wanted == kRest) {
      return true;
    }
    const auto segment = NextSegment(narrow);
    if (!wanted || !segment) {
      return !wanted && !segment;
    }
    if (*segment == kRest || segment->empty() != wanted->empty()) {
      return false;
    }
    if (!IsVariable(*wanted) && *wanted != *segment) {
      return false;
    }
  }
}

bool HasDotSegment(std::string_view path) {
  while (const auto segment = NextSegment(path)) {
    if (SegmentEquals(".", *segment) || SegmentEquals("..", *segment)) {
      return true;
    }
  }
  return false;
}

}  // namespace cassiakeel::policy::pvt
