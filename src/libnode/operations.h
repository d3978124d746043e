#pragma once

#include <mutex>
#include <optional>
#include <string>

#include "cassiakeel/control/published_state.h"
#include "cassiakeel/telemetry/burn.h"
#include "metrics.h"
#include "serving_endpoint.h"

namespace cassiakeel::node {

/// Answer of an operation of the node itself.
struct OperationAnswer {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

/// Service-level figures shared by the traffic threads.
class BurnBoard {
 public:
  void Record(const telemetry::CallRecord& record, SteadyTime now);
  std::vector<telemetry::BurnSummary> Summaries(SteadyTime now) const;

 private:
  mutable std::mutex mutex;
  telemetry::BurnCollector collector;
};

/// What the operations report on.
struct OperationSources {
  const Clock& clock;
  NodeId node;
  const control::PublishedState& blackboard;
  ServingEndpoint& serving;
  Metrics& metrics;
  BurnBoard& burn;
};

/// Answers GET requests for status, nodes, burn, metrics and attempts.
/// `operation` is the part of the path after /cassiakeel/v1/.
OperationAnswer AnswerOperation(const OperationSources& sources,
                                const std::string& operation);

}  // namespace cassiakeel::node
