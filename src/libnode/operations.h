#pragma once

#include <mutex>
#include <optional>
#include <string>

#include "cassiakeel/control/blackboard.h"
#include "cassiakeel/telemetry/burn.h"
#include "metrics.h"
#include "serving_endpoint.h"

namespace cassiakeel::node {

/// HTTP response of an operation of the node itself.
struct OperationResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

/// Burn rates of service level objectives. Shared by the traffic threads;
/// thread-safe.
class SharedBurnCollector {
 public:
  void Record(const telemetry::CallRecord& record, SteadyTime now);
  std::vector<telemetry::BurnSummary> Summaries(SteadyTime now) const;

 private:
  mutable std::mutex mutex;
  telemetry::BurnCollector collector;
};

/// Components that the operations report on.
struct OperationSources {
  const Clock& clock;
  NodeId node;
  const control::Blackboard& blackboard;
  ServingEndpoint& serving;
  Metrics& metrics;
  SharedBurnCollector& burn;
};

/// Handles GET requests for status, nodes, burn, metrics and attempts.
/// `operation` is the path after /cassiakeel/v1/.
OperationResponse HandleOperation(const OperationSources& sources,
                                  const std::string& operation);

}  // namespace cassiakeel::node
