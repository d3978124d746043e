#include <fmt/format.h>

#include <algorithm>

#include "cassiakeel/telemetry/report.h"

namespace cassiakeel::telemetry {
namespace {

constexpr int kPlotWidthPx = 300;
constexpr int kPlotHeightPx = 60;

constexpr std::string_view kHtmlHead = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:76em;
padding:0 1em;color:#1c2430}
table{border-collapse:collapse;width:100%}
th,td{text-align:right;padding:.35em .6em;border-bottom:1px solid #d9dee5}
th{font-weight:600;color:#4a5666}
td.name,th.name{text-align:left}
.page{background:#fbd9d5;font-weight:600}.ticket{background:#fdebc8}
.partial{background:#fdebc8;padding:.6em 1em;border-left:4px solid #c98a00}
.detail td{color:#4a5666;font-size:13px;text-align:left;border-bottom:2px solid
#c3cad4}
svg{background:#f5f7f9;display:block}
</style></head><body><h1>Service-level burn</h1>
)";

std::string EscapeHtml(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

/// Renders an SVG bar chart of the calls in each minute, with bad calls in red.
std::string RenderPlot(const BurnSummary& summary) {
  std::uint64_t highest = 1;
  for (const auto& count : summary.series) {
    highest = std::max(highest, count.total);
  }
  std::string svg = fmt::format(
      "<svg width=\"{}\" height=\"{}\" role=\"img\" aria-label=\"calls per "
      "minute, highest {}\">",
      kPlotWidthPx, kPlotHeightPx, highest);
  const double step = static_cast<double>(kPlotWidthPx) / kSeriesMinutes;
  const auto bar = [&](int minute, std::uint64_t value, const char* colour) {
    const double height = static_cast<double>(kPlotHeightPx) *
                          static_cast<double>(value) /
                          static_cast<double>(highest);
    // Leaves a gap of 0.8 px between two bars.
    svg += fmt::format(
        "<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" height=\"{:.1f}\" "
        "fill=\"{}\"/>",
        minute * step, kPlotHeightPx - height, step - 0.8, height, colour);
  };
  for (int minute = 0; minute < kSeriesMinutes; ++minute) {
    const auto& count = summary.series[minute];
    if (count.total > 0) {
      bar(minute, count.total, "#7aa6c9");
    }
    if (count.bad > 0) {
      bar(minute, count.bad, "#c8452f");
    }
  }
  return svg + "</svg>";
}

std::string RenderDetails(const BurnSummary& summary) {
  std::string text;
  for (const auto& [outcome, count] : summary.outcomes) {
    text += fmt::format("{} {} &middot; ", EscapeHtml(outcome), count);
  }
  text += fmt::format("retries {}", summary.retries);
  for (const auto& [reason, count] : summary.refusals) {
    text += fmt::format(" &middot; {} {}", EscapeHtml(reason), count);
  }
  for (const auto& cause : summary.causes) {
    text +=
        fmt::format("<br>{} at {}: {} ({})", EscapeHtml(cause.step),
                    cause.peer.Value().empty() ? "the answering node"
                                               : EscapeHtml(cause.peer.Value()),
                    cause.count, ReasonName(cause.reason));
  }
  return text;
}

std::string RenderRow(const BurnSummary& summary) {
  const std::string alert = AlertLevel(summary);
  std::string row = fmt::format(
      "<tr><td class=\"name\">{}</td><td class=\"name\">{}</td>"
      "<td>{:.2f} % in {} ms</td><td>{:.1f} %</td>",
      EscapeHtml(summary.service.Value()),
      RequestClassName(summary.request_class), summary.objective_percent,
      summary.objective_latency.count(), BudgetLeftPercent(summary));
  for (const auto& window : summary.windows) {
    row += fmt::format("<td>{:.2f}</td>",
                       BurnRate(window, summary.objective_percent));
  }
  row += fmt::format("<td class=\"{0}\">{0}</td><td>{1}</td></tr>\n", alert,
                     RenderPlot(summary));
  row += fmt::format("<tr class=\"detail\"><td colspan=\"11\">{}</td></tr>\n",
                     RenderDetails(summary));
  return row;
}

}  // namespace

std::string RenderHtml(const BurnReport& report) {
  std::string page(kHtmlHead);
  if (!report.missing.empty()) {
    std::string names;
    for (const auto& name : report.missing) {
      names += (names.empty() ? "" : ", ") + EscapeHtml(name);
    }
    page += fmt::format(
        "<p class=\"partial\">Partial: {} of {} nodes did not answer: {}.</p>",
        report.missing.size(), report.missing.size() + report.nodes.size(),
        names);
  }
  page += fmt::format(
      "<p>{} nodes answered. A burn rate of 1 uses up the error budget exactly "
      "at the end of its period; the plot shows calls per minute over the last "
      "hour, bad ones in red.</p>\n",
      report.nodes.size());
  if (report.policy_versions.size() > 1) {
    page += "<p class=\"partial\">Nodes run different policy versions.</p>\n";
  }
  page +=
      "<table><tr><th class=\"name\">Service</th><th class=\"name\">Class</th>"
      "<th>Objective</th><th>Budget left</th><th>5 min</th><th>30 min</th>"
      "<th>1 h</th><th>6 h</th><th>3 d</th><th>Alert</th><th>Last hour</th>"
      "</tr>\n";
  for (const auto& summary : report.summaries) {
    page += RenderRow(summary);
  }
  return page + "</table></body></html>\n";
}

}  // namespace cassiakeel::telemetry
