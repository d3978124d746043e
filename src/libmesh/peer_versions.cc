#include "peer_versions.h"

#include <algorithm>

namespace cassiakeel::mesh::pvt {
namespace {

// A node that can read the store has the newer policy of a peer by then. A node
// that the store turns away gets it from a peer, within half of the time in
// which a policy has to be in force.
constexpr std::chrono::milliseconds kOutdatedPolicyDelay{800};

bool PolicyIsOutdated(const PeerVersions& versions) {
  return versions.own.policy < versions.newest.policy;
}

}  // namespace

void SetOwnPolicy(PeerVersions& versions, std::uint64_t policy) {
  versions.own.policy = policy;
  if (!PolicyIsOutdated(versions)) {
    versions.outdated_since.reset();
  }
}

void SetOwnDirectory(PeerVersions& versions, const StorePosition& directory) {
  if (directory < versions.own.directory) {
    versions.newest.directory = directory;
  }
  versions.own.directory = directory;
}

bool RecordPeerVersions(PeerVersions& versions,
                        const StateVersions& peer,
                        SteadyTime now) {
  if (peer.policy <= std::max(versions.own.policy, versions.newest.policy) &&
      peer.directory <=
          std::max(versions.own.directory, versions.newest.directory)) {
    return false;
  }
  versions.newest.policy = std::max(versions.newest.policy, peer.policy);
  versions.newest.directory =
      std::max(versions.newest.directory, peer.directory);
  if (PolicyIsOutdated(versions) && !versions.outdated_since) {
    versions.outdated_since = now;
  }
  return true;
}

bool HasLackedPolicy(const PeerVersions& versions, SteadyTime now) {
  return versions.outdated_since &&
         now - *versions.outdated_since >= kOutdatedPolicyDelay;
}

}  // namespace cassiakeel::mesh::pvt
