#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cassiakeel/allotment/coordinator.h"
#include "cassiakeel/allotment/node_shares.h"
#include "cassiakeel/h1/client.h"
#include "cassiakeel/h1/timer_queue.h"
#include "cassiakeel/mesh/backend.h"
#include "cassiakeel/mesh/settings.h"
#include "cassiakeel/mesh/traffic_policy.h"
#include "decision_log.h"

namespace cassiakeel::mesh::pvt {

/// Path on which a node accepts demand reports of other nodes.
inline constexpr const char* kAllotmentPath = "/cassiakeel/v1/allotments";

/// Keeps each tenant within its allotment over all nodes: enforces this node's
/// shares, exchanges demand for shares with the coordinator, and answers the
/// reports of others if this node is the coordinator. Idle unless the policy
/// limits a tenant. Used on the traffic thread.
class AllotmentExchange {
 public:
  /// Requests of one tenant at this node since the start of the process.
  struct Count {
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
  };

  static std::unique_ptr<AllotmentExchange> Create(
      std::shared_ptr<h1::TimerQueue> timers,
      const MeshSettings& settings,
      h1::Client& client,
      DecisionLog& log);

  void SetPolicy(const TrafficPolicy& policy);
  void SetDirectory(const Directory& directory);

  /// Decides whether a request of `tenant` is within this node's share.
  allotment::Admission Admit(const TenantName& tenant);
  /// Shedding rank of a call tree of the tenant, see tenancy::FairRank.
  double RankOf(const TenantName& tenant, double tree_hash) const;
  /// Answers another node's report; nothing if it cannot be decoded.
  std::optional<std::string> OnReport(const std::string& bytes);

  const std::map<TenantName, Count>& counts() const { return this->by_tenant; }
  const allotment::NodeShares& node_shares() const { return this->shares; }

 private:
  AllotmentExchange(std::shared_ptr<h1::TimerQueue> timers,
                    const MeshSettings& settings,
                    h1::Client& client,
                    DecisionLog& log);

  void UpdateLimits();
  // Starts the exchange if there are limits, and ends it otherwise.
  void Schedule(std::chrono::milliseconds delay);
  void Exchange();
  // Exchanges at once, unless that was done shortly before.
  void RequestEarlyExchange(SteadyTime now);
  // The first node in rendezvous order that is not avoided after a failure.
  const NodeId& Coordinator(SteadyTime now) const;
  void SendReport(const NodeId& coordinator,
                  const allotment::DemandReport& report,
                  SteadyTime sent);
  void OnAnswer(const NodeId& coordinator,
                const h1::FetchResult& result,
                SteadyTime sent);
  void Apply(const allotment::ShareGrant& grant, SteadyTime sent);
  void OnFailure(const NodeId& coordinator, const std::string& cause);

  std::shared_ptr<h1::TimerQueue> timers;
  const MeshSettings& settings;
  h1::Client& client;
  DecisionLog& log;
  allotment::Limits limits;
  allotment::NodeShares shares;
  allotment::Coordinator coordinator;
  /// Nodes in rendezvous order, with their addresses.
  std::vector<NodeId> ranked;
  std::map<NodeId, PeerAddress> addresses;
  NodeId current;
  SteadyTime exchanged_at;
  /// A report is under way. A coordinator takes one that overtakes another for
  /// that of a restarted process.
  bool awaits_grant = false;
  int failures = 0;
  std::map<NodeId, SteadyTime> avoided_until;
  /// Demand-weighted mean of the use of the tenants of this node.
  double mean_use = 0;
  std::map<TenantName, Count> by_tenant;
  Rng rng;
  h1::Timer timer;
  bool scheduled = false;
};

}  // namespace cassiakeel::mesh::pvt
