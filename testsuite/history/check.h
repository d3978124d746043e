#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "event.h"

namespace cassiakeel::history {

/// Longest time after a backend server begins to leave in which new work may
/// still be dispatched to it (I6).
inline constexpr std::chrono::seconds kMaxDepartureDelay{3};
/// Longest time from the approval of a policy until it is in force at every
/// healthy node (I8).
inline constexpr std::chrono::seconds kMaxPropagationDelay{20};

/// A violated invariant, with the smallest excerpt of the history that shows
/// the violation, in order of time.
struct Violation {
  std::string invariant;
  std::string message;
  History excerpt;
};

using Violations = std::vector<Violation>;

/// I1: the number of attempts marked as retry never exceeds the retry budget
/// given when the request was submitted, counted over the whole call chain.
Violations CheckRetryBudget(const History& history);

/// I2: a node never refuses a critical attempt because of overload while its
/// queue holds a less important attempt of the same length that it later
/// dispatches.
Violations CheckSheddingOrder(const History& history);

/// I3: every request is answered exactly once, to the caller that submitted it,
/// before `kQuiescent`. An answer with outcome "ran" follows a run of the same
/// key or request and carries that run's complete payload, or no payload.
Violations CheckAnswers(const History& history);

/// I4: an attempt that was refused as not run, or a request that was answered
/// as not run, runs neither before nor after that answer.
Violations CheckNotRun(const History& history);

/// I5: non-idempotent work with a given key starts at most once per service.
Violations CheckAtMostOnce(const History& history);

/// I5, the mechanism behind it: work of a key shard never starts under an epoch
/// older than that of work that has already started. Stricter than
/// `CheckAtMostOnce`, which two simultaneous owners violate only if both
/// receive the same key.
Violations CheckSingleOwner(const History& history);

/// I6: no work is dispatched to a backend server later than
/// `kMaxDepartureDelay` after it began to leave, until it returns.
Violations CheckDeparture(const History& history);

/// I7: work that runs at a node during a graceful shutdown completes before the
/// shutdown ends.
Violations CheckShutdown(const History& history);

/// I8: an approved policy is in force within `kMaxPropagationDelay` at every
/// node that is up and unimpaired during that time. Every policy in force was
/// approved with the same digest, and its version never decreases at a node.
Violations CheckPolicy(const History& history);

/// Runs all of the above checks, in this order.
Violations CheckAll(const History& history);

}  // namespace cassiakeel::history
