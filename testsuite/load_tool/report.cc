#include "report.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>
#include <ostream>
#include <utility>

namespace cassiakeel::testsuite {

namespace {

using nlohmann::json;

double ToMs(std::chrono::nanoseconds duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

std::uint64_t Sum(const std::map<std::string, std::uint64_t>& counts) {
  return std::accumulate(
      counts.begin(), counts.end(), std::uint64_t{0},
      [](std::uint64_t sum, const auto& entry) { return sum + entry.second; });
}

std::string FormatCounts(const std::map<std::string, std::uint64_t>& counts) {
  std::string text;
  for (const auto& [reason, count] : counts) {
    text += fmt::format(" {}={}", reason, count);
  }
  return text;
}

json PhaseRecord(const Stream& stream,
                 std::size_t index,
                 const Phase& phase,
                 const PhaseStats& stats) {
  const auto& sorted = stats.latencies_ms;
  return {{"type", "phase"},
          {"stream", stream.name},
          {"phase", index},
          {"seconds", phase.seconds},
          {"multiplier", phase.MultiplierOf(stream)},
          {"sent", stats.sent},
          {"attempts", stats.attempts},
          {"ok", stats.ok},
          {"late", stats.late},
          {"refused", stats.refused},
          {"failed", stats.failed},
          {"unknown", stats.unknown},
          {"broken", stats.corrupt},
          {"mixed", stats.mismatched},
          {"overflow", stats.overflow},
          {"p50_ms", Quantile(sorted, 0.5)},
          {"p90_ms", Quantile(sorted, 0.9)},
          {"p99_ms", Quantile(sorted, 0.99)},
          {"p999_ms", Quantile(sorted, 0.999)},
          {"max_ms", Quantile(sorted, 1)},
          {"all_p50_ms", Quantile(stats.all_latencies_ms, 0.5)},
          {"all_p99_ms", Quantile(stats.all_latencies_ms, 0.99)},
          {"lag_p99_ms", Quantile(stats.start_delays_ms, 0.99)}};
}

}  // namespace

double Quantile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  const auto index =
      static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
  return sorted[std::min(index, sorted.size() - 1)];
}

Report::Report(std::vector<Stream> streams,
               std::vector<Phase> phases,
               std::chrono::milliseconds interval)
    : streams(std::move(streams)),
      phases(std::move(phases)),
      interval(interval),
      phase_stats(this->streams.size(),
                  std::vector<PhaseStats>(this->phases.size())),
      intervals(this->streams.size()) {}

IntervalStats& Report::IntervalAt(std::size_t stream,
                                  std::chrono::nanoseconds intended) {
  const auto index = static_cast<std::size_t>(intended / this->interval);
  auto& row = this->intervals[stream];
  if (row.size() <= index) {
    row.resize(index + 1);
  }
  return row[index];
}

void Report::AddSent(std::size_t stream,
                     std::size_t phase,
                     std::chrono::nanoseconds intended,
                     std::chrono::nanoseconds start_delay) {
  ++this->phase_stats[stream][phase].sent;
  this->phase_stats[stream][phase].start_delays_ms.push_back(ToMs(start_delay));
  ++this->IntervalAt(stream, intended).sent;
}

void Report::AddAttempt(std::size_t stream, std::size_t phase) {
  ++this->phase_stats[stream][phase].attempts;
}

void Report::AddOverflow(std::size_t stream, std::size_t phase) {
  ++this->phase_stats[stream][phase].overflow;
}

void Report::AddResult(std::size_t stream,
                       std::size_t phase,
                       std::chrono::nanoseconds intended,
                       std::chrono::nanoseconds latency,
                       const Classification& classification) {
  PhaseStats& stats = this->phase_stats[stream][phase];
  IntervalStats& interval_stats = this->IntervalAt(stream, intended);
  const std::chrono::nanoseconds timeout = this->streams[stream].timeout;
  const bool ok = classification.verdict == Verdict::kOk;
  const double counted_ms = ToMs(ok ? latency : std::max(latency, timeout));
  interval_stats.all_latencies_ms.push_back(counted_ms);
  stats.all_latencies_ms.push_back(counted_ms);
  switch (classification.verdict) {
    case Verdict::kOk:
      stats.latencies_ms.push_back(ToMs(latency));
      if (latency <= timeout) {
        ++stats.ok;
        ++interval_stats.ok;
        ++this->IntervalAt(stream, intended + latency).ended_ok;
      } else {
        ++stats.late;
      }
      break;
    case Verdict::kRefused:
      ++stats.refused[classification.reason];
      break;
    case Verdict::kFailed:
      ++stats.failed;
      break;
    case Verdict::kUnknown:
      ++stats.unknown[classification.reason];
      break;
    case Verdict::kCorrupt:
      ++stats.corrupt;
      break;
    case Verdict::kMismatched:
      ++stats.mismatched;
      break;
  }
}

void Report::PrintTable(std::ostream& out) {
  out << fmt::format(
      "{:<14}{:>3}{:>8}{:>8}{:>8}{:>7}{:>8}{:>7}{:>8}{:>7}{:>6}{:>9}{:>9}"
      "{:>9}{:>9}{:>9}{:>9}\n",
      "stream", "ph", "sent", "tries", "ok", "late", "refused", "failed",
      "unknown", "broken", "mixed", "p50 ms", "p90 ms", "p99 ms", "p999 ms",
      "max ms", "lag99 ms");
  for (std::size_t s = 0; s < this->streams.size(); ++s) {
    for (std::size_t p = 0; p < this->phases.size(); ++p) {
      PhaseStats& stats = this->phase_stats[s][p];
      auto& sorted = stats.latencies_ms;
      std::sort(sorted.begin(), sorted.end());
      std::sort(stats.start_delays_ms.begin(), stats.start_delays_ms.end());
      out << fmt::format(
          "{:<14}{:>3}{:>8}{:>8}{:>8}{:>7}{:>8}{:>7}{:>8}{:>7}{:>6}{:>9.2f}"
          "{:>9.2f}{:>9.2f}{:>9.2f}{:>9.2f}{:>9.2f}",
          this->streams[s].name, p, stats.sent, stats.attempts, stats.ok,
          stats.late, Sum(stats.refused), stats.failed, Sum(stats.unknown),
          stats.corrupt, stats.mismatched, Quantile(sorted, 0.5),
          Quantile(sorted, 0.9), Quantile(sorted, 0.99),
          Quantile(sorted, 0.999), Quantile(sorted, 1),
          Quantile(stats.start_delays_ms, 0.99));
      out << (stats.refused.empty()
                  ? ""
                  : "  refused:" + FormatCounts(stats.refused))
          << (stats.unknown.empty()
                  ? ""
                  : "  unknown:" + FormatCounts(stats.unknown))
          << '\n';
    }
  }
}

void Report::PrintJson(std::ostream& out) {
  for (std::size_t s = 0; s < this->streams.size(); ++s) {
    for (std::size_t p = 0; p < this->phases.size(); ++p) {
      PhaseStats& stats = this->phase_stats[s][p];
      std::sort(stats.latencies_ms.begin(), stats.latencies_ms.end());
      std::sort(stats.all_latencies_ms.begin(), stats.all_latencies_ms.end());
      std::sort(stats.start_delays_ms.begin(), stats.start_delays_ms.end());
      out << PhaseRecord(this->streams[s], p, this->phases[p], stats).dump()
          << '\n';
    }
  }
  for (std::size_t s = 0; s < this->streams.size(); ++s) {
    for (std::size_t i = 0; i < this->intervals[s].size(); ++i) {
      IntervalStats& interval_stats = this->intervals[s][i];
      std::sort(interval_stats.all_latencies_ms.begin(),
                interval_stats.all_latencies_ms.end());
      const double start_s =
          static_cast<double>(i) *
          std::chrono::duration<double>(this->interval).count();
      out << json{{"type", "interval"},
                  {"stream", this->streams[s].name},
                  {"start_s", start_s},
                  {"sent", interval_stats.sent},
                  {"ok", interval_stats.ok},
                  {"ended_ok", interval_stats.ended_ok},
                  {"p50_ms", Quantile(interval_stats.all_latencies_ms, 0.5)},
                  {"p99_ms", Quantile(interval_stats.all_latencies_ms, 0.99)}}
                 .dump()
          << '\n';
    }
  }
}

}  // namespace cassiakeel::testsuite
