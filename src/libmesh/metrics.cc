#include "metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <limits>
#include <utility>
#include <vector>

namespace cassiakeel::mesh::pvt {
namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

// Bounds the size of the page; far more tenants than usual.
constexpr std::size_t kMaxTenantLabels = 100;

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

MetricFamily ZoneCounter(const std::map<ServiceName, ZoneCalls>& calls) {
  MetricFamily family{"cassiakeel_zone_calls_total",
                      "Calls sent within and out of the availability zone",
                      MetricType::Counter,
                      {}};
  for (const auto& [service, counts] : calls) {
    for (const auto& [zone, value] :
         {std::pair("own", counts.stayed), std::pair("other", counts.left)}) {
      ClientMetric metric;
      metric.label = {{"service", service.Value()}, {"zone", zone}};
      metric.counter.value = static_cast<double>(value);
      family.metric.push_back(metric);
    }
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

ClientMetric TenantMetric(const std::string& tenant, const char* outcome) {
  ClientMetric metric;
  metric.label = {{"tenant", tenant}, {"outcome", outcome}};
  return metric;
}

// Tenants beyond kMaxTenantLabels share the label "other".
void AddTenantFamilies(const AllotmentExchange& allotments,
                       std::vector<MetricFamily>& families) {
  std::map<std::string, AllotmentExchange::Count> counts;
  for (const auto& [name, count] : allotments.counts()) {
    auto& labelled =
        counts[counts.size() < kMaxTenantLabels || counts.contains(name.Value())
                   ? name.Value()
                   : "other"];
    labelled.admitted += count.admitted;
    labelled.refused += count.refused;
  }
  MetricFamily requests{"cassiakeel_tenant_requests_total",
                        "Requests of a tenant that began here",
                        MetricType::Counter,
                        {}};
  MetricFamily shares{"cassiakeel_tenant_share",
                      "Part of the tenant's allotment that this node enforces",
                      MetricType::Gauge,
                      {}};
  for (const auto& [tenant, count] : counts) {
    auto admitted = TenantMetric(tenant, "admitted");
    admitted.counter.value = static_cast<double>(count.admitted);
    auto refused = TenantMetric(tenant, "refused");
    refused.counter.value = static_cast<double>(count.refused);
    requests.metric.push_back(admitted);
    requests.metric.push_back(refused);
    const auto& held = allotments.node_shares().tenants;
    if (const auto found = held.find(TenantName(tenant)); found != held.end()) {
      ClientMetric share;
      share.label = {{"tenant", tenant}};
      share.gauge.value = found->second.share.fraction;
      shares.metric.push_back(share);
    }
  }
  families.push_back(std::move(requests));
  families.push_back(std::move(shares));
}

void AddStoreFamilies(const StoreStatus& store,
                      std::vector<MetricFamily>& families) {
  families.push_back(Gauge("cassiakeel_store_era",
                           "Era of the store, 0 if it names none",
                           static_cast<double>(store.era.Value())));
  families.push_back(Counter("cassiakeel_store_returns_total",
                             "Returns of the store from an older copy",
                             store.returns));
  families.push_back(
      Counter("cassiakeel_departures_rewritten_total",
              "Departures at other nodes written into the store again",
              store.departures_rewritten));
  if (store.rebuild_time) {
    const std::chrono::duration<double> seconds = *store.rebuild_time;
    families.push_back(
        Gauge("cassiakeel_store_rebuild_seconds",
              "Time until this node had recovered from the latest return",
              seconds.count()));
  }
}

}  // namespace

std::string FormatMetrics(const Statistics& statistics,
                          const Gauges& gauges,
                          const AllotmentExchange& allotments) {
  std::vector<MetricFamily> families = {
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
  AddStoreFamilies(gauges.store, families);
  if (!allotments.counts().empty()) {
    AddTenantFamilies(allotments, families);
  }
  if (!statistics.zone_calls.empty()) {
    families.push_back(ZoneCounter(statistics.zone_calls));
  }
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace cassiakeel::mesh::pvt
