#pragma once

#include <optional>

#include "cassiakeel/base/clock.h"
#include "cassiakeel/mesh/call.h"

namespace cassiakeel::mesh::pvt {

/// Versions of the control state of this node and of its peers.
struct PeerVersions {
  StateVersions own;
  /// Newest versions that a peer has told, or this node's own where newer.
  StateVersions newest;
  /// When this node learned that a peer has a newer policy than its own.
  std::optional<SteadyTime> outdated_since;
};

void SetOwnPolicy(PeerVersions& versions, std::uint64_t policy);
/// A position below the previous one shows that the store has come back from an
/// older copy without naming an era. What peers told before is then forgotten.
void SetOwnDirectory(PeerVersions& versions, const StorePosition& directory);
/// Records what a peer has told. Returns true if a version is newer than all
/// that were known.
bool RecordPeerVersions(PeerVersions& versions,
                        const StateVersions& peer,
                        SteadyTime now);
/// True if a peer has a newer policy and the store had the time to deliver it.
bool HasLackedPolicy(const PeerVersions& versions, SteadyTime now);

}  // namespace cassiakeel::mesh::pvt
