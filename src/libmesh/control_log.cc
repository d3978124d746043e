#include "control_log.h"

namespace cassiakeel::mesh::pvt {
namespace {

template <typename Number>
std::string Field(std::string_view name, Number value) {
  return "," + JsonNumber(name, static_cast<std::int64_t>(value));
}

// 0 stands for a store that names no era.
std::string EraField(std::string_view name, std::optional<StoreEra> era) {
  return Field(name, era.value_or(StoreEra(0)).Value());
}

}  // namespace

void LogConnection(DecisionLog& log,
                   const std::string& table,
                   bool up,
                   const std::string& cause) {
  log.Write(up ? "store_regained" : "store_lost",
            JsonString("table", table) + "," + JsonString("cause", cause));
}

void LogTableRead(DecisionLog& log,
                  const std::string& table,
                  const TableReadReport& report) {
  log.WriteLimited(
      "table_read",
      JsonString("table", table) + "," + JsonString("outcome", report.outcome) +
          Field("known_version", report.known_version) +
          Field("version", report.version) + Field("rows", report.rows) +
          EraField("era", report.era));
}

void LogStoreReturned(DecisionLog& log,
                      const StoreHistory::Return& noticed,
                      std::uint64_t returns) {
  log.Write("store_returned", JsonString("cause", noticed.cause) +
                                  EraField("known_era", noticed.known_era) +
                                  EraField("era", noticed.era) +
                                  Field("returns", returns));
}

void LogEraMissing(DecisionLog& log, StoreEra known) {
  log.Write("store_era_missing",
            JsonNumber("known_era", static_cast<std::int64_t>(known.Value())));
}

void LogPolicy(DecisionLog& log, const TrafficPolicy& policy) {
  log.Write("policy", JsonNumber("version", static_cast<std::int64_t>(
                                                policy.version().Value())) +
                          Field("routes", policy.routes().size()));
}

void LogDirectory(DecisionLog& log,
                  std::size_t entries,
                  const StorePosition& position,
                  std::string_view source) {
  log.Write("directory",
            JsonNumber("entries", static_cast<std::int64_t>(entries)) +
                Field("version", position.version) +
                EraField("era", position.era) + "," +
                JsonString("source", source));
}

void LogBackend(DecisionLog& log, const LocalBackend& backend) {
  log.Write("backend", JsonString("instance", backend.report.instance.Value()) +
                           Field("present", backend.present ? 1 : 0) +
                           Field("leaving", backend.report.leaving ? 1 : 0) +
                           Field("slots", backend.report.slots.Value()));
}

void LogAnnouncement(DecisionLog& log, const AnnouncementReport& report) {
  log.Write("row_announced",
            JsonNumber("nodes", static_cast<std::int64_t>(report.nodes)) +
                Field("acknowledged", report.acknowledged) +
                Field("after_ms", report.time.count()));
}

void LogAnnouncedEntry(DecisionLog& log, const DirectoryEntry& entry) {
  log.WriteLimited("row_received",
                   JsonString("node", entry.node.Value()) + "," +
                       JsonString("instance", entry.instance.Value()) +
                       Field("departed", entry.departed ? 1 : 0));
}

}  // namespace cassiakeel::mesh::pvt
