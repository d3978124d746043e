#include "attempt_registry.h"

namespace cassiakeel::node {
namespace {

// Longer than a connection that could still deliver a delayed attempt stays
// open.
constexpr std::chrono::minutes kRetention{10};
// Bounds memory. At 1,000 attempts per second an entry is kept for two minutes.
constexpr std::size_t kMaxEntries = 120'000;

void EvictExpired(AttemptRegistry& registry, SteadyTime now) {
  while (!registry.arrival_order.empty() &&
         (registry.arrival_order.size() > kMaxEntries ||
          now - registry.arrival_order.front().first > kRetention)) {
    registry.entries.erase(registry.arrival_order.front().second);
    registry.arrival_order.pop_front();
  }
}

}  // namespace

Arrival RegisterAttempt(AttemptRegistry& registry,
                        const AttemptId& attempt,
                        SteadyTime now) {
  EvictExpired(registry, now);
  const auto [entry, added] = registry.entries.try_emplace(
      attempt, AttemptRegistry::Entry{true, false, Outcome::kUnknown});
  if (added) {
    registry.arrival_order.emplace_back(now, attempt);
    return Arrival::kNew;
  }
  return entry->second.fenced ? Arrival::kFenced : Arrival::kDuplicate;
}

void RecordAttemptEnd(AttemptRegistry& registry,
                      const AttemptId& attempt,
                      Outcome outcome) {
  const auto found = registry.entries.find(attempt);
  if (found != registry.entries.end()) {
    found->second = {false, false, outcome};
  }
}

Outcome ResolveAttempt(AttemptRegistry& registry,
                       const AttemptId& attempt,
                       SteadyTime now) {
  EvictExpired(registry, now);
  const auto [entry, added] = registry.entries.try_emplace(
      attempt, AttemptRegistry::Entry{false, true, Outcome::kNotRun});
  if (added) {
    registry.arrival_order.emplace_back(now, attempt);
  }
  return entry->second.running ? Outcome::kUnknown : entry->second.outcome;
}

}  // namespace cassiakeel::node
