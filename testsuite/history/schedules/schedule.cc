#include "schedule.h"

#include <array>
#include <ostream>
#include <string_view>

namespace cassiakeel::history {

std::string_view FaultKindName(FaultKind kind) {
  constexpr std::array<std::string_view, kFaultKindCount> kNames = {
      "store-down",     "store-slow",          "answers-lost",
      "cut-from-store", "partition",           "messages",
      "pause",          "pause-at-call",       "pause-before-dispatch",
      "crash",          "replace-paused",      "leave",
      "wall-jump",      "server-answers-lost", "suspected"};
  return kNames.at(static_cast<std::size_t>(kind));
}

std::ostream& operator<<(std::ostream& out, const Fault& fault) {
  return out << "{" << FaultKindName(fault.kind) << " at " << fault.at_s
             << " s for " << fault.duration_s << " s, node " << fault.node
             << ", amount " << fault.amount << "}";
}

std::ostream& operator<<(std::ostream& out, const Schedule& schedule) {
  out << schedule.nodes << " nodes, seed " << schedule.seed << ", "
      << schedule.duration_s << " s, " << schedule.submissions
      << " submissions";
  for (const Fault& fault : schedule.faults) {
    out << "\n  " << fault;
  }
  return out;
}

}  // namespace cassiakeel::history
