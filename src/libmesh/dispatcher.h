#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "backend_gate.h"
#include "cassiakeel/base/random.h"
#include "cassiakeel/h1/client.h"
#include "cassiakeel/h1/server.h"
#include "cassiakeel/mesh/settings.h"
#include "cassiakeel/mesh/traffic_policy.h"
#include "entry_level.h"
#include "retry_quota.h"
#include "service_pools.h"

namespace cassiakeel::mesh::pvt {

/// Takes requests where they begin: finds the route, chooses a backend server,
/// hands the request to the node beside it, tries others as far as that is
/// safe and within the quota, and answers the caller. Used on the traffic
/// thread.
class Dispatcher {
 public:
  static std::unique_ptr<Dispatcher> Create(
      asio::io_context& io_context,
      std::shared_ptr<h1::TimerQueue> timers,
      const MeshSettings& settings,
      BackendGate& gate,
      DecisionLog& log,
      Statistics& statistics);
  ~Dispatcher();

  void SetPolicy(std::shared_ptr<const TrafficPolicy> next);
  void SetDirectory(std::shared_ptr<const Directory> next);
  void SetVersions(const StateVersions& next) { this->versions = next; }
  /// Called with the versions that other nodes have.
  void OnPeerVersions(std::function<void(const StateVersions&)> handler) {
    this->on_peer_versions = std::move(handler);
  }
  /// Called with the address of a node that asks for control state.
  void OnStateWanted(std::function<void(const PeerAddress&)> handler) {
    this->on_state_wanted = std::move(handler);
  }
  /// Hands control state to the node at `address`; one that does not get it
  /// asks again.
  void SendState(const PeerAddress& address, std::string state);
  /// A request of a client or of the backend server beside this node. With
  /// `latest_end`, it is refused unless its target latency ends before that,
  /// and given no more time.
  void Handle(std::shared_ptr<h1::Exchange> exchange,
              std::optional<SteadyTime> latest_end = std::nullopt);

 private:
  class Call;
  friend class Call;

  Dispatcher(asio::io_context& io_context,
             std::shared_ptr<h1::TimerQueue> timers,
             const MeshSettings& settings,
             BackendGate& gate,
             DecisionLog& log,
             Statistics& statistics);

  // Answers a request for which no call was made.
  void Reject(h1::Exchange& exchange, h1::Response response, Reason reason);

  std::shared_ptr<h1::TimerQueue> timers;
  const MeshSettings& settings;
  BackendGate& gate;
  DecisionLog& log;
  Statistics& statistics;
  std::unique_ptr<h1::Client> client;
  std::shared_ptr<const TrafficPolicy> policy;
  ServicePools pools;
  StateVersions versions;
  std::function<void(const StateVersions&)> on_peer_versions;
  std::function<void(const PeerAddress&)> on_state_wanted;
  RetryQuota quota;
  EntryLevels entry_levels;
  Rng rng;
};

}  // namespace cassiakeel::mesh::pvt
