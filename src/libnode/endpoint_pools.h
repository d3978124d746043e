#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "cassiakeel/control/blackboard.h"
#include "cassiakeel/routing/selection.h"

namespace cassiakeel::node {

/// Endpoint that an attempt is sent to.
struct Target {
  NodeId node;
  PeerAddress address;
};

/// Either a target, or the reason why there is none.
struct TargetChoice {
  std::optional<Target> target;
  Reason reason = Reason::kNone;
};

/// Endpoint pools of all services that this node calls, with their statistics
/// and endpoint selection. Shared by the traffic threads. A pool is updated on
/// use if the member list on the blackboard has changed.
class EndpointPools {
 public:
  EndpointPools(NodeId self,
                std::map<ZoneName, std::chrono::microseconds> distance,
                const control::Blackboard& blackboard);

  TargetChoice Select(const ServiceName& service,
                      const routing::SelectionRequest& request,
                      SteadyTime now,
                      Rng& rng);
  /// Target for a given node of the service, for non-idempotent calls that only
  /// the owner of the key's shard may run.
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

  /// Whether the peer's retry tokens, the budget and the result of the last
  /// attempt allow another one. If so, takes the retry from the budget and,
  /// where needed, a token.
  bool TakeRetry(const ServiceName& service,
                 const NodeId& node,
                 const routing::AttemptResult& result,
                 routing::RetryBudget& budget);
  /// The same for a hedge of an attempt that still runs at `node`. Hedges take
  /// tokens too, so that hedges to a slow service are limited to the same share
  /// of successes as retries.
  bool TakeHedge(const ServiceName& service,
                 const NodeId& node,
                 routing::RetryBudget& budget);
  /// Delay after which a hedge may be sent, or empty for no hedge.
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

  /// Entry of `service`, updated to the current member list. Requires `mutex`
  /// to be held.
  Entry& RefreshedEntry(const ServiceName& service);

  const NodeId self;
  const std::map<ZoneName, std::chrono::nanoseconds> distance;
  const control::Blackboard& blackboard;
  std::mutex mutex;
  std::map<ServiceName, Entry> entries;
};

}  // namespace cassiakeel::node
