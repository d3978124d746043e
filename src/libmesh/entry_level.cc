#include "entry_level.h"

#include <algorithm>

namespace cassiakeel::mesh::pvt {
namespace {

// Share of the distance to a higher level taken per result, so that one result
// of a short peak does not shed a whole class.
constexpr double kRise = 0.25;
// Fall per second, in classes. Slower than the rise, because a level at which
// nothing waits is reported as none.
constexpr double kFallPerSecond = 0.4;

}  // namespace

double EntryLevels::Decayed(const Entry& entry, SteadyTime now) {
  const std::chrono::duration<double> passed = now - entry.updated;
  return std::max(0.0, entry.level - passed.count() * kFallPerSecond);
}

void EntryLevels::Note(const std::string& route, double met, SteadyTime now) {
  if (met <= 0 && !this->entries.contains(route)) {
    return;
  }
  auto& entry = this->entries[route];
  double level = Decayed(entry, now);
  if (met > level) {
    level += (met - level) * kRise;
  }
  entry = {level, now};
}

double EntryLevels::LevelOf(const std::string& route, SteadyTime now) const {
  const auto found = this->entries.find(route);
  return found == this->entries.end() ? 0 : Decayed(found->second, now);
}

}  // namespace cassiakeel::mesh::pvt
