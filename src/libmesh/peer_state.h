#pragma once

#include <string>

#include "cassiakeel/base/error.h"
#include "cassiakeel/mesh/table_follower.h"

namespace cassiakeel::mesh::pvt {

/// Path on which a node accepts control state from another node.
inline constexpr const char* kPeerStatePath = "/cassiakeel/v1/state";

/// Rows that one node has read from the store, for a node that cannot reach the
/// store.
struct PeerState {
  /// The row of the policy in force; may be empty.
  RowMap policy;
  RowMap directory;
};

/// Encodes the state as a JSON object with an array of rows for each table.
std::string EncodePeerState(const PeerState& state);
Result<PeerState> DecodePeerState(const std::string& text);

}  // namespace cassiakeel::mesh::pvt
