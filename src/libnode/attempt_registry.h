#pragma once

#include <cstddef>
#include <deque>
#include <unordered_map>

#include "cassiakeel/base/clock.h"
#include "cassiakeel/base/outcome.h"
#include "cassiakeel/base/strong.h"

namespace cassiakeel::node {

/// State of the attempts that other nodes sent to this serving node. A sender
/// whose connection stopped responding queries it over another connection. An
/// attempt that is queried before it arrives is fenced: if it arrives later it
/// is refused, so that the answer "not run" stays true.
struct AttemptRegistry {
  struct Entry {
    bool running = false;
    /// Queried before it arrived.
    bool fenced = false;
    Outcome outcome = Outcome::kNotRun;
  };
  std::unordered_map<AttemptId, Entry> entries;
  /// Ids in the order in which they were added, for eviction.
  std::deque<std::pair<SteadyTime, AttemptId>> arrival_order;
};

enum class Arrival {
  kNew,
  /// Its sender was told that it did not run, so it must not run.
  kFenced,
  /// A repeated delivery; the first one may have run.
  kDuplicate,
};

/// Records the arrival of an attempt. It may be served only if `kNew`.
Arrival RegisterAttempt(AttemptRegistry& registry,
                        const AttemptId& attempt,
                        SteadyTime now);

/// Records the end of an attempt.
void RecordAttemptEnd(AttemptRegistry& registry,
                      const AttemptId& attempt,
                      Outcome outcome);

/// Returns the outcome of an attempt, or `kUnknown` while it runs. An attempt
/// that has not arrived is fenced, and its outcome is `kNotRun`.
Outcome ResolveAttempt(AttemptRegistry& registry,
                       const AttemptId& attempt,
                       SteadyTime now);

}  // namespace cassiakeel::node
