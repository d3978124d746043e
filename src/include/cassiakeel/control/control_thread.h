#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "cassiakeel/base/clock.h"
#include "cassiakeel/base/error.h"
#include "cassiakeel/base/outcome.h"
#include "cassiakeel/control/blackboard.h"
#include "cassiakeel/control/job_queue.h"
#include "cassiakeel/membership/state.h"
#include "cassiakeel/platform/platform.h"

namespace cassiakeel::control {

/// Asks a peer to promise not to expire the lease `term` of `holder` for the
/// fixed duration of a lease.
struct LeaseRequest {
  NodeId holder;
  Incarnation incarnation;
  /// Incarnation of the process that is asked. A successor of it on the
  /// same address must refuse.
  Incarnation grantor_incarnation;
  /// Id of the holder's lease.
  std::string term;
};

/// Answer to a `LeaseRequest`. The promise lasts from the time at which the
/// holder sent the request.
struct LeaseGrant {
  bool granted = false;
};

/// Verifies a policy head row and the sheet that it refers to, and returns the
/// policy. Must reject a version that is not higher than `current`.
using PolicyCheck = std::function<Result<std::shared_ptr<const policy::Policy>>(
    PolicyVersion current,
    const std::string& head_json,
    const std::string& sheet_bytes)>;

/// Answers a peer's lease request. Runs on the control thread; must not block.
using LeaseGrantHandler = std::function<LeaseGrant(const LeaseRequest&)>;
/// Answers a peer's query whether an attempt ran. Runs on the control thread.
using AttemptStateHandler = std::function<Outcome(const AttemptId&)>;

/// Periods and timeouts of the control thread. The defaults are those
/// of the design document.
struct ControlTimings {
  std::chrono::milliseconds policy_poll_period{10000};
  std::chrono::milliseconds member_read_period{60000};
  std::chrono::milliseconds rpc_timeout{2000};
  /// How long to wait for the store to assign the incarnation at startup.
  std::chrono::milliseconds incarnation_wait{5000};
  /// How long to wait after startup before an incarnation is derived from the
  /// wall clock; the reason is stated at `StartWithoutStore`.
  std::chrono::milliseconds clock_incarnation_wait{3000};
  std::chrono::milliseconds base_retry_delay{1000};
  std::chrono::milliseconds max_retry_delay{60000};
};

struct ControlOptions {
  NodeId node;
  ZoneName zone;
  RegionName region;
  /// Numeric addresses to bind. Port 0 selects any free port.
  PeerAddress gossip;
  PeerAddress rpc;
  /// Address of the traffic port, as advertised to peers.
  PeerAddress traffic;
  std::vector<PeerAddress> seeds;
  PolicyCheck check_policy;
  LeaseGrantHandler grant_lease;
  AttemptStateHandler attempt_state;
  std::uint64_t random_seed = 0;
  ControlTimings timings;
  membership::Timings membership_timings;
};

/// Runs the membership protocol, policy propagation and control calls of one
/// node on a dedicated thread, with a second thread for the blocking platform
/// calls. All methods may be called from any thread. Only `Create` and `Stop`
/// block.
class ControlThread {
 public:
  /// Binds the addresses and starts the threads. The references must outlive
  /// the object, and only this object may write to `blackboard`. Fails if an
  /// address is invalid or in use.
  static Result<std::unique_ptr<ControlThread>> Create(
      ControlOptions options,
      platform::Table& table,
      platform::ObjectStore& store,
      const Clock& clock,
      Blackboard& blackboard);
  ~ControlThread();
  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;

  /// Bound addresses, with the actual ports.
  const PeerAddress& gossip_address() const;
  const PeerAddress& rpc_address() const;

  /// Call when the backend server has registered or changed its slots.
  void SetService(const ServiceName& service, Slots slots);
  /// Announces that this node accepts no new work from now on.
  void SetLeaving();
  /// Announces to peers that this node has left, removes its row from the store
  /// and joins both threads. Platform jobs that have not started are dropped,
  /// so any other write to the store must complete before this call.
  void Stop();

  /// Control calls to a peer. `done` runs exactly once: on the control thread
  /// or, with an error, on the thread that stops it.
  void RequestLeaseGrant(const PeerAddress& peer,
                         const LeaseRequest& request,
                         std::function<void(Result<LeaseGrant>)> done);
  void QueryAttemptState(const PeerAddress& peer,
                         const AttemptId& attempt,
                         std::function<void(Result<Outcome>)> done);

  /// Runs `job` on the control thread, so that it can access state which that
  /// thread owns.
  void Post(std::function<void()> job);
  /// Runs `job` on the platform thread. Returns false if its queue is full.
  bool PostPlatform(std::function<void()> job);

 private:
  struct Impl;
  explicit ControlThread(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl;
};

}  // namespace cassiakeel::control
