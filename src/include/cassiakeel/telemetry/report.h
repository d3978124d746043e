#pragma once

#include <string>
#include <vector>

#include "cassiakeel/telemetry/burn.h"

namespace cassiakeel::telemetry {

/// Service-level figures of a deployment, from the nodes that responded.
struct BurnReport {
  std::vector<BurnSummary> summaries;
  std::vector<NodeId> nodes;
  /// Addresses of the nodes without valid figures; if there are any, the report
  /// is partial.
  std::vector<std::string> missing;
  /// Distinct policy versions of the nodes, in ascending order.
  std::vector<PolicyVersion> policy_versions;
};

/// Sums the figures of all nodes by service and request class.
BurnReport MergeBurn(const std::vector<NodeBurn>& nodes,
                     std::vector<std::string> missing);

/// Error budget left over the longest window, in percent of the budget;
/// negative when overspent, 100 without calls.
double BudgetLeftPercent(const BurnSummary& summary);

/// Alert level by the multi-window rule (The Site Reliability Workbook, chapter
/// 5): "page" when the burn rate is above 14.4 over 5 min and 1 h or above 6
/// over 30 min and 6 h, "ticket" when above 1 over 6 h and 3 days, otherwise
/// "ok".
std::string AlertLevel(const BurnSummary& summary);

std::string RenderTable(const BurnReport& report);
std::string RenderJson(const BurnReport& report);
/// Renders one self-contained HTML page.
std::string RenderHtml(const BurnReport& report);

}  // namespace cassiakeel::telemetry
