#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "cassiakeel/mesh/call.h"

namespace cassiakeel::mesh::pvt {

/// A number of milliseconds, or nothing for a missing, malformed or negative
/// value.
std::optional<std::chrono::milliseconds> ParseMs(const std::string* text);

/// Seconds with three digits behind the point, for Retry-After.
std::string Seconds(std::chrono::milliseconds time);

/// Removes fields that concern one connection, and those that each node sets
/// itself.
void RemoveHopFields(h1::HeaderList& headers, const FieldNames& fields);

}  // namespace cassiakeel::mesh::pvt
