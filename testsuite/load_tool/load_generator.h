#pragma once

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "cassiakeel/base/random.h"
#include "http_client.h"
#include "plan.h"
#include "report.h"

namespace cassiakeel::testsuite {

struct LoadOptions {
  std::vector<Stream> streams;
  std::vector<Phase> phases;
  /// Node addresses ("IP:port"); each try picks one at random.
  std::vector<std::string> targets;
  std::uint64_t seed = 1;
  /// Calls above this bound are counted as overflow and not sent.
  std::size_t max_in_flight = 8000;
  /// Maximum number of calls in a run.
  std::uint64_t max_calls = 2000000;
  /// Maximum number of tries of a call in a stream with `retry_immediately`.
  int max_tries = 8;
  /// Time after the last phase within which open calls may still end.
  std::chrono::milliseconds drain{5000};
  /// Width of the interval records.
  std::chrono::milliseconds interval{250};
  /// File that receives one JSON line per call; none if empty.
  std::string outcomes;
};

/// Open-loop load generator: calls start at their scheduled time whether or not
/// earlier calls have ended, and latency is measured from the scheduled time.
/// Runs on the thread of `context`.
class LoadGenerator {
 public:
  LoadGenerator(asio::io_context& context, LoadOptions options);

  /// Starts the schedule; `context.run()` returns when the run has ended.
  void Start();
  Report& report() { return this->results; }

 private:
  /// One call of a stream with all its tries.
  struct Call {
    std::size_t stream = 0;
    std::size_t phase = 0;
    std::uint64_t number = 0;
    std::chrono::nanoseconds intended{0};
    std::string target;
    std::string key;
    int tries = 0;
    bool ended = false;
  };
  using CallPtr = std::shared_ptr<Call>;

  /// Arrivals of one stream.
  struct ArrivalSource {
    ArrivalSource(asio::io_context& context, ArrivalSchedule schedule)
        : schedule(std::move(schedule)), timer(context) {}
    ArrivalSchedule schedule;
    asio::steady_timer timer;
  };

  std::chrono::nanoseconds Elapsed() const;
  void WaitForNext(std::size_t stream);
  void StartCall(std::size_t stream);
  void StartTry(const CallPtr& call);
  void OnAnswer(const CallPtr& call, const Classification& classification);
  void FinishCall(const CallPtr& call, const Classification& classification);
  void OnSourceDone();
  void StopIfDone();

  asio::io_context& context;
  LoadOptions options;
  std::vector<std::unique_ptr<HttpClient>> clients;
  Report results;
  Rng rng;
  std::chrono::steady_clock::time_point started;
  std::vector<std::unique_ptr<ArrivalSource>> sources;
  std::size_t sources_left;
  std::uint64_t calls_started = 0;
  std::vector<CallPtr> open_calls;
  std::size_t in_flight = 0;
  asio::steady_timer drain_timer;
  std::ofstream outcomes;
};

}  // namespace cassiakeel::testsuite
