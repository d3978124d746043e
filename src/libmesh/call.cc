#include "cassiakeel/mesh/call.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <optional>
#include <string_view>
#include <vector>

namespace cassiakeel::mesh {
namespace {

// Fixed-point scale of tree ranks and shed levels in messages between nodes.
constexpr double kFixedPointScale = 10000;
// Eleven days; a longer time indicates a corrupted message.
constexpr std::int64_t kMaxTimeMs = 1'000'000'000;

std::string FormatFixedPoint(double value) {
  return std::to_string(static_cast<std::int64_t>(value * kFixedPointScale));
}

double FromFixedPoint(std::int64_t value) {
  return static_cast<double>(value) / kFixedPointScale;
}

// Splits text at '|'. Names of services and routes cannot contain the
// separator, because rows and policies with such names are rejected.
std::vector<std::string_view> Split(std::string_view text) {
  std::vector<std::string_view> parts;
  std::size_t start = 0;
  while (true) {
    const auto end = text.find('|', start);
    parts.push_back(text.substr(start, end - start));
    if (end == std::string_view::npos) {
      return parts;
    }
    start = end + 1;
  }
}

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t value = 0;
  const auto* last = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), last, value);
  if (parsed.ec != std::errc() || parsed.ptr != last) {
    return std::nullopt;
  }
  return value;
}

bool InRange(std::int64_t value, std::int64_t max) {
  return value >= 0 && value <= max;
}

template <typename... Parts>
std::string Join(const Parts&... parts) {
  std::string out;
  const auto add = [&out](const std::string& part) {
    if (!out.empty()) {
      out.push_back('|');
    }
    out.append(part);
  };
  (add(parts), ...);
  return out;
}

template <std::size_t kCount>
std::optional<std::array<std::int64_t, kCount>> ParseNumbers(
    const std::vector<std::string_view>& parts,
    std::size_t first) {
  if (parts.size() != first + kCount) {
    return std::nullopt;
  }
  std::array<std::int64_t, kCount> out{};
  for (std::size_t i = 0; i < kCount; ++i) {
    const auto value = ParseNumber(parts[first + i]);
    if (!value) {
      return std::nullopt;
    }
    out[i] = *value;
  }
  return out;
}

// The numbers are not negative.
StateVersions MakeVersions(std::int64_t policy,
                           std::int64_t directory,
                           std::int64_t era) {
  return {static_cast<std::uint64_t>(policy),
          {StoreEra(static_cast<std::uint64_t>(era)),
           static_cast<std::uint64_t>(directory)}};
}

}  // namespace

std::string_view ParentId(std::string_view id, char separator) {
  const auto end =
      separator == 0 ? std::string_view::npos : id.rfind(separator);
  return end == std::string_view::npos ? std::string_view() : id.substr(0, end);
}

std::string_view RootId(std::string_view id, char separator) {
  return separator == 0 ? id : id.substr(0, id.find(separator));
}

RequestClass ClassOfPriority(int priority) {
  const auto last = static_cast<int>(kRequestClassCount) - 1;
  return kAllRequestClasses[static_cast<std::size_t>(
      std::clamp(priority, 0, last))];
}

std::string FormatCall(const CallInfo& info) {
  return Join(info.service.Value(), info.caller.Value(), info.route,
              std::to_string(info.priority),
              std::to_string(static_cast<int>(info.idempotent)),
              std::to_string(info.target_latency.count()),
              std::to_string(static_cast<int>(info.is_retry)),
              FormatFixedPoint(info.tree_rank),
              std::to_string(info.sender.policy),
              std::to_string(info.sender.directory.version),
              std::to_string(info.sender.directory.era.Value()));
}

