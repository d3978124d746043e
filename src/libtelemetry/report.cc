#include "cassiakeel/telemetry/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace cassiakeel::telemetry {
namespace {

constexpr double kFastPageBurnRate = 14.4;
constexpr double kSlowPageBurnRate = 6.0;
// Indices into `kBurnWindows`.
constexpr std::size_t k5MinuteWindow = 0;
constexpr std::size_t k30MinuteWindow = 1;
constexpr std::size_t k1HourWindow = 2;
constexpr std::size_t k6HourWindow = 3;
constexpr std::size_t k3DayWindow = 4;

double WindowBurnRate(const BurnSummary& summary, std::size_t window) {
  return BurnRate(summary.windows[window], summary.objective_percent);
}

void AddCount(CallCount& sum, const CallCount& count) {
  sum.total += count.total;
  sum.bad += count.bad;
}

void AddCauses(std::vector<Cause>& sum, const std::vector<Cause>& causes) {
  for (const auto& cause : causes) {
    const auto found =
        std::find_if(sum.begin(), sum.end(), [&cause](const Cause& other) {
          return other.step == cause.step && other.peer == cause.peer &&
                 other.reason == cause.reason;
        });
    if (found == sum.end()) {
      sum.push_back(cause);
    } else {
      found->count += cause.count;
    }
  }
  std::sort(sum.begin(), sum.end(), [](const Cause& left, const Cause& right) {
    return left.count > right.count;
  });
}

void AddSummary(BurnSummary& sum, const BurnSummary& summary) {
  for (std::size_t i = 0; i < kBurnWindows.size(); ++i) {
    AddCount(sum.windows[i], summary.windows[i]);
  }
  for (std::size_t i = 0; i < kSeriesMinutes; ++i) {
    AddCount(sum.series[i], summary.series[i]);
  }
  sum.retries += summary.retries;
  for (const auto& [outcome, count] : summary.outcomes) {
    sum.outcomes[outcome] += count;
  }
  for (const auto& [reason, count] : summary.refusals) {
    sum.refusals[reason] += count;
  }
  AddCauses(sum.causes, summary.causes);
}

std::string FormatCounts(const std::map<std::string, std::uint64_t>& counts) {
  std::string text;
  for (const auto& [name, count] : counts) {
    text += fmt::format("{}{} {}", text.empty() ? "" : ", ", name, count);
  }
  return text.empty() ? "-" : text;
}

}  // namespace

BurnReport MergeBurn(const std::vector<NodeBurn>& nodes,
                     std::vector<std::string> missing) {
  BurnReport report;
  report.missing = std::move(missing);
  std::map<std::pair<ServiceName, RequestClass>, BurnSummary> merged;
  std::set<PolicyVersion> versions;
  for (const auto& node : nodes) {
    report.nodes.push_back(node.node);
    versions.insert(node.policy_version);
    for (const auto& summary : node.summaries) {
      const std::pair key(summary.service, summary.request_class);
      const auto [found, added] = merged.try_emplace(key, summary);
      if (!added) {
        AddSummary(found->second, summary);
      }
    }
  }
  for (auto& [key, summary] : merged) {
    report.summaries.push_back(std::move(summary));
  }
  report.policy_versions.assign(versions.begin(), versions.end());
  return report;
}

double BudgetLeftPercent(const BurnSummary& summary) {
  return 100.0 * (1.0 - WindowBurnRate(summary, k3DayWindow));
}

std::string AlertLevel(const BurnSummary& summary) {
  const auto above = [&summary](std::size_t first, std::size_t second,
                                double rate) {
    return WindowBurnRate(summary, first) > rate &&
           WindowBurnRate(summary, second) > rate;
  };
  if (above(k5MinuteWindow, k1HourWindow, kFastPageBurnRate) ||
      above(k30MinuteWindow, k6HourWindow, kSlowPageBurnRate)) {
    return "page";
  }
  return above(k6HourWindow, k3DayWindow, 1.0) ? "ticket" : "ok";
}

std::string RenderTable(const BurnReport& report) {
  std::string text = fmt::format(
      "{:<14} {:<12} {:>7} {:>9} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>6}\n",
      "SERVICE", "CLASS", "SLO %", "BUDGET %", "5 MIN", "30 MIN", "1 H", "6 H",
      "3 D", "RETRIES", "ALERT");
  for (const auto& summary : report.summaries) {
    text += fmt::format(
        "{:<14} {:<12} {:>7.2f} {:>9.1f} {:>8.2f} {:>8.2f} {:>8.2f} {:>8.2f} "
        "{:>8.2f} {:>8} {:>6}\n",
        summary.service.Value(), RequestClassName(summary.request_class),
        summary.objective_percent, BudgetLeftPercent(summary),
        WindowBurnRate(summary, k5MinuteWindow),
        WindowBurnRate(summary, k30MinuteWindow),
        WindowBurnRate(summary, k1HourWindow),
        WindowBurnRate(summary, k6HourWindow),
        WindowBurnRate(summary, k3DayWindow), summary.retries,
        AlertLevel(summary));
    text += fmt::format("  outcomes: {}; refusals: {}\n",
                        FormatCounts(summary.outcomes),
                        FormatCounts(summary.refusals));
    for (const auto& cause : summary.causes) {
      text += fmt::format(
          "  cause: {} at {} ({}): {}\n", cause.step,
          cause.peer.Value().empty() ? "this node" : cause.peer.Value(),
          ReasonName(cause.reason), cause.count);
    }
  }
  text += fmt::format("{} nodes answered", report.nodes.size());
  if (!report.missing.empty()) {
    text += fmt::format("; PARTIAL: {} did not answer ({})",
                        report.missing.size(), fmt::join(report.missing, ", "));
  }
  return text + "\n";
}

std::string RenderJson(const BurnReport& report) {
  nlohmann::json value;
  value["partial"] = !report.missing.empty();
  value["missing"] = report.missing;
  value["nodes"] = report.nodes.size();
  value["policy_versions"] = nlohmann::json::array();
  for (const auto& version : report.policy_versions) {
    value["policy_versions"].push_back(version.Value());
  }
  value["services"] = nlohmann::json::array();
  for (const auto& summary : report.summaries) {
    nlohmann::json row = {
        {"service", summary.service.Value()},
        {"class", std::string(RequestClassName(summary.request_class))},
        {"objective_percent", summary.objective_percent},
        {"budget_left_percent", BudgetLeftPercent(summary)},
        {"alert", AlertLevel(summary)},
        {"retries", summary.retries},
        {"outcomes", summary.outcomes},
        {"refusals", summary.refusals}};
    for (std::size_t i = 0; i < kBurnWindows.size(); ++i) {
      row["burn"].push_back({{"minutes", kBurnWindows[i].count()},
                             {"rate", WindowBurnRate(summary, i)},
                             {"total", summary.windows[i].total},
                             {"bad", summary.windows[i].bad}});
    }
    for (const auto& cause : summary.causes) {
      row["causes"].push_back(
          {{"step", cause.step},
           {"peer", cause.peer.Value()},
           {"reason", std::string(ReasonName(cause.reason))},
           {"count", cause.count}});
    }
    value["services"].push_back(std::move(row));
  }
  return value.dump(2) + "\n";
}

}  // namespace cassiakeel::telemetry
