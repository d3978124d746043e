#pragma once

#include <string>
#include <unordered_map>

#include "cassiakeel/base/clock.h"

namespace cassiakeel::mesh::pvt {

/// Shed level of each route at the place where requests begin, learnt from the
/// results of earlier requests of the route. A request below the level would
/// be refused deeper in its tree after work was spent on it.
class EntryLevels {
 public:
  /// Notes the level that a finished request met.
  void Note(const std::string& route, double met, SteadyTime now);
  /// The level now; 0 for none.
  double LevelOf(const std::string& route, SteadyTime now) const;

 private:
  struct Entry {
    double level = 0;
    SteadyTime updated;
  };
  static double Decayed(const Entry& entry, SteadyTime now);
  std::unordered_map<std::string, Entry> entries;
};

}  // namespace cassiakeel::mesh::pvt
