#include "cassiakeel/routing/context.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace cassiakeel::routing {
namespace {

constexpr std::string_view kStep = "parse context";
constexpr std::size_t kMaxKeyLength = 255;
constexpr std::size_t kMaxAttemptLength = 128;
// One day; a longer deadline is taken for an error of the caller.
constexpr std::int64_t kMaxDeadlineMs = 24LL * 3600 * 1000;
constexpr std::int64_t kMaxRetries = 1000;
constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kParentIdDigits = 16;

char Lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

std::string_view Trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// The value of a field; nothing if it is absent, an error if it occurs more
// than once with different values.
Result<std::optional<std::string_view>> FindField(const HeaderList& headers,
                                                  std::string_view name) {
  std::optional<std::string_view> found;
  for (const auto& [field, raw] : headers) {
    if (!EqualsIgnoringCase(field, name)) {
      continue;
    }
    const auto value = Trim(raw);
    if (found && *found != value) {
      return Fail(std::string(kStep),
                  fmt::format("header {} occurs with different values", name));
    }
    found = value;
  }
  return found;
}

Result<std::optional<std::int64_t>> FindNumber(const HeaderList& headers,
                                               std::string_view name,
                                               std::int64_t max) {
  const auto field = FindField(headers, name);
  if (!field) {
    return tl::make_unexpected(field.error());
  }
  if (!*field) {
    return std::optional<std::int64_t>();
  }
  const std::string_view text = **field;
  std::int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value < 0 ||
      value > max) {
    return Fail(
        std::string(kStep),
        fmt::format("header {} must be an integer from 0 to {}", name, max));
  }
  return std::optional(value);
}

// A field of printable ASCII without spaces, of limited length.
Result<std::optional<std::string>> FindToken(const HeaderList& headers,
                                             std::string_view name,
                                             std::size_t max_length) {
  const auto field = FindField(headers, name);
  if (!field) {
    return tl::make_unexpected(field.error());
  }
  if (!*field) {
    return std::optional<std::string>();
  }
  const std::string_view text = **field;
  const bool printable = std::all_of(text.begin(), text.end(),
                                     [](char c) { return c > ' ' && c < 127; });
  if (text.empty() || text.size() > max_length || !printable) {
    return Fail(std::string(kStep),
                fmt::format("header {} must have 1 to {} printable ASCII "
                            "characters without spaces",
                            name, max_length));
  }
  return std::optional<std::string>(text);
}

bool IsHex(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
}

bool IsZero(std::string_view text) {
  return text.find_first_not_of('0') == std::string_view::npos;
}

// The trace id of a valid traceparent (W3C Trace Context, section 3.2). An
// invalid one is ignored and a new trace starts, as that specification
// requires.
std::optional<std::string> TraceId(std::string_view text) {
  constexpr std::size_t kTraceAt = 3;
  constexpr std::size_t kParentAt = kTraceAt + kTraceIdDigits + 1;
  constexpr std::size_t kFlagsAt = kParentAt + kParentIdDigits + 1;
  constexpr std::size_t kLength = kFlagsAt + 2;
  if (text.size() < kLength || text[kTraceAt - 1] != '-' ||
      text[kParentAt - 1] != '-' || text[kFlagsAt - 1] != '-') {
    return std::nullopt;
  }
  const auto version = text.substr(0, 2);
  const auto trace = text.substr(kTraceAt, kTraceIdDigits);
  const auto parent = text.substr(kParentAt, kParentIdDigits);
  if (!IsHex(version) || version == "ff" || !IsHex(trace) || IsZero(trace) ||
      !IsHex(parent) || IsZero(parent) || !IsHex(text.substr(kFlagsAt, 2))) {
    return std::nullopt;
  }
  // Version 00 ends here; later versions may append fields after another dash.
  if (text.size() > kLength && (version == "00" || text[kLength] != '-')) {
    return std::nullopt;
  }
  return std::string(trace);
}

}  // namespace

Result<RequestContext> ParseContext(const HeaderList& headers, Rng& rng) {
  RequestContext context;
  const auto trace = FindField(headers, kTraceparentHeader);
  if (!trace) {
    return tl::make_unexpected(trace.error());
  }
  if (*trace) {
    if (auto id = TraceId(**trace)) {
      context.request = RequestId(std::move(*id));
      context.traced = true;
    }
  }
  if (!context.traced) {
    context.request = RequestId(RandomHex(kTraceIdDigits / 2, rng));
  }

  const auto class_name = FindField(headers, kClassHeader);
  if (!class_name) {
    return tl::make_unexpected(class_name.error());
  }
  if (*class_name) {
    context.request_class = ParseRequestClass(**class_name);
    if (!context.request_class) {
      return Fail(
          std::string(kStep),
          fmt::format("header {} has an unknown request class", kClassHeader));
    }
  }

  const auto deadline = FindNumber(headers, kDeadlineHeader, kMaxDeadlineMs);
  if (!deadline) {
    return tl::make_unexpected(deadline.error());
  }
  if (*deadline) {
    context.time_left = std::chrono::milliseconds(**deadline);
  }
  const auto retries = FindNumber(headers, kRetriesHeader, kMaxRetries);
  if (!retries) {
    return tl::make_unexpected(retries.error());
  }
  if (*retries) {
    context.retries = static_cast<int>(**retries);
  }
  const auto depth = FindNumber(headers, kDepthHeader, kMaxDepth);
  if (!depth) {
    return tl::make_unexpected(depth.error());
  }
  context.depth = static_cast<int>(depth->value_or(0));

  auto key = FindToken(headers, kIdempotencyKeyHeader, kMaxKeyLength);
  if (!key) {
    return tl::make_unexpected(key.error());
  }
  if (*key) {
    context.key = IdempotencyKey(std::move(**key));
  }
  auto attempt = FindToken(headers, kAttemptHeader, kMaxAttemptLength);
  if (!attempt) {
    return tl::make_unexpected(attempt.error());
  }
  if (*attempt) {
    context.attempt = AttemptId(std::move(**attempt));
  }
  return context;
}

HeaderList FormatContext(const RequestContext& context, Rng& rng) {
  HeaderList headers;
  // The parent id identifies this hop; all zeros are invalid.
  std::string parent = RandomHex(kParentIdDigits / 2, rng);
  if (IsZero(parent)) {
    parent.back() = '1';
  }
  headers.emplace_back(
      kTraceparentHeader,
      fmt::format("00-{}-{}-01", context.request.Value(), parent));
  if (context.request_class) {
    headers.emplace_back(kClassHeader,
                         RequestClassName(*context.request_class));
  }
  if (context.time_left) {
    headers.emplace_back(kDeadlineHeader, std::to_string(std::max<std::int64_t>(
                                              0, context.time_left->count())));
  }
  if (context.retries) {
    headers.emplace_back(kRetriesHeader,
                         std::to_string(std::max(0, *context.retries)));
  }
  headers.emplace_back(kDepthHeader, std::to_string(context.depth));
  if (context.key) {
    headers.emplace_back(kIdempotencyKeyHeader, context.key->Value());
  }
  if (context.attempt) {
    headers.emplace_back(kAttemptHeader, context.attempt->Value());
  }
  return headers;
}

}  // namespace cassiakeel::routing
