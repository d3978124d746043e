#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

#include "cassiakeel/base/clock.h"

namespace cassiakeel::mesh::pvt {

// How often the nodes of a fleet call the shared store. `nodes` is the number
// of entries in the directory.

/// Minimum time between a reply with changes of the directory and the next poll
/// of it. Changes are batched, because each reply costs every node another call
/// to the store. The delay is acceptable: the gate of a leaving server refuses
/// calls at once, and a new server can wait for some seconds.
inline constexpr std::chrono::milliseconds kDirectoryPollInterval{1800};

/// Mean wait of a poll of the policy. All nodes together poll three times a
/// second, whatever their number, so that one of them soon notices a return of
/// the store that their connections have outlived.
std::chrono::milliseconds MeanPolicyPollWait(std::size_t nodes);

/// Returns of the store in a row.
struct RecentReturns {
  std::optional<SteadyTime> latest;
  /// Returns before the latest one, each within some seconds of the next.
  int before = 0;
};

void CountReturn(RecentReturns& recent, SteadyTime now);

/// Time over which the nodes spread their reads after a return of the store. A
/// store whose era alternates is not read without a pause.
std::chrono::milliseconds RereadSpread(std::size_t nodes,
                                       const RecentReturns& recent = {});

}  // namespace cassiakeel::mesh::pvt
