#include "operations.h"

#include <nlohmann/json.hpp>

namespace cassiakeel::node {
namespace {

using nlohmann::json;

OperationResponse JsonResponse(const json& body) {
  return {200, "application/json", body.dump() + "\n"};
}

OperationResponse NotFound(const std::string& message) {
  return {404, "application/json", json{{"error", message}}.dump() + "\n"};
}

json EndpointsJson(const OperationSources& sources) {
  json endpoints = json::array();
  const auto backend = sources.serving.Backend();
  if (backend) {
    const auto load = sources.serving.CurrentLoad();
    endpoints.push_back({{"service", backend->service.Value()},
                         {"slots", backend->slots.Value()},
                         {"in_flight", load.in_flight},
                         {"limit", load.limit},
                         {"queued", load.queued},
                         {"leaving", load.leaving}});
  }
  return endpoints;
}

OperationResponse StatusResponse(const OperationSources& sources) {
  const auto view = sources.blackboard.members.Read();
  const auto policy = sources.blackboard.policy.Read();
  json body = {{"node", sources.node.Value()},
               {"policy_version", policy ? policy->version.Value() : 0},
               {"policy_digest", policy ? policy->digest : ""},
               {"members", view ? view->members.size() : 0},
               {"endpoints", EndpointsJson(sources)}};
  if (view) {
    body["zone"] = view->self.zone.Value();
    body["region"] = view->self.region.Value();
    body["incarnation"] = view->self.incarnation.Value();
  }
  return JsonResponse(body);
}

OperationResponse NodesResponse(const OperationSources& sources) {
  json nodes = json::array();
  if (const auto view = sources.blackboard.members.Read()) {
    for (const auto& member : view->members) {
      nodes.push_back(
          {{"node", member.node.Value()},
           {"address", member.traffic.Value()},
           {"zone", member.zone.Value()},
           {"region", member.region.Value()},
           {"service", member.service.Value()},
           {"status", std::string(membership::MemberStatusName(member.status))},
           {"policy_version", member.policy_version.Value()}});
    }
  }
  return JsonResponse({{"nodes", nodes}});
}

OperationResponse BurnResponse(const OperationSources& sources) {
  telemetry::NodeBurn burn;
  burn.node = sources.node;
  if (const auto policy = sources.blackboard.policy.Read()) {
    burn.policy_version = policy->version;
  }
  burn.summaries = sources.burn.Summaries(sources.clock.Now());
  return {200, "application/json", telemetry::FormatNodeBurn(burn) + "\n"};
}

OperationResponse AttemptResponse(const OperationSources& sources,
                                  const std::string& attempt) {
  const Outcome outcome = sources.serving.ResolveAttempt(AttemptId(attempt));
  return JsonResponse(
      {{"attempt", attempt}, {"outcome", std::string(OutcomeName(outcome))}});
}

void SetControlGauges(const control::ControlStats& stats, Metrics& metrics) {
  const auto set = [&metrics](const char* name, const char* help, auto value) {
    metrics.SetGauge(name, help, static_cast<double>(value));
  };
  set("cassiakeel_control_bytes_sent",
      "Bytes of gossip and control calls sent since start",
      stats.membership.bytes_sent + stats.rpc_bytes_sent);
  set("cassiakeel_control_bytes_received",
      "Bytes of gossip and control calls received since start",
      stats.membership.bytes_received + stats.rpc_bytes_received);
  set("cassiakeel_control_malformed_datagrams",
      "Datagrams refused as malformed since start",
      stats.membership.malformed_datagrams);
  set("cassiakeel_control_policies_refused",
      "Fetched policies that failed the check since start",
      stats.policies_refused);
  set("cassiakeel_control_store_failures",
      "Failed platform calls of the control thread since start",
      stats.store_failures);
  set("cassiakeel_control_cpu_seconds",
      "Processor time of the control thread since start",
      std::chrono::duration<double>(stats.processor_time).count());
}

OperationResponse MetricsResponse(const OperationSources& sources) {
  const auto view = sources.blackboard.members.Read();
  const auto policy = sources.blackboard.policy.Read();
  sources.metrics.SetLoad(sources.serving.CurrentLoad());
  sources.metrics.SetGauge(
      "cassiakeel_members", "Members known to this node",
      view ? static_cast<double>(view->members.size()) : 0.0);
  sources.metrics.SetGauge(
      "cassiakeel_policy_version", "Version of the policy in force",
      policy ? static_cast<double>(policy->version.Value()) : 0.0);
  if (const auto stats = sources.blackboard.stats.Read()) {
    SetControlGauges(*stats, sources.metrics);
  }
  for (const auto& summary : sources.burn.Summaries(sources.clock.Now())) {
    sources.metrics.SetBurn(summary);
  }
  return {200, "text/plain; version=0.0.4", sources.metrics.Serialize()};
}

}  // namespace

void SharedBurnCollector::Record(const telemetry::CallRecord& record,
                                 SteadyTime now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->collector.Record(record, now);
}

std::vector<telemetry::BurnSummary> SharedBurnCollector::Summaries(
    SteadyTime now) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->collector.Summaries(now);
}

OperationResponse HandleOperation(const OperationSources& sources,
                                  const std::string& operation) {
  constexpr std::string_view kAttempts = "attempts/";
  if (operation == "status") {
    return StatusResponse(sources);
  }
  if (operation == "nodes") {
    return NodesResponse(sources);
  }
  if (operation == "burn") {
    return BurnResponse(sources);
  }
  if (operation == "metrics") {
    return MetricsResponse(sources);
  }
  if (operation.starts_with(kAttempts) && operation.size() > kAttempts.size()) {
    return AttemptResponse(sources, operation.substr(kAttempts.size()));
  }
  return NotFound("no operation \"" + operation + "\"");
}

}  // namespace cassiakeel::node
