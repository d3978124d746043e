#pragma once

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

#include "cassiakeel/control/control_thread.h"
#include "cassiakeel/node/settings.h"
#include "cassiakeel/once/deduplicator.h"
#include "serving_endpoint.h"

namespace cassiakeel::node {

/// Runs the maintenance of the deduplicator on a separate thread, because it
/// blocks on the platform. The deduplicator is created once the backend server
/// has registered and the node has its incarnation.
class DeduplicatorThread {
 public:
  DeduplicatorThread(const NodeSettings& settings,
                     const Clock& clock,
                     platform::Table& table,
                     platform::ObjectStore& objects,
                     const control::Blackboard& blackboard,
                     control::ControlThread& control,
                     ServingEndpoint& serving,
                     std::atomic<once::Deduplicator*>& published_deduplicator);
  ~DeduplicatorThread();

  /// Sets the service of the backend server. Later calls with another service
  /// are ignored: a node serves one service until its process ends.
  void SetService(const ServiceName& service);
  /// Starts handing over the key shards.
  void Leave();
  /// Whether all key shards are handed over.
  bool HasLeft() const;
  void Stop();

  /// Answers a lease request of another node.
  control::LeaseGrant HandleGrant(const control::LeaseRequest& request);

 private:
  void Run();
  void CreateDeduplicator();
  once::DeduplicatorEnvironment MakeEnvironment();
  std::vector<once::ServiceNode> LiveNodes() const;
  std::optional<once::WallOffset> MeasuredOffset() const;
  bool RequestGrant(const once::GrantRequest& request);

  const NodeSettings& settings;
  const Clock& clock;
  platform::Table& table;
  platform::ObjectStore& objects;
  const control::Blackboard& blackboard;
  control::ControlThread& control;
  ServingEndpoint& serving;
  std::atomic<once::Deduplicator*>& published_deduplicator;

  mutable std::mutex mutex;
  std::condition_variable wake;
  bool stopping = false;
  bool leaving = false;
  ServiceName service;
  Incarnation incarnation;
  std::unique_ptr<once::Deduplicator> deduplicator;
  std::thread thread;
};

}  // namespace cassiakeel::node
