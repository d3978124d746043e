#pragma once

#include <cstdint>
#include <deque>
#include <fstream>
#include <string>

namespace cassiakeel::testsuite {

/// One run of work. Times are from CLOCK_BOOTTIME, so that records of several
/// processes on one instance are comparable.
struct RunRecord {
  std::uint64_t run = 0;
  std::string request;
  std::string attempt;
  std::string key;
  std::string path;
  std::int64_t start_ns = 0;
  /// 0 while the run is in progress.
  std::int64_t end_ns = 0;
  bool cancelled = false;
};

/// Records which work ran, for the checks of the test suite. Start and end of a
/// run are flushed to the file immediately, so that a killed process leaves a
/// record of the runs it had started.
class RunLog {
 public:
  /// Writes no file if `path` is empty.
  explicit RunLog(const std::string& path);

  /// Returns the number of the run, counted from 1.
  std::uint64_t Start(RunRecord record);
  void End(std::uint64_t run, std::int64_t end_ns, bool cancelled);
  /// The most recent runs as a JSON array.
  std::string ToJson() const;

 private:
  void Write(const RunRecord& record);

  std::ofstream file;
  std::uint64_t last_run = 0;
  /// The most recent runs, with consecutive numbers.
  std::deque<RunRecord> records;
};

}  // namespace cassiakeel::testsuite
