#pragma once

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

#include "plan.h"
#include "verdict.h"

namespace cassiakeel::testsuite {

/// Results of one stream for the calls whose intended start lies in one phase.
struct PhaseStats {
  std::uint64_t sent = 0;
  /// All tries, including the first try of each call.
  std::uint64_t attempts = 0;
  std::uint64_t ok = 0;
  /// Correct answers that arrived after the stream's timeout.
  std::uint64_t late = 0;
  std::map<std::string, std::uint64_t> refused;
  std::uint64_t failed = 0;
  std::map<std::string, std::uint64_t> unknown;
  std::uint64_t corrupt = 0;
  std::uint64_t mismatched = 0;
  /// Calls not sent because `LoadOptions::max_in_flight` calls were in flight.
  std::uint64_t overflow = 0;
  /// Latencies of correct answers, measured from the intended start.
  std::vector<double> latencies_ms;
  /// Latencies of all calls. A call without a correct answer counts with at
  /// least its timeout, so that failures cannot improve a quantile.
  std::vector<double> all_latencies_ms;
  /// Delays of the load tool between the intended and the actual start. If they
  /// are not small compared with the latencies, the tool was the bottleneck and
  /// the results are invalid.
  std::vector<double> start_delays_ms;
};

/// Results of one stream for the calls whose intended start lies in one short
/// interval.
struct IntervalStats {
  std::uint64_t sent = 0;
  std::uint64_t ok = 0;
  /// Calls answered in time that ended in this interval, whatever their start.
  std::uint64_t ended_ok = 0;
  /// As `PhaseStats::all_latencies_ms`.
  std::vector<double> all_latencies_ms;
};

/// Quantile `share` (0 to 1) of the sorted values; 0 if there are none.
double Quantile(const std::vector<double>& sorted, double share);

/// Collects and prints the results of a run.
class Report {
 public:
  Report(std::vector<Stream> streams,
         std::vector<Phase> phases,
         std::chrono::milliseconds interval);

  void AddSent(std::size_t stream,
               std::size_t phase,
               std::chrono::nanoseconds intended,
               std::chrono::nanoseconds start_delay);
  void AddAttempt(std::size_t stream, std::size_t phase);
  void AddOverflow(std::size_t stream, std::size_t phase);
  void AddResult(std::size_t stream,
                 std::size_t phase,
                 std::chrono::nanoseconds intended,
                 std::chrono::nanoseconds latency,
                 const Classification& classification);

  void PrintTable(std::ostream& out);
  /// Prints one JSON object per line: "phase" records, then "interval" records.
  void PrintJson(std::ostream& out);

 private:
  IntervalStats& IntervalAt(std::size_t stream,
                            std::chrono::nanoseconds intended);

  std::vector<Stream> streams;
  std::vector<Phase> phases;
  std::chrono::milliseconds interval;
  /// Indexed by stream, then phase.
  std::vector<std::vector<PhaseStats>> phase_stats;
  /// Indexed by stream, then interval.
  std::vector<std::vector<IntervalStats>> intervals;
};

}  // namespace cassiakeel::testsuite
