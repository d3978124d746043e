#include "cassiakeel/base/hash.h"

#include <xxhash.h>

namespace cassiakeel {

std::uint64_t StableHash(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

double StableUnit(std::string_view text) {
  // A double holds 53 bits exactly.
  constexpr int kDroppedBits = 64 - 53;
  return static_cast<double>(StableHash(text) >> kDroppedBits) / (1ULL << 53);
}

}  // namespace cassiakeel
