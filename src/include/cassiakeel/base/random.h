#pragma once

#include <chrono>
#include <random>
#include <string>

namespace cassiakeel {

/// Random source passed into decisions, seeded by the process or the test.
using Rng = std::mt19937_64;

/// Uniform in [0, 1).
double UniformUnit(Rng& rng);

/// Uniform in [0, limit] ("full jitter"), so that callers that failed together
/// do not return together.
std::chrono::milliseconds FullJitter(std::chrono::milliseconds limit, Rng& rng);

/// `bytes` random bytes as lower-case hex digits.
std::string RandomHex(int bytes, Rng& rng);

/// UUID version 7 (RFC 9562): its first 48 bits are the Unix time in
/// milliseconds.
std::string MakeUuid7(std::chrono::system_clock::time_point now, Rng& rng);

}  // namespace cassiakeel
