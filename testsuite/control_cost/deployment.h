#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "cassiakeel/control/control_thread.h"
#include "cassiakeel/platform/memory_platform.h"

namespace cassiakeel::control_cost {

/// One node with the threads and sockets of a real node, but without traffic.
struct Node {
  control::Blackboard board;
  std::unique_ptr<control::ControlThread> thread;
};

/// Counters summed over all nodes at one time.
struct Usage {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t messages = 0;
  std::chrono::nanoseconds cpu_time{0};
  std::uint64_t suspicions = 0;
  std::uint64_t deaths = 0;
  std::uint64_t store_failures = 0;
};

/// `count` nodes in one process, on loopback addresses, with an in-memory table
/// service, 18 endpoints per service, and ten availability zones in three
/// regions.
class Deployment {
 public:
  explicit Deployment(int count);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  int size() const { return static_cast<int>(this->nodes.size()); }
  Node& node(int index) {
    return *this->nodes.at(static_cast<std::size_t>(index));
  }

  /// Approves the next policy version with a sheet of `sheet_bytes` bytes.
  PolicyVersion ApprovePolicy(std::size_t sheet_bytes);

  /// Waits until `test` has held once on each node except the one with index
  /// `except`, and returns the time that this took, or nothing after `limit`.
  std::optional<std::chrono::milliseconds> TimeUntilAll(
      const std::function<bool(const Node&)>& test,
      std::chrono::seconds limit,
      int except = -1);

  /// Sums the counters, which the nodes publish every second.
  Usage ReadUsage() const;

 private:
  platform::MemoryPlatform memory;
  SystemClock clock;
  PolicyVersion version;
  std::vector<std::unique_ptr<Node>> nodes;
};

}  // namespace cassiakeel::control_cost
