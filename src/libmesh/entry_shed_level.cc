#include "entry_shed_level.h"

#include <algorithm>

namespace cassiakeel::mesh::pvt {
namespace {

// Share of the distance to a higher observed level by which one result raises
// the level. Less than 1, so that a single result from a short peak does not
// shed a whole request class.
constexpr double kRiseShare = 0.25;
// The same for a lower observed level. Results come from all servers that a
// request may use; where some of them are not delayed, calls that the others
// refuse are sent to these, and the level of the most delayed one would refuse
// too many requests. Smaller than for a rise, because a request that is refused
// late has cost work at up to all servers of its tree.
constexpr double kFallShare = 0.1;
// Decay of the level in request classes per second, for a route that gets no
// results because all its requests are refused.
constexpr double kDecayPerSecond = 0.4;

}  // namespace

double EntryShedLevels::DecayedLevel(const Entry& entry, SteadyTime now) {
  const std::chrono::duration<double> elapsed = now - entry.updated;
  return std::max(0.0, entry.level - elapsed.count() * kDecayPerSecond);
}

void EntryShedLevels::Record(const std::string& route,
                             double observed_level,
                             const NodeId& reporter,
                             SteadyTime now) {
  if (observed_level <= 0 && !this->entries.contains(route)) {
    return;
  }
  auto& entry = this->entries[route];
  const double level = DecayedLevel(entry, now);
  const bool rises = observed_level > level;
  if (rises) {
    entry.raised_by = reporter;
  }
  entry.level =
      level + (observed_level - level) * (rises ? kRiseShare : kFallShare);
  entry.updated = now;
}

double EntryShedLevels::LevelFor(const std::string& route,
                                 SteadyTime now) const {
  const auto found = this->entries.find(route);
  return found == this->entries.end() ? 0 : DecayedLevel(found->second, now);
}

NodeId EntryShedLevels::LastRaisedBy(const std::string& route) const {
  const auto found = this->entries.find(route);
  return found == this->entries.end() ? NodeId() : found->second.raised_by;
}

}  // namespace cassiakeel::mesh::pvt
