#pragma once

#include <chrono>
#include <cstddef>

namespace cassiakeel::mesh::pvt {

// How often the nodes of a fleet call the shared store. `nodes` is the number
// of entries in the directory.

/// Mean wait of a poll of the policy. All nodes together poll three times a
/// second, whatever their number, so that one of them soon notices a return of
/// the store that their connections have outlived.
std::chrono::milliseconds MeanPolicyPollWait(std::size_t nodes);

/// Time over which the nodes spread their reads after a return of the store.
/// `recent_returns`: returns before this one, each within kQuietTime of the
/// next. A store whose era alternates is not read without a pause.
std::chrono::milliseconds RereadSpread(std::size_t nodes,
                                       int recent_returns = 0);

inline constexpr std::chrono::milliseconds kQuietTime{5000};

}  // namespace cassiakeel::mesh::pvt
