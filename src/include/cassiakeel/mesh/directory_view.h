#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cassiakeel/base/clock.h"
#include "cassiakeel/mesh/backend.h"
#include "cassiakeel/mesh/table_follower.h"

namespace cassiakeel::mesh {

/// Time in which the owners' rows are expected again after the copy was read.
/// Their nodes write them within two seconds of the store's return, and changes
/// of the directory are read in batches of up to 1.8 s.
inline constexpr std::chrono::milliseconds kRewriteGrace{4000};

/// An entry that was known when the store came back from an older copy, or that
/// its node has announced.
struct KeptEntry {
  DirectoryEntry entry;
  /// Until then the entry stands in for a row that the copy lacks. Nothing
  /// until the copy was read, and for an announced entry.
  std::optional<SteadyTime> grace_end;
};

/// What a node believes of the directory: the stored rows, and after a return
/// of the store what the rows of its older copy may not undo. See
/// docs/design/store-return.md.
struct DirectoryView {
  Directory stored;
  std::map<NodeId, std::uint64_t> stored_versions;
  std::map<NodeId, KeptEntry> kept;
  /// Versions of the rows in the copy, or at the announcement of a later entry.
  /// A row that still has its version has not been written since.
  std::map<NodeId, std::uint64_t> copy_versions;
  /// The next rows are the first ones since a return.
  bool awaits_copy = false;
  /// Departures that their nodes have announced and the rows do not show yet.
  /// They are handed on to nodes that restart. Calls may still be sent to the
  /// nodes, which refuse them.
  std::map<NodeId, DirectoryEntry> announced_departures;
};

/// Takes the rows as read at `now`. Rows that cannot be decoded are skipped.
void ApplyRows(DirectoryView& view, const RowMap& rows, SteadyTime now);

/// Takes the rows of a peer for what was known before the first read of this
/// node. The next rows that are applied are checked against them. Announced
/// entries that the peer does not know yet stay.
void ApplyPeerRows(DirectoryView& view, const RowMap& rows);

/// Takes an entry that its node has announced, until the row of the node
/// changes. Returns false if the view has it or a later one.
bool ApplyAnnouncement(DirectoryView& view, const DirectoryEntry& announced);

/// Keeps what is known at `now`, announced departures as well, because the
/// store has come back from an older copy. The next rows that are applied are
/// those of the copy.
void BeginReturn(DirectoryView& view, SteadyTime now);

/// The entries to use at `now`.
Directory VisibleDirectory(const DirectoryView& view, SteadyTime now);

/// The entries to hand on to other nodes: as `VisibleDirectory`, with the
/// departures that were announced.
Directory KnownDirectory(const DirectoryView& view, SteadyTime now);

/// When `VisibleDirectory` changes next with time alone; nothing if it does
/// not.
std::optional<SteadyTime> NextChange(const DirectoryView& view, SteadyTime now);

/// Departures that were known at a return and that the store lacks since.
std::vector<DirectoryEntry> UnstoredDepartures(const DirectoryView& view);

/// Whether `entry` says that the server process of `other`, or a later one with
/// the same id, has departed.
bool CoversDeparture(const DirectoryEntry& entry, const DirectoryEntry& other);

}  // namespace cassiakeel::mesh
