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

/// Runs the maintenance of the deduplicator, which blocks on the platform, on a
/// thread of its own. The deduplicator exists from the first registration of
/// the backend server on, as soon as the node has its incarnation.
class OnceThread {
 public:
  OnceThread(const NodeSettings& settings,
             const Clock& clock,
             platform::Table& table,
             platform::ObjectStore& objects,
             const control::PublishedState& blackboard,
             control::ControlThread& control,
             ServingEndpoint& serving,
             std::atomic<once::Deduplicator*>& published);
  ~OnceThread();

  /// The backend server registered with this service. Later calls with another
  /// service are ignored: a node serves one service for its whole life.
  void SetService(const ServiceName& service);
  /// Begins to hand the key shards over.
  void Leave();
  /// True if nothing is left to hand over.
  bool HasLeft() const;
  void Stop();

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
  const control::PublishedState& blackboard;
  control::ControlThread& control;
  ServingEndpoint& serving;
  std::atomic<once::Deduplicator*>& published;

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
