#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace cassiakeel {

/// Importance of a request, most important first. The last class is shed
/// first.
enum class RequestClass {
  /// Submissions and room assignments.
  kCritical,
  /// Status reads and desk calls.
  kInteractive,
  /// Lookups between services.
  kInternal,
  /// Work that may wait.
  kBackground,
};

inline constexpr std::size_t kRequestClassCount = 4;
inline constexpr std::array<RequestClass, kRequestClassCount>
    kAllRequestClasses = {RequestClass::kCritical, RequestClass::kInteractive,
                          RequestClass::kInternal, RequestClass::kBackground};

/// Index of the class in per-class arrays, 0 for the most important.
constexpr std::size_t ClassIndex(RequestClass request_class) {
  return static_cast<std::size_t>(request_class);
}

/// Expected duration of a kind of work. Long work runs many times longer than
/// the rest and only in spare slots.
enum class WorkLength { kShort, kLong };

std::string_view RequestClassName(RequestClass request_class);
std::optional<RequestClass> ParseRequestClass(std::string_view name);
std::string_view WorkLengthName(WorkLength length);
std::optional<WorkLength> ParseWorkLength(std::string_view name);

}  // namespace cassiakeel
