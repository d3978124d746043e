#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <chrono>
#include <memory>
#include <string>

#include "call.h"
#include "cassiakeel/telemetry/burn.h"

namespace cassiakeel::node {

/// Prometheus metrics of a node. Thread-safe.
class Metrics {
 public:
  Metrics();

  /// Counts a call from a caller and records its latency.
  void CountCall(const Call& call,
                 const CallResult& result,
                 std::chrono::nanoseconds latency);
  /// Counts a call that the backend server made without request context.
  void CountCallWithoutContext();
  /// Counts a retry or hedge sent by this node.
  void CountRetry(const ServiceName& service);
  /// Counts a request that was refused while it was parsed.
  void CountBadRequest(Reason reason);
  /// Sets the gauges for the load of this node's backend server.
  void SetLoad(const admission::Load& load);
  /// Sets a gauge without labels.
  void SetGauge(const std::string& name, const std::string& help, double value);

  /// Sets the burn rates of one service and class.
  void SetBurn(const telemetry::BurnSummary& summary);

  /// Returns all metrics in the Prometheus text format.
  std::string Serialize() const;

 private:
  std::shared_ptr<prometheus::Registry> registry;
  prometheus::Family<prometheus::Counter>& calls;
  prometheus::Family<prometheus::Histogram>& latency;
  prometheus::Family<prometheus::Counter>& retries;
  prometheus::Family<prometheus::Counter>& bad_requests;
  prometheus::Counter& without_context;
  prometheus::Gauge& in_flight;
  prometheus::Gauge& limit;
  prometheus::Gauge& queued;
};

}  // namespace cassiakeel::node
