#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cassiakeel/base/clock.h"
#include "cassiakeel/base/error.h"
#include "cassiakeel/h1/server_memory.h"
#include "cassiakeel/mesh/backend.h"
#include "cassiakeel/mesh/settings.h"
#include "cassiakeel/mesh/store_history.h"
#include "cassiakeel/mesh/traffic_policy.h"

namespace cassiakeel::mesh {

/// Handlers for messages of other nodes about control state. They run on the
/// traffic thread.
struct PeerHandlers {
  /// A peer has newer versions than this node.
  std::function<void(const StateVersions& peer)> on_newer_versions;
  /// The node at `address` asks for this node's control state.
  std::function<void(const PeerAddress& address)> on_state_request;
  /// A peer has sent its control state on this node's request.
  std::function<void(const std::string& state)> on_state;
};

/// Data plane of a node, on its own thread: accepts requests that originate on
/// this machine, serves calls for the backend server of this machine, and
/// answers readiness probes. Control state is passed in as immutable snapshots.
/// Thread-safe.
class MeshNode {
 public:
  /// Binds all addresses; fails if one of them cannot be bound. `clock` must
  /// outlive the node.
  static Result<std::unique_ptr<MeshNode>> Create(const MeshSettings& settings,
                                                  const Clock& clock);
  ~MeshNode();
  MeshNode(const MeshNode&) = delete;
  MeshNode& operator=(const MeshNode&) = delete;

  void Start();
  void SetPolicy(std::shared_ptr<const TrafficPolicy> policy);
  void SetDirectory(std::shared_ptr<const Directory> directory,
                    const StorePosition& position);
  /// Sets what the metrics show of the store.
  void SetStoreStatus(const StoreStatus& status);
  void SetPeerHandlers(PeerHandlers handlers);
  /// Sends encoded control state to the node at `address`.
  void SendState(const PeerAddress& address, std::string state);
  /// `applied` runs on the traffic thread once the new state is in effect: no
  /// further call starts under the previous state.
  void SetBackend(LocalBackend backend, std::function<void()> applied = {});
  /// Starts a graceful shutdown. The node reports itself as not ready at once
  /// and ends when no request is in progress, or shortly before the grace
  /// period ends.
  void RequestStop();
  /// Waits until the traffic thread has ended.
  void Join();
  /// Counts and logs that a limit of another server of this process has closed
  /// or refused something.
  void RecordLimit(h1::LimitReport report);
  /// Calls `done` on the traffic thread with all metrics in the Prometheus text
  /// format.
  void CollectMetrics(std::function<void(std::string text)> done);

 private:
  class Impl;
  explicit MeshNode(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl;
};

}  // namespace cassiakeel::mesh
