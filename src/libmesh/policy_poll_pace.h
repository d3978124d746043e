#pragma once

#include <cstddef>
#include <memory>

#include "cassiakeel/h1/timer_queue.h"
#include "cassiakeel/mesh/table_follower.h"

namespace cassiakeel::mesh::pvt {

/// Sets how long a node's polls of the policy wait, from the number of nodes in
/// its directory. A node that starts with its fleet waits as in a large one
/// until the rows of the others have had time to arrive.
class PolicyPollPace {
 public:
  static std::unique_ptr<PolicyPollPace> Create(
      const std::shared_ptr<h1::TimerQueue>& timers,
      std::shared_ptr<TableFollower> policy_rows);

  /// Called with the size of each directory that the node uses.
  /// `has_restarted`: it is the first one, and has the node's own row. The
  /// fleet has been there before.
  void OnDirectory(std::size_t nodes, bool has_restarted);
  std::size_t nodes() const { return this->directory_size; }

 private:
  PolicyPollPace(const std::shared_ptr<h1::TimerQueue>& timers,
                 std::shared_ptr<TableFollower> policy_rows);
  void Update();

  std::shared_ptr<h1::TimerQueue> timers;
  std::shared_ptr<TableFollower> policy_rows;
  std::size_t directory_size = 0;
  /// The directory has the rows of most nodes.
  bool is_fleet_known = false;
  h1::Timer learn_timer;
};

}  // namespace cassiakeel::mesh::pvt