Result<CallInfo> ParseCall(const std::string& text) {
  const auto parts = Split(text);
  const auto numbers = ParseNumbers<8>(parts, 3);
  if (!numbers) {
    return Fail("parse call", "malformed value: " + text);
  }
  const auto& [priority, idempotent, target, is_retry, rank, policy, directory,
               era] = *numbers;
  const bool in_range =
      InRange(priority, std::numeric_limits<int>::max()) &&
      InRange(target, kMaxTimeMs) &&
      InRange(rank, static_cast<std::int64_t>(kFixedPointScale)) &&
      policy >= 0 && directory >= 0 && era >= 0;
  if (parts[0].empty() || !in_range) {
    return Fail("parse call", "value out of range: " + text);
  }
  return CallInfo{ServiceName(std::string(parts[0])),
                  ServiceName(std::string(parts[1])),
                  std::string(parts[2]),
                  static_cast<int>(priority),
                  FromFixedPoint(rank),
                  idempotent != 0,
                  std::chrono::milliseconds(target),
                  is_retry != 0,
                  MakeVersions(policy, directory, era)};
}

std::string FormatResult(const ServeResult& result) {
  return Join(
      std::to_string(static_cast<int>(result.outcome)),
      std::to_string(static_cast<int>(result.reason)),
      std::to_string(static_cast<int>(result.reached_backend)),
      std::to_string(result.retry_after.count()),
      std::to_string(result.load.in_flight), std::to_string(result.load.limit),
      std::to_string(result.load.queued),
      std::to_string(static_cast<int>(result.load.accepts)),
      std::to_string(static_cast<int>(result.load.leaving)),
      std::to_string(result.typical_service_time.count() / 1000),
      FormatFixedPoint(result.shed_level), std::to_string(result.sender.policy),
      std::to_string(result.sender.directory.version),
      std::to_string(static_cast<int>(result.downstream_failed)),
      std::to_string(static_cast<int>(result.needs_state)),
      std::to_string(result.sender.directory.era.Value()));
}

Result<ServeResult> ParseResult(const std::string& text) {
  const auto numbers = ParseNumbers<16>(Split(text), 0);
  if (!numbers) {
    return Fail("parse result", "malformed value: " + text);
  }
  const auto& n = *numbers;
  constexpr auto kLastOutcome = static_cast<std::int64_t>(Outcome::kUnknown);
  constexpr auto kLastReason =
      static_cast<std::int64_t>(Reason::kServerRefused);
  constexpr auto kLastClass =
      static_cast<std::int64_t>(RequestClass::kBackground);
  constexpr auto kMaxCalls = std::numeric_limits<int>::max();
  constexpr auto kMaxLevel =
      static_cast<std::int64_t>(kRequestClassCount * kFixedPointScale);
  const bool in_range =
      InRange(n[0], kLastOutcome) && InRange(n[1], kLastReason) &&
      InRange(n[3], kMaxTimeMs) && InRange(n[4], kMaxCalls) &&
      InRange(n[5], kMaxCalls) && InRange(n[6], kMaxCalls) &&
      InRange(n[7], kLastClass) && InRange(n[9], kMaxTimeMs * 1000) &&
      InRange(n[10], kMaxLevel) && n[11] >= 0 && n[12] >= 0 && n[15] >= 0;
  if (!in_range) {
    return Fail("parse result", "value out of range: " + text);
  }
  ServeResult result;
  result.outcome = static_cast<Outcome>(n[0]);
  result.reason = static_cast<Reason>(n[1]);
  result.reached_backend = n[2] != 0;
  result.retry_after = std::chrono::milliseconds(n[3]);
  result.load.in_flight = static_cast<int>(n[4]);
  result.load.limit = static_cast<int>(n[5]);
  result.load.queued = static_cast<int>(n[6]);
  result.load.accepts = static_cast<RequestClass>(n[7]);
  result.load.leaving = n[8] != 0;
  result.typical_service_time = std::chrono::microseconds(n[9]);
  result.shed_level = FromFixedPoint(n[10]);
  result.sender = MakeVersions(n[11], n[12], n[15]);
  result.downstream_failed = n[13] != 0;
  result.needs_state = n[14] != 0;
  return result;
}

}  // namespace cassiakeel::mesh
