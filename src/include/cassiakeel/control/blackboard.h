#pragma once

#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

#include "cassiakeel/membership/state.h"
#include "cassiakeel/policy/policy.h"

namespace cassiakeel::control {

/// A value that one thread writes and any thread reads. Readers get an
/// immutable snapshot, which stays valid as long as they hold it. The lock is
/// held only while the pointer is copied. std::atomic<std::shared_ptr> is not
/// used because its implementation in GCC 12 releases an internal spin lock
/// with too weak a memory order on reads, which ThreadSanitizer reports as a
/// data race.
template <typename T>
class Published {
 public:
  /// Null until the first write.
  std::shared_ptr<const T> Read() const {
    const std::lock_guard lock(this->mutex);
    return this->current;
  }

  /// Must only be called by the thread that writes this value.
  void Write(std::shared_ptr<const T> next) {
    const std::lock_guard lock(this->mutex);
    // The swap moves the previous snapshot to `next`, which is released after
    // the lock.
    this->current.swap(next);
  }

 private:
  mutable std::mutex mutex;
  std::shared_ptr<const T> current;
};

/// Offset of this node's wall clock from the median of its peers' clocks; empty
/// while too few peers have answered.
struct ClockCheck {
  std::optional<std::chrono::microseconds> offset;
};

/// Event counts of the control thread since start, for metrics.
struct ControlStats {
  membership::Counters membership;
  std::uint64_t rpc_calls_sent = 0;
  std::uint64_t rpc_calls_failed = 0;
  std::uint64_t rpc_connections_served = 0;
  std::uint64_t rpc_bytes_sent = 0;
  std::uint64_t rpc_bytes_received = 0;
  std::uint64_t policies_accepted = 0;
  /// Fetched policies that failed the check, including replayed versions.
  std::uint64_t policies_refused = 0;
  std::uint64_t store_failures = 0;
  /// Size of the keys and values read from the store, without protocol
  /// overhead.
  std::uint64_t store_bytes_read = 0;
  std::uint64_t tasks_failed = 0;
  /// CPU time used by the control thread.
  std::chrono::nanoseconds processor_time{0};
};

/// Blackboard: state that the control thread writes and the traffic threads
/// read. The control thread is the only writer of all members.
struct Blackboard {
  /// Null until this node has an incarnation.
  Published<membership::MembersView> members;
  /// Null while no approved policy is known.
  Published<policy::Policy> policy;
  Published<ClockCheck> clock;
  Published<ControlStats> stats;
};

}  // namespace cassiakeel::control
