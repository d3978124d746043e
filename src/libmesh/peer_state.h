#pragma once

#include <string>

#include "cassiakeel/base/error.h"
#include "cassiakeel/mesh/table_follower.h"

namespace cassiakeel::mesh::pvt {

/// Path on which a node takes control state from another one.
inline constexpr const char* kPeerStatePath = "/cassiakeel/v1/state";

/// Rows as one node read them from the store, for another one that the store
/// does not serve.
struct PeerState {
  /// The row of the policy in force, or none.
  RowMap policy;
  RowMap directory;
};

/// JSON object with an array of rows for each table.
std::string EncodePeerState(const PeerState& state);
Result<PeerState> DecodePeerState(const std::string& text);

}  // namespace cassiakeel::mesh::pvt
