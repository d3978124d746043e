#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cassiakeel/base/clock.h"
#include "cassiakeel/base/error.h"
#include "cassiakeel/mesh/backend.h"
#include "cassiakeel/mesh/settings.h"
#include "cassiakeel/mesh/traffic_policy.h"

namespace cassiakeel::mesh {

/// What a node learns from others about control state. The handlers run on the
/// traffic thread.
struct PeerHandlers {
  /// Another node has newer versions.
  std::function<void(const StateVersions& peer)> on_news;
  /// The node at this address asks for state.
  std::function<void(const PeerAddress& address)> on_state_wanted;
  /// Another node has sent its state, because this one asked.
  std::function<void(const std::string& state)> on_state;
};

/// The traffic side of a node on a thread of its own: takes requests of this
/// machine, serves calls for the backend server beside it, and answers
/// questions on readiness. All members may be called from any thread; state
/// comes in as snapshots.
class MeshNode {
 public:
  /// Binds all addresses. Fails if one cannot be bound. `clock` outlives the
  /// node.
  static Result<std::unique_ptr<MeshNode>> Create(const MeshSettings& settings,
                                                  const Clock& clock);
  ~MeshNode();
  MeshNode(const MeshNode&) = delete;
  MeshNode& operator=(const MeshNode&) = delete;

  void Start();
  void SetPolicy(std::shared_ptr<const TrafficPolicy> policy);
  void SetDirectory(std::shared_ptr<const Directory> directory,
                    std::uint64_t version);
  void SetPeerHandlers(PeerHandlers handlers);
  /// Hands control state, as text, to the node at `address`.
  void SendState(const PeerAddress& address, std::string state);
  /// `applied` runs on the traffic thread once no new work of before can start.
  void SetBackend(LocalBackend backend, std::function<void()> applied = {});
  /// Leaves without cutting off a request: not ready from now on, ends when
  /// nothing is in progress or shortly before the grace time is over.
  void RequestStop();
  /// Waits for the end of the traffic thread.
  void Join();
  /// Counters and histograms in the text format of Prometheus. Waits for the
  /// traffic thread.
  void CollectMetrics(std::function<void(std::string text)> done);

 private:
  class Impl;
  explicit MeshNode(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl;
};

}  // namespace cassiakeel::mesh
