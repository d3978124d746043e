#include "cassiakeel/syntax/message.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

#include "cassiakeel/http/message.h"

namespace cassiakeel::syntax {
namespace {

using http::EqualsIgnoreCase;

constexpr std::string_view kVersionPrefix = "HTTP/1.";
constexpr int kStatusDigits = 3;
constexpr int kSwitchingProtocols = 101;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

using CharSet = std::array<bool, 256>;

constexpr CharSet MakeTokenChars() {
  CharSet set{};
  for (const char c : std::string_view("!#$%&'*+-.^_`|~")) {
    set[static_cast<unsigned char>(c)] = true;
  }
  for (int c = '0'; c <= '9'; ++c) {
    set[c] = true;
  }
  for (int c = 'A'; c <= 'Z'; ++c) {
    set[c] = true;
    set[c - 'A' + 'a'] = true;
  }
  return set;
}

// Visible characters, bytes beyond ASCII, space and tab.
constexpr CharSet MakeTextChars() {
  CharSet set{};
  for (int c = ' '; c < 256; ++c) {
    set[c] = c != 0x7f;
  }
  set['\t'] = true;
  return set;
}

constexpr CharSet kTokenChars = MakeTokenChars();
constexpr CharSet kTextChars = MakeTextChars();

bool ConsistsOf(const CharSet& set, std::string_view text) {
  return std::all_of(text.begin(), text.end(), [&set](char c) {
    return set[static_cast<unsigned char>(c)];
  });
}

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

bool IsBlank(char c) {
  return c == ' ' || c == '\t';
}

// Removes blanks at the start.
std::string_view SkipBlanks(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  return first == std::string_view::npos ? std::string_view()
                                         : text.substr(first);
}

std::string_view Trim(std::string_view text) {
  text = SkipBlanks(text);
  while (!text.empty() && IsBlank(text.back())) {
    text.remove_suffix(1);
  }
  return text;
}

// Removes a token, which may be empty, from the start of `text`.
std::string_view TakeToken(std::string_view& text) {
  const auto end = std::find_if(text.begin(), text.end(), [](char c) {
    return !kTokenChars[static_cast<unsigned char>(c)];
  });
  const auto token =
      text.substr(0, static_cast<std::size_t>(end - text.begin()));
  text.remove_prefix(token.size());
  return token;
}

// Removes a quoted string (RFC 9110, section 5.6.4) from the start of `text`.
bool TakeQuotedString(std::string_view& text) {
  if (!text.starts_with('"')) {
    return false;
  }
  for (std::size_t i = 1; i < text.size(); ++i) {
    if (text[i] == '"') {
      text.remove_prefix(i + 1);
      return true;
    }
    if (text[i] == '\\') {
      ++i;
    }
    if (i == text.size() || !kTextChars[static_cast<unsigned char>(text[i])]) {
      return false;
    }
  }
  return false;
}

// The text after the size in a chunk line (RFC 9112, section 7.1.1).
bool AreChunkExtensions(std::string_view text) {
  while (!text.empty()) {
    text = SkipBlanks(text);
    if (!text.starts_with(';')) {
      return false;
    }
    text = SkipBlanks(text.substr(1));
    if (TakeToken(text).empty()) {
      return false;
    }
    const auto value = SkipBlanks(text);
    if (!value.starts_with('=')) {
      continue;
    }
    text = SkipBlanks(value.substr(1));
    if (!TakeQuotedString(text) && TakeToken(text).empty()) {
      return false;
    }
  }
  return true;
}

// Parses a version such as "HTTP/1.1" and returns its second part.
std::optional<int> ParseVersion(std::string_view text) {
  if (text.size() != kVersionPrefix.size() + 1 ||
      !text.starts_with(kVersionPrefix) || !IsDigit(text.back())) {
    return std::nullopt;
  }
  return text.back() - '0';
}

Result<StartLine> ParseStatusLine(std::string_view line) {
  const auto version = ParseVersion(line.substr(0, kVersionPrefix.size() + 1));
  if (!version) {
    return Fail("read status line", "the version is not HTTP/1.x");
  }
  line.remove_prefix(kVersionPrefix.size() + 1);
  if (!line.starts_with(' ')) {
    return Fail("read status line", "no space after the version");
  }
  line.remove_prefix(1);
  const auto code = line.substr(0, kStatusDigits);
  StartLine start{*version, 0};
  if (code.size() != kStatusDigits ||
      !std::all_of(code.begin(), code.end(), IsDigit)) {
    return Fail("read status line", "the status is not three digits");
  }
  std::from_chars(code.data(), code.data() + code.size(), start.status);
  if (start.status < kMinStatus || start.status > kMaxStatus ||
      start.status == kSwitchingProtocols) {
    return Fail("read status line",
                "status " + std::string(code) + " is not allowed");
  }
  line.remove_prefix(kStatusDigits);
  // The space is accepted as missing if there is no reason phrase, as section 4
  // of RFC 9112 allows; nothing follows from it.
  if ((!line.empty() && line.front() != ' ') || !ConsistsOf(kTextChars, line)) {
    return Fail("read status line", "the reason phrase is malformed");
  }
  return start;
}

Result<StartLine> ParseRequestLine(std::string_view line) {
  const auto first = line.find(' ');
  const auto last = line.rfind(' ');
  if (first == std::string_view::npos || first == last ||
      !IsToken(line.substr(0, first))) {
    return Fail("read request line", "expected method, target and version");
  }
  const auto version = ParseVersion(line.substr(last + 1));
  if (!version) {
    return Fail("read request line", "the version is not HTTP/1.x");
  }
  const auto target = line.substr(first + 1, last - first - 1);
  if (target.empty() || !std::all_of(target.begin(), target.end(), [](char c) {
        return c > ' ' && c < 0x7f;
      })) {
    return Fail("read request line", "the target is malformed");
  }
  return StartLine{*version, 0};
}

std::optional<std::uint64_t> ParseNumber(std::string_view text, int base) {
  std::uint64_t value = 0;
  const auto* last = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), last, value, base);
  if (parsed.ec != std::errc() || parsed.ptr != last) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

bool IsToken(std::string_view text) {
  return !text.empty() && ConsistsOf(kTokenChars, text);
}

bool IsFieldValue(std::string_view text) {
  return ConsistsOf(kTextChars, text) &&
         (text.empty() || (!IsBlank(text.front()) && !IsBlank(text.back())));
}

Result<StartLine> ParseStartLine(MessageKind kind, std::string_view line) {
  return kind == MessageKind::kRequest ? ParseRequestLine(line)
                                       : ParseStatusLine(line);
}

Result<FieldLine> ParseFieldLine(std::string_view line) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || !IsToken(line.substr(0, colon))) {
    return Fail("read field", "the name is not a token");
  }
  const FieldLine field{line.substr(0, colon), Trim(line.substr(colon + 1))};
  if (!ConsistsOf(kTextChars, field.value)) {
    return Fail("read field",
                "control character in the value of " + std::string(field.name));
  }
  return field;
}

