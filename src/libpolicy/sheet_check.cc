#include <map>

#include <fmt/format.h>

#include "path_pattern.h"
#include "sheet_row.h"

namespace cassiakeel::policy::pvt {
namespace {

using RowsOfService = std::map<ServiceName, std::vector<const SheetRow*>>;

RowsOfService GroupRows(const std::vector<SheetRow>& rows) {
  RowsOfService groups;
  for (const SheetRow& row : rows) {
    if (row.Has("service")) {
      groups[row.service].push_back(&row);
    }
  }
  return groups;
}

bool Covers(const KindPolicy& wide, const KindPolicy& narrow) {
  return (wide.method == "*" || wide.method == narrow.method) &&
         PatternCovers(wide.path, narrow.path);
}

bool HasRoute(const SheetRow& row) {
  return row.Has("method") && row.Has("path");
}

// A kind that no request reaches would be approved and have no effect. Returns
// whether a fault was found; one per row is enough.
bool CheckAgainstEarlier(const SheetRow& row,
                         const SheetRow& earlier,
                         std::vector<SheetFault>& faults) {
  const auto before = faults.size();
  if (row.Has("kind") && row.kind.kind == earlier.kind.kind) {
    faults.push_back(
        {row.number, "kind", row.kind.kind.Value(),
         fmt::format("a name that differs from row {}", earlier.number)});
  }
  if (HasRoute(row) && HasRoute(earlier) && Covers(earlier.kind, row.kind)) {
    faults.push_back(
        {row.number, "path", row.kind.method + " " + row.kind.path,
         fmt::format("a method and path that row {} does not already match; "
                     "put the more specific row first",
                     earlier.number)});
  }
  return faults.size() > before;
}

void CheckAgreement(const SheetRow& row,
                    const SheetRow& first,
                    std::vector<SheetFault>& faults) {
  const auto compare = [&](std::string_view column, int value, int wanted) {
    if (row.Has(column) && first.Has(column) && value != wanted) {
      faults.push_back({row.number, std::string(column), std::to_string(value),
                        fmt::format("{} as in row {} of the same service",
                                    wanted, first.number)});
    }
  };
  compare("max_in_flight", row.max_in_flight, first.max_in_flight);
  compare("short_reserved", row.short_reserved.Value(),
          first.short_reserved.Value());
}

void CheckOneRow(const SheetRow& row, std::vector<SheetFault>& faults) {
  const KindPolicy& kind = row.kind;
  if (row.Has("max_wait_ms") && row.Has("deadline_ms") &&
      kind.max_wait > kind.deadline) {
    faults.push_back(
        {row.number, "max_wait_ms", std::to_string(kind.max_wait.count()),
         fmt::format("at most the deadline_ms of {}", kind.deadline.count())});
  }
  if (row.Has("max_in_flight") && row.Has("short_reserved") &&
      row.short_reserved.Value() >= row.max_in_flight &&
      kind.length == WorkLength::kLong && row.Has("length")) {
    faults.push_back(
        {row.number, "short_reserved",
         std::to_string(row.short_reserved.Value()),
         fmt::format("less than the max_in_flight of {}, because this long "
                     "kind could never run",
                     row.max_in_flight)});
  }
}

void WarnOneRow(const SheetRow& row, std::vector<SheetWarning>& warnings) {
  const KindPolicy& kind = row.kind;
  const auto warn = [&](std::string_view column, std::string message) {
    warnings.push_back({row.number, std::string(column), std::move(message)});
  };
  if (kind.request_class == RequestClass::kCritical && kind.idempotent &&
      kind.method == "POST") {
    warn("idempotent",
         "a critical POST is declared idempotent; if a repeated one has a "
         "second effect, it will not be prevented");
  }
  if (kind.retries > 0 && !kind.idempotent) {
    warn("retries",
         "work that is not idempotent is retried only when it is known not to "
         "have run");
  }
  if (kind.deadline < kind.objective.latency) {
    warn("deadline_ms",
         fmt::format("requests are given up after {} ms, before the objective "
                     "of {} ms",
                     kind.deadline.count(), kind.objective.latency.count()));
  }
}

void WarnLongShares(const ServiceName& service,
                    const std::vector<const SheetRow*>& rows,
                    std::vector<SheetWarning>& warnings) {
  int share = 0;
  int last = 0;
  for (const SheetRow* row : rows) {
    if (row->kind.length == WorkLength::kLong) {
      share += row->kind.slot_share.Value();
      last = row->number;
    }
  }
  if (share > 100) {
    warnings.push_back(
        {last, "slot_share_percent",
         fmt::format("the long kinds of {} may hold {}% of the slots together; "
                     "they will wait for each other",
                     service.Value(), share)});
  }
}

}  // namespace

void CheckRows(const std::vector<SheetRow>& rows,
               std::vector<SheetFault>& faults) {
  for (const SheetRow& row : rows) {
    CheckOneRow(row, faults);
  }
  for (const auto& [service, group] : GroupRows(rows)) {
    if (group.size() > kMaxKindsPerService) {
      faults.push_back(
          {group[kMaxKindsPerService]->number, "service", service.Value(),
           fmt::format("at most {} kinds per service", kMaxKindsPerService)});
      continue;
    }
    for (std::size_t i = 1; i < group.size(); ++i) {
      CheckAgreement(*group[i], *group[0], faults);
      std::size_t earlier = 0;
      while (earlier < i &&
             !CheckAgainstEarlier(*group[i], *group[earlier], faults)) {
        ++earlier;
      }
    }
  }
}

void WarnRows(const std::vector<SheetRow>& rows,
              std::vector<SheetWarning>& warnings) {
  for (const SheetRow& row : rows) {
    if (row.bad.empty()) {
      WarnOneRow(row, warnings);
    }
  }
  for (const auto& [service, group] : GroupRows(rows)) {
    WarnLongShares(service, group, warnings);
  }
}

}  // namespace cassiakeel::policy::pvt
