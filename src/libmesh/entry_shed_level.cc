#include "entry_shed_level.h"

#include <algorithm>

namespace cassiakeel::mesh::pvt {
namespace {

// Share of the distance to a higher observed level by which one result raises
// the level. Less than 1, so that a single result from a short peak does not
// shed a whole request class.
constexpr double kRiseShare = 0.25;
// Decay of the level in request classes per second. Slower than the rise,
// because a node reports level 0 as soon as calls are not delayed in its queue.
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
  double level = DecayedLevel(entry, now);
  if (observed_level > level) {
    level += (observed_level - level) * kRiseShare;
    entry.raised_by = reporter;
  }
  entry.level = level;
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
