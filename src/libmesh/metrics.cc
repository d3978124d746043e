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

// One counter for each value of `Label` that has occurred.
template <typename Label, std::size_t kCount>
MetricFamily CounterByLabel(const char* name,
                            const char* help,
                            const char* label,
                            std::string_view (*label_name)(Label),
                            const std::array<std::uint64_t, kCount>& counts) {
  MetricFamily family{name, help, MetricType::Counter, {}};
  for (std::size_t i = 0; i < counts.size(); ++i) {
    if (counts[i] == 0) {
      continue;
    }
    ClientMetric metric;
    metric.label.push_back(
        {label, std::string(label_name(static_cast<Label>(i)))});
    metric.counter.value = static_cast<double>(counts[i]);
    family.metric.push_back(metric);
  }
  return family;
}

MetricFamily CounterByReason(
    const char* name,
    const char* help,
    const std::array<std::uint64_t, kReasonCount>& counts) {
  return CounterByLabel(name, help, "reason", &ReasonName, counts);
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
      Counter("cassiakeel_requests_total", "Requests that began here",
              statistics.requests),
      Counter("cassiakeel_answered_total",
              "Requests answered with a response of a backend server",
              statistics.answered),
      Counter("cassiakeel_caller_gone_total",
              "Requests whose caller left before the answer",
              statistics.caller_disconnects),
      Counter("cassiakeel_repeats_total",
              "Requests handed to one more backend server", statistics.retries),
      Counter("cassiakeel_repeats_denied_total",
              "Repeats that the quota did not allow",
              statistics.retries_denied),
      Counter("cassiakeel_reroutes_total",
              "Requests sent to another node after a refusal",
              statistics.reroutes),
      Counter("cassiakeel_served_total",
              "Calls handed to the backend server of this node",
              statistics.served),
      CounterByReason("cassiakeel_gate_refusals_total",
                      "Calls kept away from the backend server of this node",
                      statistics.gate_refusals),
      CounterByReason("cassiakeel_failures_total",
                      "Requests that ended without a backend server's response",
                      statistics.failures),
      CounterByLabel("cassiakeel_server_limits_total",
                     "Connections closed and requests refused by a limit",
                     "limit", &h1::ServerLimitName, statistics.server_limits),
      Histogram("cassiakeel_request_seconds",
                "Time from a request to its answer",
                statistics.request_latency),
      Histogram("cassiakeel_service_seconds",
                "Time from the dispatch to the backend server to its response",
                statistics.service_time),
      Gauge("cassiakeel_policy_version", "Version of the policy in force",
            static_cast<double>(gauges.policy_version)),
      Gauge("cassiakeel_directory_entries", "Backend servers known",
            static_cast<double>(gauges.directory_size)),
      Gauge("cassiakeel_gate_calls", "Calls queued and running at the gate",
            static_cast<double>(gauges.gate_calls)),
      Gauge("cassiakeel_gate_limit", "Calls that may run at the same time",
            gauges.gate_limit),
      Gauge("cassiakeel_server_memory_bytes",
            "Bytes held for clients and other nodes",
            static_cast<double>(gauges.server_memory)),
      Counter("cassiakeel_log_lines_left_out_total",
              "Log lines left out to bound their volume",
              gauges.log_lines_dropped),
  };
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace cassiakeel::mesh::pvt
