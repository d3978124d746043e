#pragma once

#include <string>

#include "cassiakeel/base/random.h"

namespace cassiakeel {

/// `text` with up to four random edits, for tests of parsers: bytes replaced,
/// parts removed, doubled or swapped for other numbers, the end cut off.
inline std::string AlterText(std::string text, Rng& rng) {
  for (auto edits = rng() % 4 + 1; edits > 0 && !text.empty(); --edits) {
    const std::size_t at = rng() % text.size();
    const std::size_t length = rng() % 8 + 1;
    switch (rng() % 5) {
      case 0:
        text[at] = static_cast<char>(rng());
        break;
      case 1:
        text.erase(at, length);
        break;
      case 2:
        text.insert(at, text.substr(at, length));
        break;
      case 3:
        text.replace(at, 1, std::string(rng() % 2 == 0 ? "-1" : "9e300"));
        break;
      default:
        text.resize(at);
    }
  }
  return text;
}

}  // namespace cassiakeel
