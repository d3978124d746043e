#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "cassiakeel/base/outcome.h"
#include "cassiakeel/base/strong.h"
#include "cassiakeel/h1/server_memory.h"

namespace cassiakeel::mesh::pvt {

inline constexpr std::size_t kReasonCount =
    static_cast<std::size_t>(Reason::kAllotment) + 1;

/// Latency histogram in seconds. Buckets are made cumulative on export.
struct LatencyBuckets {
  static constexpr std::array<double, 12> kBounds = {
      0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12};
  std::array<std::uint64_t, kBounds.size() + 1> counts{};
  double sum = 0;

  void Add(double seconds) {
    std::size_t index = 0;
    while (index < kBounds.size() && seconds > kBounds[index]) {
      ++index;
    }
    ++this->counts[index];
    this->sum += seconds;
  }
};

/// Calls of one service by where they were sent.
struct ZoneCalls {
  std::uint64_t stayed = 0;
  std::uint64_t left = 0;
};

/// Counters since the start of the process. Used on the traffic thread only.
struct Statistics {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t retries = 0;
  std::uint64_t retries_denied = 0;
  std::uint64_t reroutes = 0;
  std::uint64_t caller_disconnects = 0;
  std::uint64_t served = 0;
  /// Calls refused by the gate and requests that failed, by reason.
  std::array<std::uint64_t, kReasonCount> gate_refusals{};
  std::array<std::uint64_t, kReasonCount> failures{};
  /// Calls within and out of the availability zone, only with a crossing cost.
  std::map<ServiceName, ZoneCalls> zone_calls;
  /// Connections closed and requests refused by a limit of a server.
  std::array<std::uint64_t, h1::kServerLimitCount> server_limits{};
  LatencyBuckets request_latency;
  LatencyBuckets service_time;
};

inline void CountReason(std::array<std::uint64_t, kReasonCount>& counts,
                        Reason reason) {
  ++counts[static_cast<std::size_t>(reason)];
}

}  // namespace cassiakeel::mesh::pvt
