#include "cassiakeel/mesh/directory_view.h"

#include <algorithm>
#include <utility>

#include "cassiakeel/mesh/registrar.h"

namespace cassiakeel::mesh {
namespace {

/// How the stored row of a node relates to the entry kept for it.
enum class KeptUse {
  /// The row is used.
  kNone,
  /// The kept entry stands in for the row, or for the lack of one, until the
  /// end of its grace; then neither is used.
  kUntilGrace,
  /// The kept entry is a departure that the store lacks.
  kAlways,
};

// Whether a row shows less than what is known otherwise. That a server had
// stopped to report, and no more than that, is not compared: its node writes
// nothing if the row of the copy is right again.
bool IsOlder(const DirectoryEntry& row, const DirectoryEntry& kept) {
  if (row.started_at_ms != kept.started_at_ms) {
    return row.started_at_ms < kept.started_at_ms;
  }
  return row.instance == kept.instance && kept.departed && !row.departed;
}

bool IsFromCopy(const DirectoryView& view, const NodeId& node) {
  const auto copied = view.copy_versions.find(node);
  return copied != view.copy_versions.end() &&
         copied->second == view.stored_versions.at(node);
}

KeptUse UseOf(const DirectoryView& view, const DirectoryEntry& kept) {
  const auto row = view.stored.find(kept.node);
  const auto use_if_older =
      kept.departed ? KeptUse::kAlways : KeptUse::kUntilGrace;
  if (row == view.stored.end()) {
    return use_if_older;
  }
  const auto& stored = row->second;
  // A departure is final for the process, whoever writes the row. That of an
  // earlier process with the same id does not stand for it.
  if (kept.departed && CoversDeparture(kept, stored)) {
    return CoversDeparture(stored, kept) ? KeptUse::kNone : KeptUse::kAlways;
  }
  return IsFromCopy(view, kept.node) && IsOlder(stored, kept) ? use_if_older
                                                              : KeptUse::kNone;
}

bool IsWithinGrace(const KeptEntry& kept, SteadyTime now) {
  return !kept.grace_end || now < *kept.grace_end;
}

}  // namespace

bool CoversDeparture(const DirectoryEntry& entry, const DirectoryEntry& other) {
  return entry.departed && entry.instance == other.instance &&
         other.started_at_ms <= entry.started_at_ms;
}

void ApplyRows(DirectoryView& view, const RowMap& rows, SteadyTime now) {
  view.stored = DecodeDirectory(rows);
  view.stored_versions.clear();
  for (const auto& [node, entry] : view.stored) {
    view.stored_versions[node] = rows.at(node.Value()).version;
  }
  std::erase_if(view.announced_departures, [&view](const auto& item) {
    const auto row = view.stored.find(item.first);
    return row != view.stored.end() && !IsOlder(row->second, item.second);
  });
  if (view.awaits_copy) {
    view.copy_versions = view.stored_versions;
    view.awaits_copy = false;
    for (auto& [node, kept] : view.kept) {
      kept.grace_end = kept.grace_end.value_or(now + kRewriteGrace);
    }
  }
}

void ApplyPeerRows(DirectoryView& view, const RowMap& rows) {
  const auto known = std::exchange(view.kept, {});
  for (const auto& [node, entry] : DecodeDirectory(rows)) {
    view.kept[node] = {entry, std::nullopt};
  }
  for (const auto& [node, item] : known) {
    const auto taken = view.kept.find(node);
    if (taken == view.kept.end() || IsOlder(taken->second.entry, item.entry)) {
      view.kept[node] = item;
    }
  }
  view.awaits_copy = true;
}

bool ApplyAnnouncement(DirectoryView& view, const DirectoryEntry& announced) {
  const auto kept = view.kept.find(announced.node);
  const auto row = view.stored.find(announced.node);
  const auto departure = view.announced_departures.find(announced.node);
  if ((kept != view.kept.end() && !IsOlder(kept->second.entry, announced)) ||
      (row != view.stored.end() && !IsOlder(row->second, announced)) ||
      (departure != view.announced_departures.end() &&
       !IsOlder(departure->second, announced))) {
    return false;
  }
  if (announced.departed) {
    view.announced_departures[announced.node] = announced;
    return true;
  }
  view.announced_departures.erase(announced.node);
  view.kept[announced.node] = {announced, std::nullopt};
  if (row != view.stored.end()) {
    view.copy_versions[announced.node] =
        view.stored_versions.at(announced.node);
  }
  return true;
}

void BeginReturn(DirectoryView& view, SteadyTime now) {
  // Entries that are not shown any more still keep older rows from being used.
  for (const auto& [node, entry] : KnownDirectory(view, now)) {
    view.kept[node] = {entry, std::nullopt};
  }
  view.announced_departures.clear();
  view.awaits_copy = true;
}

Directory VisibleDirectory(const DirectoryView& view, SteadyTime now) {
  Directory visible;
  if (!view.awaits_copy) {
    visible = view.stored;
  }
  for (const auto& [node, kept] : view.kept) {
    const auto use = UseOf(view, kept.entry);
    if (use == KeptUse::kNone && !view.awaits_copy) {
      continue;
    }
    if (IsWithinGrace(kept, now) ||
        (use == KeptUse::kAlways && !view.awaits_copy)) {
      visible[node] = kept.entry;
    } else {
      visible.erase(node);
    }
  }
  return visible;
}

Directory KnownDirectory(const DirectoryView& view, SteadyTime now) {
  auto known = VisibleDirectory(view, now);
  for (const auto& [node, departure] : view.announced_departures) {
    const auto found = known.find(node);
    if (found == known.end() || IsOlder(found->second, departure)) {
      known[node] = departure;
    }
  }
  return known;
}

std::optional<SteadyTime> NextChange(const DirectoryView& view,
                                     SteadyTime now) {
  std::optional<SteadyTime> next;
  for (const auto& [node, kept] : view.kept) {
    if (kept.grace_end && now < *kept.grace_end && !view.awaits_copy &&
        UseOf(view, kept.entry) == KeptUse::kUntilGrace) {
      next = std::min(next.value_or(*kept.grace_end), *kept.grace_end);
    }
  }
  return next;
}

std::vector<DirectoryEntry> UnstoredDepartures(const DirectoryView& view) {
  std::vector<DirectoryEntry> departures;
  if (view.awaits_copy) {
    return departures;
  }
  for (const auto& [node, kept] : view.kept) {
    if (kept.entry.departed && UseOf(view, kept.entry) == KeptUse::kAlways) {
      departures.push_back(kept.entry);
    }
  }
  return departures;
}

}  // namespace cassiakeel::mesh
