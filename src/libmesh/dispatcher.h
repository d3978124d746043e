#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "allotment_exchange.h"
#include "backend_gate.h"
#include "cassiakeel/base/random.h"
#include "cassiakeel/h1/client.h"
#include "cassiakeel/h1/server.h"
#include "cassiakeel/mesh/settings.h"
#include "cassiakeel/mesh/traffic_policy.h"
#include "cassiakeel/tenancy/authenticate.h"
#include "entry_shed_level.h"
#include "retry_quota.h"
#include "service_pools.h"

namespace cassiakeel::mesh::pvt {

/// Dispatches requests that originate on this machine: finds the route, selects
/// a backend server, sends the request to the node of that server, retries it
/// elsewhere if that is safe and within the quota, and responds to the caller.
/// Used on the traffic thread.
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
  /// The backend server on this machine takes calls of `service`.
  void OnOwnServerReady(const ServiceName& service) {
    this->pools.OnOwnServerReady(service);
  }
  void SetVersions(const StateVersions& next) { this->versions = next; }
  /// Sets the newest policy version that this node or a peer has.
  void SetNewestPolicy(std::uint64_t version) { this->newest_policy = version; }
  /// Sets a handler that is called with the state versions of other nodes.
  void OnPeerVersions(std::function<void(const StateVersions&)> handler) {
    this->on_peer_versions = std::move(handler);
  }
  /// Sets a handler that is called with the address of a node that asks for
  /// control state.
  void OnStateRequest(std::function<void(const PeerAddress&)> handler) {
    this->on_state_request = std::move(handler);
  }
  /// Sends control state to the node at `address`, without retries: a node that
  /// does not receive it asks again.
  void SendState(const PeerAddress& address, std::string state);
  AllotmentExchange& allotment_exchange() { return *this->allotments; }
  /// Handles a request of a client or of this machine's backend server. With
  /// `latest_end`, the end of this node, the request is refused if it may take
  /// longer, that is, if its time limit ends later.
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

  // Checks the key and the allotment of a request. Returns false if it was
  // answered; `caller` is empty for a route that needs no key.
  bool AdmitCaller(h1::Exchange& exchange,
                   const Route& route,
                   std::optional<tenancy::Caller>& caller);
  // The answer to a request without a key that the policy holds.
  h1::Response RefuseCaller() const;
  // Responds to a request that is not dispatched.
  void Reject(h1::Exchange& exchange, h1::Response response, Reason reason);

  std::shared_ptr<h1::TimerQueue> timers;
  const MeshSettings& settings;
  BackendGate& gate;
  DecisionLog& log;
  Statistics& statistics;
  std::unique_ptr<h1::Client> client;
  std::shared_ptr<const TrafficPolicy> policy;
  std::unique_ptr<AllotmentExchange> allotments;
  ServicePools pools;
  StateVersions versions;
  std::uint64_t newest_policy = 0;
  std::function<void(const StateVersions&)> on_peer_versions;
  std::function<void(const PeerAddress&)> on_state_request;
  RetryQuota quota;
  EntryShedLevels entry_shed_levels;
  Rng rng;
};

}  // namespace cassiakeel::mesh::pvt
