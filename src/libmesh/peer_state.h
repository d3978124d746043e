#pragma once

#include <optional>
#include <string>

#include "cassiakeel/base/error.h"
#include "cassiakeel/mesh/backend.h"
#include "cassiakeel/mesh/table_follower.h"

namespace cassiakeel::mesh::pvt {

/// Path on which a node accepts control state from another node.
inline constexpr const char* kPeerStatePath = "/cassiakeel/v1/state";

/// Rows that one node knows, for another node that may not be able to read them
/// from the store.
struct PeerState {
  /// The row of the policy in force; may be empty.
  RowMap policy;
  RowMap directory;
  /// The sender's own row if it announces that. There is nothing else then.
  std::optional<DirectoryEntry> announced = std::nullopt;
};

/// Encodes the two tables as a JSON object with an array of rows for each.
std::string EncodePeerState(const PeerState& state);
/// Encodes the announcement of `row` as a JSON object.
std::string EncodeAnnouncement(const DirectoryEntry& row);
Result<PeerState> DecodePeerState(const std::string& text);

}  // namespace cassiakeel::mesh::pvt
