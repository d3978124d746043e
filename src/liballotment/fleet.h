#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cassiakeel/allotment/coordinator.h"
#include "cassiakeel/allotment/node_shares.h"

namespace cassiakeel::allotment {

/// Faults that the history check must find.
struct PlantedFaults {
  bool use_expired_grant = false;
  bool start_full = false;
  bool grant_whole_rate = false;
  bool keep_old_share = false;
};

/// Plays the nodes of a fleet in one thread on its own clock. Messages take 1
/// to 150 ms and are lost at times; those to a frozen node wait for it.
class Fleet {
 public:
  Fleet(std::size_t nodes,
        Limits limits,
        std::uint64_t seed,
        PlantedFaults faults = {});

  /// Moves the clock by one step and runs what falls due.
  void Step();
  /// One request at the node, counted and checked against the bound.
  void Arrive(std::size_t node, const TenantName& tenant);

  void Freeze(std::size_t node, std::chrono::milliseconds length);
  /// Ends the process; it starts again with nothing after `down`.
  void Restart(std::size_t node, std::chrono::milliseconds down);
  void End(std::size_t node);
  void Join();
  /// Nodes of different groups do not reach each other.
  void SetGroup(std::size_t node, int group) {
    this->nodes[node].group = group;
  }
  /// Takes effect at each node within 2.5 s.
  void ChangeLimit(const TenantName& tenant, Limit limit);

  std::size_t size() const { return this->nodes.size(); }
  const Limit& LimitOf(const TenantName& tenant) const {
    return this->limits.at(tenant);
  }
  /// The first broken bound, or empty.
  const std::string& violation() const { return this->broken; }

  struct Counts {
    int admitted = 0;
    int refused = 0;
  };
  std::map<TenantName, Counts> counts;
  /// Most requests of a window, over the bound.
  double highest = 0;
  Rng rng;
  double loss = 0.02;

 private:
  struct Node {
    NodeId id;
    NodeShares shares;
    Coordinator coordinator;
    bool running = true;
    bool ended = false;
    int process = 0;
    int group = 0;
    SteadyTime frozen_until;
    std::size_t candidate = 0;
    int failures = 0;
    bool answered = true;
    SteadyTime next_exchange;
    std::vector<TenantName> waiting;
  };
  struct TenantHistory {
    std::deque<SteadyTime> admitted;
    /// Limits that are or were in force, with the end of their force.
    std::vector<std::pair<SteadyTime, Limit>> limits;
  };

  bool IsActive(const Node& node) const;
  void AddNode();
  void Start(std::size_t node);
  void At(SteadyTime time, std::function<void()> run);
  void Send(std::size_t from, std::size_t to, std::function<void()> receive);
  void Deliver(std::size_t to, int process, std::function<void()> receive);
  void RunExchange(std::size_t node);
  void ChooseCoordinator(std::size_t node);
  void Apply(std::size_t node, const ShareGrant& grant, SteadyTime sent);
  void UseLimits(std::size_t node);
  void UpdateDirectory();
  double BoundOf(TenantHistory& history) const;

  SteadyTime now{std::chrono::hours(1)};
  PlantedFaults faults;
  Limits limits;
  Bounds bounds;
  std::vector<Node> nodes;
  std::vector<std::size_t> ranked;
  std::size_t directory = 0;
  std::multimap<SteadyTime, std::function<void()>> events;
  std::map<TenantName, TenantHistory> histories;
  std::string broken;
};

}  // namespace cassiakeel::allotment
