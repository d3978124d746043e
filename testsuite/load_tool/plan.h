#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "cassiakeel/base/error.h"
#include "cassiakeel/base/random.h"

namespace cassiakeel::testsuite {

/// Calls of one kind, sent at a base rate.
struct Stream {
  std::string name;
  /// Calls per second at multiplier 1.
  double rate = 0;
  std::string method = "GET";
  /// "/<service>/<path>"; "{n}" is replaced by the number of the call.
  std::string path;
  /// Timeout of a try, and the latency above which a call counts as late.
  std::chrono::milliseconds timeout{1000};
  /// Retries immediately after each failure, up to `LoadOptions::max_tries`.
  bool retry_immediately = false;
  /// Sends an `Idempotency-Key` header with a UUID version 7.
  bool send_key = false;
  std::size_t body_bytes = 0;
};

/// A time span with a multiplier for the rate of each stream.
struct Phase {
  double seconds = 0;
  double multiplier = 1;
  /// Multipliers of individual streams by name, used instead of `multiplier`.
  std::map<std::string, double> stream_multipliers;

  double MultiplierOf(const Stream& stream) const;
};

/// Parses "name=...,rate=...,method=...,path=...,timeout_ms=...,
/// retry=hard|none,key=none|uuid7,body_bytes=...".
Result<Stream> ParseStream(const std::string& text);

/// Parses "seconds:multiplier[:stream=multiplier,...]".
Result<Phase> ParsePhase(const std::string& text);

/// Poisson arrival times of one stream, as offsets from the start. Determined
/// by the seed alone, independent of the system under test.
class ArrivalSchedule {
 public:
  ArrivalSchedule(const Stream& stream,
                  std::vector<Phase> phases,
                  std::uint64_t seed);

  /// Advances to the next arrival; returns false after the last phase.
  bool Next();
  std::chrono::nanoseconds arrival_time() const;
  std::size_t phase() const { return this->current; }

 private:
  Stream stream;
  std::vector<Phase> phases;
  Rng rng;
  std::size_t current = 0;
  double phase_start_s = 0;
  double now_s = 0;
};

}  // namespace cassiakeel::testsuite
