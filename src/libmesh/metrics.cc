#include "metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <limits>
#include <vector>

namespace cassiakeel::mesh::pvt {
namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

MetricFamily Counter(const char* name, const char* help, std::uint64_t value) {
  ClientMetric metric;
  metric.counter.value = static_cast<double>(value);
  return {name, help, MetricType::Counter, {metric}};
}

MetricFamily Gauge(const char* name, const char* help, double value) {
  ClientMetric metric;
  metric.gauge.value = value;
  return {name, help, MetricType::Gauge, {metric}};
}

MetricFamily CounterByReason(
    const char* name,
    const char* help,
    const std::array<std::uint64_t, kReasonCount>& counts) {
  MetricFamily family{name, help, MetricType::Counter, {}};
  for (std::size_t i = 0; i < counts.size(); ++i) {
    if (counts[i] == 0) {
      continue;
    }
    ClientMetric metric;
    metric.label.push_back(
        {"reason", std::string(ReasonName(static_cast<Reason>(i)))});
    metric.counter.value = static_cast<double>(counts[i]);
    family.metric.push_back(metric);
  }
  return family;
}

MetricFamily Histogram(const char* name,
                       const char* help,
                       const LatencyBuckets& buckets) {
  ClientMetric metric;
  std::uint64_t count = 0;
  for (std::size_t i = 0; i < buckets.counts.size(); ++i) {
    count += buckets.counts[i];
    const double bound = i < LatencyBuckets::kBounds.size()
                             ? LatencyBuckets::kBounds[i]
                             : std::numeric_limits<double>::infinity();
    metric.histogram.bucket.push_back({count, bound});
  }
  metric.histogram.sample_count = count;
  metric.histogram.sample_sum = buckets.sum;
  return {name, help, MetricType::Histogram, {metric}};
}

}  // namespace

std::string FormatMetrics(const Statistics& statistics, const Gauges& gauges) {
  const std::vector<MetricFamily> families = {
      Counter("cassiakeel_requests_total",
              "Requests that originated on this machine", statistics.requests),
      Counter("cassiakeel_answered_total",
              "Requests answered with a backend server's response",
              statistics.answered),
      Counter("cassiakeel_caller_gone_total",
              "Requests whose caller disconnected before the response",
              statistics.caller_disconnects),
      Counter("cassiakeel_repeats_total", "Retries sent to a backend server",
              statistics.retries),
      Counter("cassiakeel_repeats_denied_total", "Retries denied by the quota",
              statistics.retries_denied),
      Counter("cassiakeel_reroutes_total",
              "Requests sent to another node after a refusal",
              statistics.reroutes),
      Counter("cassiakeel_served_total",
              "Calls forwarded to the backend server of this node",
              statistics.served),
      CounterByReason("cassiakeel_gate_refusals_total",
                      "Calls refused before they reached the backend server",
                      statistics.gate_refusals),
      CounterByReason("cassiakeel_failures_total",
                      "Requests that ended without a backend server's response",
                      statistics.failures),
      Histogram("cassiakeel_request_seconds",
                "Time from a request to its response",
                statistics.request_latency),
      Histogram("cassiakeel_service_seconds",
                "Time from the dispatch to the backend server to its response",
                statistics.service_time),
      Gauge("cassiakeel_policy_version", "Version of the policy in force",
            static_cast<double>(gauges.policy_version)),
      Gauge("cassiakeel_directory_entries", "Backend servers in the directory",
            static_cast<double>(gauges.directory_size)),
      Gauge("cassiakeel_gate_calls", "Calls queued or running at the gate",
            static_cast<double>(gauges.gate_calls)),
      Gauge("cassiakeel_gate_limit",
            "Maximum number of calls running at the same time",
            gauges.gate_limit),
      Counter("cassiakeel_log_lines_left_out_total",
              "Log lines dropped by the rate limit", gauges.log_lines_dropped),
  };
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace cassiakeel::mesh::pvt
