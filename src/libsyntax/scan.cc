#include "cassiakeel/syntax/scan.h"

#include <algorithm>
#include <limits>

namespace cassiakeel::syntax {
namespace {

// Readers bound heads themselves; this bounds chunk extensions and trailers.
constexpr std::size_t kMaxLineBytes = 64U << 10U;
constexpr int kResetContent = 205;

Result<void> BeginBody(Scan& scan) {
  const auto framing =
      FramingOf(scan.kind, scan.start, scan.fields, scan.to_head);
  if (!framing) {
    return tl::make_unexpected(framing.error());
  }
  scan.framing = *framing;
  switch (framing->end) {
    case BodyEnd::kNone:
      scan.part = ScanPart::kComplete;
      break;
    case BodyEnd::kLength:
      scan.body_left = framing->length;
      scan.part = framing->length > 0 ? ScanPart::kBody : ScanPart::kComplete;
      break;
    case BodyEnd::kLastChunk:
      scan.part = ScanPart::kChunkLine;
      break;
    case BodyEnd::kConnectionClose:
      scan.body_left = std::numeric_limits<std::uint64_t>::max();
      scan.part = ScanPart::kBody;
      break;
  }
  return {};
}

Result<void> CheckStartLine(Scan& scan, std::string_view line) {
  if (line.empty() && scan.kind == MessageKind::kRequest) {
    // Servers ignore empty lines before a request (RFC 9112, section 2.2).
    return {};
  }
  const auto start = ParseStartLine(scan.kind, line);
  if (!start) {
    return tl::make_unexpected(start.error());
  }
  scan.start = *start;
  scan.part = ScanPart::kFieldLine;
  return {};
}

Result<void> CheckFieldLine(Scan& scan, std::string_view line) {
  if (line.empty()) {
    return BeginBody(scan);
  }
  const auto field = ParseFieldLine(line);
  if (!field) {
    return tl::make_unexpected(field.error());
  }
  return AddField(scan.fields, *field);
}

Result<void> CheckChunkLine(Scan& scan, std::string_view line) {
  const auto size = ParseChunkLine(line);
  if (!size) {
    return tl::make_unexpected(size.error());
  }
  scan.body_left = *size;
  scan.part = *size > 0 ? ScanPart::kChunkData : ScanPart::kTrailerLine;
  return {};
}

Result<void> CheckTrailerLine(Scan& scan, std::string_view line) {
  if (line.empty()) {
    scan.part = ScanPart::kComplete;
    return {};
  }
  const auto field = ParseFieldLine(line);
  return field ? Result<void>() : tl::make_unexpected(field.error());
}

Result<void> CheckLine(Scan& scan, std::string_view line) {
  // The carriage return is part of the line end; any other is a control
  // character and rejected as such.
  if (!line.ends_with('\r')) {
    return Fail("read line", "it does not end with CR LF");
  }
  line.remove_suffix(1);
  switch (scan.part) {
    case ScanPart::kStartLine:
      return CheckStartLine(scan, line);
    case ScanPart::kFieldLine:
      return CheckFieldLine(scan, line);
    case ScanPart::kChunkLine:
      return CheckChunkLine(scan, line);
    case ScanPart::kChunkEnd:
      if (!line.empty()) {
        return Fail("read chunk", "it is longer than its size");
      }
      scan.part = ScanPart::kChunkLine;
      return {};
    default:
      return CheckTrailerLine(scan, line);
  }
}

Result<ScanStep> AdvanceLine(Scan& scan, std::string_view bytes) {
  const auto end = bytes.find('\n');
  const auto used = end == std::string_view::npos ? bytes.size() : end + 1;
  if (scan.line.size() + used > kMaxLineBytes) {
    return Fail("read line", "it is too long");
  }
  if (end == std::string_view::npos) {
    scan.line.append(bytes);
    return ScanStep{used, {}};
  }
  auto line = bytes.substr(0, end);
  if (!scan.line.empty()) {
    line = scan.line.append(line);
  }
  const auto checked = CheckLine(scan, line);
  if (!checked) {
    return tl::make_unexpected(checked.error());
  }
  scan.line.clear();
  return ScanStep{used, {}};
}

Result<ScanStep> AdvanceContent(Scan& scan, std::string_view bytes) {
  if (scan.start.status == kResetContent) {
    return Fail("read body", "content with status 205");
  }
  const auto used = static_cast<std::size_t>(
      std::min<std::uint64_t>(scan.body_left, bytes.size()));
  scan.body_left -= used;
  if (scan.body_left == 0) {
    scan.part = scan.part == ScanPart::kChunkData ? ScanPart::kChunkEnd
                                                  : ScanPart::kComplete;
  }
  return ScanStep{used, bytes.substr(0, used)};
}

}  // namespace

Result<ScanStep> Advance(Scan& scan, std::string_view bytes) {
  if (bytes.empty() || scan.part == ScanPart::kComplete) {
    return ScanStep{};
  }
  if (scan.part == ScanPart::kBody || scan.part == ScanPart::kChunkData) {
    return AdvanceContent(scan, bytes);
  }
  return AdvanceLine(scan, bytes);
}

bool EndCompletes(const Scan& scan) {
  return scan.part == ScanPart::kComplete ||
         (scan.part == ScanPart::kBody &&
          scan.framing.end == BodyEnd::kConnectionClose);
}

}  // namespace cassiakeel::syntax
