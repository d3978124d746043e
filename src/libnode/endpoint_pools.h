#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "cassiakeel/control/published_state.h"
#include "cassiakeel/routing/selection.h"

namespace cassiakeel::node {

/// Endpoint to send an attempt to.
struct Target {
  NodeId node;
  PeerAddress address;
};

struct TargetChoice {
  std::optional<Target> target;
  Reason reason = Reason::kNone;
};

/// Statistics and choice of the endpoints of all services that this node
/// calls, shared by the traffic threads. The member list is read from the
/// blackboard; a pool follows it when it has changed.
class EndpointPools {
 public:
  EndpointPools(NodeId self,
                std::map<ZoneName, std::chrono::microseconds> distance,
                const control::PublishedState& blackboard);

  TargetChoice Select(const ServiceName& service,
                      const routing::SelectionRequest& request,
                      SteadyTime now,
                      Rng& rng);
  /// Address of a given node of the service, for work that only this node may
  /// run.
  TargetChoice Find(const ServiceName& service, const NodeId& node);

  void OnDispatch(const ServiceName& service,
                  const NodeId& node,
                  SteadyTime now);
  void OnAnswer(const ServiceName& service,
                const NodeId& node,
                const routing::ResponseInfo& answer,
                SteadyTime now);
  void OnFailure(const ServiceName& service,
                 const NodeId& node,
                 Reason reason,
                 SteadyTime now);

  /// Whether the peer's retry tokens, the budget and the result allow another
  /// attempt; takes the token, where one is needed, and the retry if so.
  bool TakeRetry(const ServiceName& service,
                 const NodeId& node,
                 const routing::AttemptResult& result,
                 routing::RetryBudget& budget);
  /// The same for a second attempt beside one that still runs at `node`, so
  /// that hedges of a slow service stay within the same share of successes.
  bool TakeHedge(const ServiceName& service,
                 const NodeId& node,
                 routing::RetryBudget& budget);
  std::optional<std::chrono::nanoseconds> HedgeAfter(
      const ServiceName& service,
      WorkLength length,
      bool idempotent,
      std::chrono::nanoseconds time_left,
      const routing::RetryBudget& budget);

 private:
  struct Entry {
    routing::Pool pool;
    std::shared_ptr<const membership::MembersView> view;
  };

  /// Needs the lock.
  Entry& Fresh(const ServiceName& service);

  const NodeId self;
  const std::map<ZoneName, std::chrono::nanoseconds> distance;
  const control::PublishedState& blackboard;
  std::mutex mutex;
  std::map<ServiceName, Entry> entries;
};

}  // namespace cassiakeel::node
