#pragma once

#include <string>
#include <unordered_map>

#include "cassiakeel/base/clock.h"
#include "cassiakeel/base/strong.h"

namespace cassiakeel::mesh::pvt {

/// Shed level of each route at the node where client requests enter, derived
/// from the results of earlier requests on the route. A request below the level
/// would be refused by a downstream node after work has been spent on it.
///
/// The load this answers: a service further down cannot serve all requests, for
/// example after its servers were restarted and are still slow, and then
/// recovers server by server. Requests are refused before any work while most
/// results carry a level, and admitted again as results without one arrive.
class EntryShedLevels {
 public:
  /// Records the shed level that `reporter` reported with the result of a
  /// request.
  void Record(const std::string& route,
              double observed_level,
              const NodeId& reporter,
              SteadyTime now);
  /// The level at time `now`; 0 if nothing is shed.
  double LevelFor(const std::string& route, SteadyTime now) const;
  /// The node whose result last raised the level; empty for none. Its own queue
  /// or that of a node further down is delayed.
  NodeId LastRaisedBy(const std::string& route) const;

 private:
  struct Entry {
    double level = 0;
    SteadyTime updated;
    NodeId raised_by;
  };
  static double DecayedLevel(const Entry& entry, SteadyTime now);
  std::unordered_map<std::string, Entry> entries;
};

}  // namespace cassiakeel::mesh::pvt
