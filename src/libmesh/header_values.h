#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "cassiakeel/mesh/call.h"

namespace cassiakeel::mesh::pvt {

/// Parses a number of milliseconds. Returns nothing if the value is missing,
/// malformed or negative.
std::optional<std::chrono::milliseconds> ParseMilliseconds(
    const std::string* text);

/// Formats a time in seconds with three decimal places, for Retry-After.
std::string FormatSeconds(std::chrono::milliseconds time);

/// Removes the hop-by-hop header fields and the fields that each node sets
/// itself.
void RemoveHopByHopFields(h1::HeaderList& headers, const FieldNames& fields);

}  // namespace cassiakeel::mesh::pvt
