#pragma once

#include <cstdint>
#include <string_view>

namespace cassiakeel {

/// 64-bit hash (XXH3) that is the same on every node and in every release.
/// Use it for decisions that several nodes must take alike.
std::uint64_t StableHash(std::string_view text);

/// `StableHash` mapped to [0, 1), for comparison with a share.
double StableUnit(std::string_view text);

}  // namespace cassiakeel
