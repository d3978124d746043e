#include <nlohmann/json.hpp>

#include "cassiakeel/telemetry/burn.h"

namespace cassiakeel::telemetry {
namespace {

using nlohmann::json;

json ToJson(const CallCount& count) {
  return json::array({count.total, count.bad});
}

CallCount ParseCount(const json& value) {
  return {value.at(0).get<std::uint64_t>(), value.at(1).get<std::uint64_t>()};
}

json ToJson(const BurnSummary& summary) {
  json value = {{"service", summary.service.Value()},
                {"class", std::string(RequestClassName(summary.request_class))},
                {"objective_percent", summary.objective_percent},
                {"objective_latency_ms", summary.objective_latency.count()},
                {"retries", summary.retries},
                {"outcomes", summary.outcomes},
                {"refusals", summary.refusals}};
  value["windows"] = json::array();
  for (std::size_t i = 0; i < kBurnWindows.size(); ++i) {
    value["windows"].push_back({{"minutes", kBurnWindows[i].count()},
                                {"total", summary.windows[i].total},
                                {"bad", summary.windows[i].bad}});
  }
  value["series"] = json::array();
  for (const auto& count : summary.series) {
    value["series"].push_back(ToJson(count));
  }
  value["causes"] = json::array();
  for (const auto& cause : summary.causes) {
    value["causes"].push_back(
        {{"step", cause.step},
         {"peer", cause.peer.Value()},
         {"reason", std::string(ReasonName(cause.reason))},
         {"count", cause.count}});
  }
  return value;
}

BurnSummary ParseSummary(const json& value) {
  BurnSummary summary;
  summary.service = ServiceName(value.at("service").get<std::string>());
  summary.request_class =
      ParseRequestClass(value.at("class").get<std::string>())
          .value_or(RequestClass::kBackground);
  summary.objective_percent = value.at("objective_percent").get<double>();
  summary.objective_latency =
      std::chrono::milliseconds(value.at("objective_latency_ms").get<int>());
  summary.retries = value.at("retries").get<std::uint64_t>();
  value.at("outcomes").get_to(summary.outcomes);
  value.at("refusals").get_to(summary.refusals);
  for (std::size_t i = 0; i < kBurnWindows.size(); ++i) {
    const json& window = value.at("windows").at(i);
    summary.windows[i] = {window.at("total").get<std::uint64_t>(),
                          window.at("bad").get<std::uint64_t>()};
  }
  for (std::size_t i = 0; i < kSeriesMinutes; ++i) {
    summary.series[i] = ParseCount(value.at("series").at(i));
  }
  for (const json& cause : value.at("causes")) {
    summary.causes.push_back({cause.at("step").get<std::string>(),
                              PeerAddress(cause.at("peer").get<std::string>()),
                              ParseReason(cause.at("reason").get<std::string>())
                                  .value_or(Reason::kNone),
                              cause.at("count").get<std::uint64_t>()});
  }
  return summary;
}

}  // namespace

std::string FormatNodeBurn(const NodeBurn& burn) {
  json value = {{"node", burn.node.Value()},
                {"policy_version", burn.policy_version.Value()}};
  value["summaries"] = json::array();
  for (const auto& summary : burn.summaries) {
    value["summaries"].push_back(ToJson(summary));
  }
  return value.dump();
}

Result<NodeBurn> ParseNodeBurn(const std::string& text) {
  try {
    const json value = json::parse(text);
    NodeBurn burn;
    burn.node = NodeId(value.at("node").get<std::string>());
    burn.policy_version =
        PolicyVersion(value.at("policy_version").get<std::uint64_t>());
    for (const json& summary : value.at("summaries")) {
      burn.summaries.push_back(ParseSummary(summary));
    }
    return burn;
  } catch (const json::exception& error) {
    return Fail("read burn figures", error.what());
  }
}

}  // namespace cassiakeel::telemetry
