#pragma once

#include <string>
#include <string_view>

#include "cassiakeel/mesh/backend.h"
#include "cassiakeel/mesh/store_history.h"
#include "cassiakeel/mesh/table_follower.h"
#include "cassiakeel/mesh/traffic_policy.h"
#include "decision_log.h"
#include "row_announcer.h"

namespace cassiakeel::mesh::pvt {

// Log lines of the control plane, see docs/OPERATIONS.md.

void LogConnection(DecisionLog& log,
                   const std::string& table,
                   bool up,
                   const std::string& cause);
void LogTableRead(DecisionLog& log,
                  const std::string& table,
                  const TableReadReport& report);
/// `returns`: number of returns since the start of the process.
void LogStoreReturned(DecisionLog& log,
                      const StoreHistory::Return& noticed,
                      std::uint64_t returns);
void LogEraMissing(DecisionLog& log, StoreEra known);
void LogPolicy(DecisionLog& log, const TrafficPolicy& policy);
/// `source`: where the entries come from, such as "store" or "peer".
void LogDirectory(DecisionLog& log,
                  std::size_t entries,
                  const StorePosition& position,
                  std::string_view source);
void LogBackend(DecisionLog& log, const LocalBackend& backend);
/// This node has announced its row.
void LogAnnouncement(DecisionLog& log, const AnnouncementReport& report);
/// Another node has announced `entry`, which was not known.
void LogAnnouncedEntry(DecisionLog& log, const DirectoryEntry& entry);

}  // namespace cassiakeel::mesh::pvt
