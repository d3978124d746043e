#pragma once

#include <memory>

#include "call.h"
#include "cassiakeel/base/clock.h"
#include "cassiakeel/once/deduplicator.h"
#include "cassiakeel/routing/retry.h"
#include "endpoint_pools.h"
#include "metrics.h"
#include "serving_endpoint.h"
#include "traffic_thread.h"

namespace cassiakeel::node {

/// Components of the node that a forwarded call uses. All outlive the call.
struct ForwardEnvironment {
  const Clock& clock;
  NodeId self;
  EndpointPools& pools;
  ServingEndpoint& serving;
  Metrics& metrics;
  /// Null while shard owners are not known; non-idempotent calls are then sent
  /// to any endpoint.
  std::atomic<once::Deduplicator*>& deduplicator;
  /// Queries a node over another connection whether an attempt ran. The outcome
  /// is `kUnknown` if the node does not respond. Calls back on any thread.
  std::function<
      void(const NodeId&, const AttemptId&, std::function<void(Outcome)>)>
      query_attempt;
};

/// Sends a call to endpoints of its service, on this node or on others, with
/// retries and hedging. `on_end` is called on `thread` at most once, and not
/// later than shortly after the deadline.
CancelCall Forward(const ForwardEnvironment& environment,
                   TrafficThread& thread,
                   Call call,
                   std::shared_ptr<const StreamSink> sink,
                   CallCallback on_end);

}  // namespace cassiakeel::node
