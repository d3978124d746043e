#include "plan.h"

#include <fmt/format.h>

#include <cmath>
#include <exception>
#include <sstream>
#include <utility>

#include "cassiakeel/base/hash.h"

namespace cassiakeel::testsuite {

namespace {

/// Parses "a=1,b=2".
std::map<std::string, std::string> ParsePairs(const std::string& text) {
  std::map<std::string, std::string> pairs;
  std::istringstream parts(text);
  for (std::string part; std::getline(parts, part, ',');) {
    const auto equals = part.find('=');
    if (equals == std::string::npos) {
      pairs[part] = "";
    } else {
      pairs[part.substr(0, equals)] = part.substr(equals + 1);
    }
  }
  return pairs;
}

/// Sets one field; returns false if the name or value is unknown.
bool SetField(Stream& stream,
              const std::string& name,
              const std::string& value) {
  if (name == "name") {
    stream.name = value;
  } else if (name == "rate") {
    stream.rate = std::stod(value);
  } else if (name == "method") {
    stream.method = value;
  } else if (name == "path") {
    stream.path = value;
  } else if (name == "timeout_ms") {
    stream.timeout = std::chrono::milliseconds(std::stol(value));
  } else if (name == "body_bytes") {
    stream.body_bytes = std::stoul(value);
  } else if (name == "retry" && (value == "hard" || value == "none")) {
    stream.retry_immediately = value == "hard";
  } else if (name == "key" && (value == "uuid7" || value == "none")) {
    stream.send_key = value == "uuid7";
  } else {
    return false;
  }
  return true;
}

}  // namespace

double Phase::MultiplierOf(const Stream& stream) const {
  const auto found = this->stream_multipliers.find(stream.name);
  return found == this->stream_multipliers.end() ? this->multiplier
                                                 : found->second;
}

Result<Stream> ParseStream(const std::string& text) {
  Stream stream;
  for (const auto& [name, value] : ParsePairs(text)) {
    try {
      if (!SetField(stream, name, value)) {
        return Fail("parse stream", fmt::format("unknown {}={}", name, value));
      }
    } catch (const std::exception&) {
      return Fail("parse stream",
                  fmt::format("not a number: {}={}", name, value));
    }
  }
  if (stream.name.empty() || !stream.path.starts_with('/') ||
      stream.timeout.count() <= 0 || stream.rate < 0) {
    return Fail("parse stream",
                "need a name, a path that starts with /, timeout_ms above 0 "
                "and a rate of at least 0, got " +
                    text);
  }
  return stream;
}

Result<Phase> ParsePhase(const std::string& text) {
  Phase phase;
  try {
    std::istringstream parts(text);
    std::string part;
    std::getline(parts, part, ':');
    phase.seconds = std::stod(part);
    std::getline(parts, part, ':');
    phase.multiplier = std::stod(part);
    if (std::getline(parts, part)) {
      for (const auto& [name, value] : ParsePairs(part)) {
        phase.stream_multipliers[name] = std::stod(value);
      }
    }
  } catch (const std::exception&) {
    return Fail(
        "parse phase",
        "expected seconds:multiplier[:stream=multiplier,...], got " + text);
  }
  return phase;
}

ArrivalSchedule::ArrivalSchedule(const Stream& stream,
                                 std::vector<Phase> phases,
                                 std::uint64_t seed)
    : stream(stream),
      phases(std::move(phases)),
      rng(seed ^ StableHash(stream.name)) {}

bool ArrivalSchedule::Next() {
  while (this->current < this->phases.size()) {
    const Phase& phase = this->phases[this->current];
    const double rate = this->stream.rate * phase.MultiplierOf(this->stream);
    const double end = this->phase_start_s + phase.seconds;
    if (rate > 0) {
      // The gaps of a Poisson process are exponential and memoryless, so that
      // the next gap can be drawn anew at a phase boundary.
      this->now_s += std::exponential_distribution<double>(rate)(this->rng);
      if (this->now_s < end) {
        return true;
      }
    }
    this->now_s = end;
    this->phase_start_s = end;
    ++this->current;
  }
  return false;
}

std::chrono::nanoseconds ArrivalSchedule::arrival_time() const {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(this->now_s));
}

}  // namespace cassiakeel::testsuite
