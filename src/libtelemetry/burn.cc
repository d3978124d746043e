#include "cassiakeel/telemetry/burn.h"

#include <algorithm>

namespace cassiakeel::telemetry {
namespace {

constexpr std::size_t kMaxTrackedCauses = 64;
constexpr std::size_t kMaxReportedCauses = 5;
constexpr int kMinServerErrorStatus = 500;

std::int64_t ToMinutes(SteadyTime time) {
  return std::chrono::duration_cast<std::chrono::minutes>(
             time.time_since_epoch())
      .count();
}

void AddCount(CallCount& sum, const CallCount& count) {
  sum.total += count.total;
  sum.bad += count.bad;
}

}  // namespace

bool IsGood(const CallRecord& record) {
  return record.outcome == Outcome::kRan &&
         record.status < kMinServerErrorStatus &&
         record.latency <= record.objective_latency;
}

double BurnRate(const CallCount& count, double objective_percent) {
  const double allowed = 1.0 - objective_percent / 100.0;
  if (count.total == 0 || allowed <= 0) {
    return count.bad > 0 ? static_cast<double>(count.bad) : 0.0;
  }
  return static_cast<double>(count.bad) / static_cast<double>(count.total) /
         allowed;
}

void BurnCollector::Record(const CallRecord& record, SteadyTime now) {
  Group& group = this->groups[{record.service, record.request_class}];
  group.objective_percent = record.objective_percent;
  group.objective_latency = record.objective_latency;
  const std::int64_t minute = ToMinutes(now);
  if (group.buckets.empty() || group.buckets.back().minute < minute) {
    group.buckets.push_back({minute, {}});
  }
  while (group.buckets.front().minute <= minute - kBurnWindows.back().count()) {
    group.buckets.pop_front();
  }
  const bool good = IsGood(record);
  AddCount(group.buckets.back().count, {1, good ? 0U : 1U});
  group.retries += static_cast<std::uint64_t>(record.retries);
  ++group.outcomes[std::string(OutcomeName(record.outcome))];
  if (record.outcome != Outcome::kRan) {
    ++group.refusals[std::string(ReasonName(record.reason))];
    const CauseKey key{record.step, record.peer, record.reason};
    if (group.causes.size() < kMaxTrackedCauses || group.causes.contains(key)) {
      ++group.causes[key];
    }
  }
}

std::vector<BurnSummary> BurnCollector::Summaries(SteadyTime now) const {
  std::vector<BurnSummary> summaries;
  const std::int64_t minute = ToMinutes(now);
  for (const auto& [key, group] : this->groups) {
    BurnSummary summary;
    summary.service = key.first;
    summary.request_class = key.second;
    summary.objective_percent = group.objective_percent;
    summary.objective_latency = group.objective_latency;
    summary.retries = group.retries;
    summary.outcomes = group.outcomes;
    summary.refusals = group.refusals;
    for (const auto& bucket : group.buckets) {
      const std::int64_t age = minute - bucket.minute;
      for (std::size_t i = 0; i < kBurnWindows.size(); ++i) {
        if (age < kBurnWindows[i].count()) {
          AddCount(summary.windows[i], bucket.count);
        }
      }
      if (age >= 0 && age < kSeriesMinutes) {
        AddCount(summary.series[kSeriesMinutes - 1 - age], bucket.count);
      }
    }
    for (const auto& [cause, count] : group.causes) {
      const auto& [step, peer, reason] = cause;
      summary.causes.push_back({step, peer, reason, count});
    }
    std::sort(summary.causes.begin(), summary.causes.end(),
              [](const Cause& left, const Cause& right) {
                return left.count > right.count;
              });
    summary.causes.resize(std::min(summary.causes.size(), kMaxReportedCauses));
    summaries.push_back(std::move(summary));
  }
  return summaries;
}

}  // namespace cassiakeel::telemetry