Result<std::uint64_t> ParseChunkLine(std::string_view line) {
  const auto* digits_end = std::find_if(
      line.begin(), line.end(), [](char c) { return c == ';' || IsBlank(c); });
  const auto digits =
      line.substr(0, static_cast<std::size_t>(digits_end - line.begin()));
  const auto size = ParseNumber(digits, 16);
  if (!size || !AreChunkExtensions(line.substr(digits.size()))) {
    return Fail("read chunk", "the line before the data is malformed");
  }
  return *size;
}

Result<void> AddField(LengthFields& fields, const FieldLine& field) {
  if (EqualsIgnoreCase(field.name, "Content-Length")) {
    const auto length = ParseNumber(field.value, 10);
    if (!length) {
      return Fail("read length", "Content-Length is not a number");
    }
    if (fields.content_length && *fields.content_length != *length) {
      return Fail("read length", "Content-Length fields differ");
    }
    fields.content_length = length;
  } else if (EqualsIgnoreCase(field.name, "Transfer-Encoding")) {
    if (fields.has_transfer_encoding ||
        !EqualsIgnoreCase(field.value, "chunked")) {
      return Fail("read length", "the transfer coding is not just chunked");
    }
    fields.has_transfer_encoding = true;
  } else if (EqualsIgnoreCase(field.name, "Host") && ++fields.hosts > 1) {
    return Fail("read fields", "more than one Host field");
  }
  return {};
}

bool MayHaveContent(int status, bool to_head) {
  return !to_head && status / 100 != 1 && status != kNoContent &&
         status != kNotModified;
}

Result<Framing> FramingOf(MessageKind kind,
                          const StartLine& start,
                          const LengthFields& fields,
                          bool to_head) {
  if (fields.has_transfer_encoding) {
    if (fields.content_length) {
      return Fail("read length", "Content-Length beside Transfer-Encoding");
    }
    if (start.minor_version == 0) {
      return Fail("read length", "Transfer-Encoding in HTTP/1.0");
    }
  }
  if (kind == MessageKind::kResponse &&
      !MayHaveContent(start.status, to_head)) {
    // HEAD and 304 give the length of a response to GET (RFC 9110, section
    // 8.6). Other responses without content have no length; 0 is harmless.
    const bool tells_length = to_head || start.status == kNotModified;
    if (!tells_length && (fields.has_transfer_encoding ||
                          fields.content_length.value_or(0) > 0)) {
      return Fail("read length",
                  "content with status " + std::to_string(start.status));
    }
    return Framing{BodyEnd::kNone, 0};
  }
  if (fields.has_transfer_encoding) {
    return Framing{BodyEnd::kLastChunk, 0};
  }
  if (fields.content_length) {
    return Framing{BodyEnd::kLength, *fields.content_length};
  }
  return Framing{kind == MessageKind::kRequest ? BodyEnd::kNone
                                               : BodyEnd::kConnectionClose,
                 0};
}

}  // namespace cassiakeel::syntax
