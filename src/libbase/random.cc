#include "cassiakeel/base/random.h"

#include <fmt/format.h>

namespace cassiakeel {

double UniformUnit(Rng& rng) {
  return std::uniform_real_distribution<double>(0.0, 1.0)(rng);
}

std::chrono::milliseconds FullJitter(std::chrono::milliseconds limit,
                                     Rng& rng) {
  if (limit.count() <= 0) {
    return std::chrono::milliseconds(0);
  }
  return std::chrono::milliseconds(
      std::uniform_int_distribution<std::chrono::milliseconds::rep>(
          0, limit.count())(rng));
}

std::string RandomHex(int bytes, Rng& rng) {
  std::string hex;
  for (int i = 0; i < bytes; ++i) {
    hex += fmt::format("{:02x}", rng() & 0xff);
  }
  return hex;
}

std::string MakeUuid7(std::chrono::system_clock::time_point now, Rng& rng) {
  const auto unix_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                           now.time_since_epoch())
                           .count();
  return fmt::format("{:08x}-{:04x}-7{:03x}-{:04x}-{:012x}",
                     (unix_ms >> 16) & 0xffffffff, unix_ms & 0xffff,
                     rng() & 0xfff, 0x8000 | (rng() & 0x3fff),
                     rng() & 0xffffffffffff);
}

}  // namespace cassiakeel
