#include "cassiakeel/syntax/response.h"

namespace cassiakeel::syntax {
namespace {

constexpr std::size_t kMaxHeadBytes = 64U << 10U;

bool HasHead(const Scan& scan) {
  return scan.part != ScanPart::kStartLine && scan.part != ScanPart::kFieldLine;
}

bool IsInterim(const Scan& scan) {
  return scan.part == ScanPart::kComplete && scan.start.status / 100 == 1;
}

}  // namespace

PartialResponse ExpectResponse(std::string_view method) {
  PartialResponse response;
  response.scan.to_head = method == "HEAD";
  return response;
}

Result<void> TakeHeaderLine(PartialResponse& response, std::string_view line) {
  auto& scan = response.scan;
  response.head_bytes += line.size();
  if (response.head_bytes > kMaxHeadBytes) {
    return Fail("read head", "it is too long");
  }
  if (IsInterim(scan)) {
    const bool to_head = scan.to_head;
    scan = {};
    scan.to_head = to_head;
    response.headers.clear();
  }
  if (HasHead(scan)) {
    return Fail("read head", "a line after its end");
  }
  const bool is_field = scan.part == ScanPart::kFieldLine;
  const auto step = Advance(scan, line);
  if (!step) {
    return tl::make_unexpected(step.error());
  }
  if (step->used != line.size() || !scan.line.empty()) {
    return Fail("read head", "a line without its end");
  }
  if (is_field && !HasHead(scan)) {
    line.remove_suffix(2);
    const auto field = ParseFieldLine(line);
    if (field) {
      response.headers.emplace_back(field->name, field->value);
    }
  }
  return {};
}

Result<std::string> TakeBody(PartialResponse& response,
                             std::string_view bytes) {
  if (!HasHead(response.scan)) {
    return Fail("read body", "it begins before the end of the head");
  }
  std::string content;
  while (!bytes.empty()) {
    const auto step = Advance(response.scan, bytes);
    if (!step) {
      return tl::make_unexpected(step.error());
    }
    if (step->used == 0) {
      response.has_stray_bytes = true;
      break;
    }
    content.append(step->content);
    bytes.remove_prefix(step->used);
  }
  return content;
}

bool HasFinalHead(const PartialResponse& response) {
  return HasHead(response.scan) && !IsInterim(response.scan);
}

bool IsWhole(const PartialResponse& response) {
  return EndCompletes(response.scan) && !IsInterim(response.scan);
}

}  // namespace cassiakeel::syntax
