#pragma once

#include <map>
#include <optional>
#include <vector>

#include "cassiakeel/membership/state.h"
#include "registration.h"

namespace cassiakeel::control::pvt {

/// Highest version per peer for which a fetch failed or was refused. It is not
/// fetched again from that peer until the map is cleared.
using RefusedOffers = std::map<NodeId, PolicyVersion>;

/// Members that reported a higher policy version than the one in force, in the
/// order in which to ask them: highest version first, then members of the same
/// zone. Ties are in random order so that no single peer serves all others.
std::vector<membership::Member> PolicySources(
    const membership::MembershipState& state,
    const RefusedOffers& refused,
    Rng& rng);

/// Difference between a sheet and that of an earlier version, given as the
/// number of bytes that both share at the start and at the end. Most changes
/// affect a few lines, so only the part in between has to be sent.
struct SheetDelta {
  PolicyVersion base;
  std::size_t prefix = 0;
  std::size_t suffix = 0;
};
SheetDelta ComputeSheetDelta(const PolicyDocument& base,
                             const PolicyDocument& next);

/// Restores a sheet from the base and the part `middle` that differs; empty if
/// the delta does not match the base. The result must still be verified against
/// the digest in the approved head.
std::optional<std::string> ApplySheetDelta(const PolicyDocument& base,
                                           const SheetDelta& delta,
                                           const std::string& middle);

/// First 64 bits of a digest that is given in hex.
std::uint64_t DigestPrefix(const std::string& digest);

}  // namespace cassiakeel::control::pvt
