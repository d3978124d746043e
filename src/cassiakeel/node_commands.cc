#include <algorithm>

#include <fmt/format.h>

#include "output.h"

namespace cassiakeel::cli {
namespace {

using std::chrono::milliseconds;

constexpr const char* kClearScreen = "\x1b[H\x1b[2J";

Option NodeOption() {
  return {"node", "HOST:PORT", "address of a node", "", true};
}

Option NodeTimeoutOption() {
  return {"node-timeout-ms", "MS", "timeout of the request to one node",
          "2000"};
}

std::vector<NodeStatus> FetchStatuses(const Arguments& arguments,
                                      Context& context) {
  return context.fetch_node_statuses(
      NodeAddresses(arguments),
      milliseconds(arguments.Number("node-timeout-ms", 1, 60'000)));
}

nlohmann::json EndpointsToJson(const NodeStatus& node) {
  auto list = nlohmann::json::array();
  for (const auto& endpoint : node.endpoints) {
    list.push_back({{"service", endpoint.service},
                    {"slots", endpoint.slots},
                    {"in_flight", endpoint.in_flight},
                    {"limit", endpoint.limit},
                    {"queued", endpoint.queued},
                    {"leaving", endpoint.leaving}});
  }
  return list;
}

nlohmann::json StatusToJson(const std::vector<NodeStatus>& nodes) {
  auto known = nlohmann::json::array();
  auto unknown = nlohmann::json::array();
  for (const auto& node : nodes) {
    if (!node.has_status()) {
      unknown.push_back(
          {{"address", node.address.Value()}, {"error", node.error}});
      continue;
    }
    known.push_back({{"address", node.address.Value()},
                     {"node", node.node},
                     {"zone", node.zone},
                     {"region", node.region},
                     {"incarnation", node.incarnation},
                     {"policy_version", node.policy_version},
                     {"policy_digest", node.policy_digest},
                     {"members", node.members},
                     {"endpoints", EndpointsToJson(node)}});
  }
  auto versions = nlohmann::json::array();
  for (const auto& [policy, count] : CountVersions(nodes)) {
    versions.push_back({{"version", policy.first},
                        {"digest", policy.second},
                        {"nodes", count}});
  }
  return {{"nodes", known}, {"unknown", unknown}, {"versions", versions}};
}

std::vector<std::vector<std::string>> StatusRows(
    const std::vector<NodeStatus>& nodes) {
  std::vector<std::vector<std::string>> rows = {
      {"NODE", "ADDRESS", "ZONE", "REGION", "VERSION", "MEMBERS", "SERVICE",
       "SLOTS", "IN FLIGHT", "LIMIT", "QUEUED", "LEAVING"}};
  for (const auto& node : nodes) {
    if (!node.has_status()) {
      continue;
    }
    const std::vector<std::string> start = {node.node,
                                            node.address.Value(),
                                            node.zone,
                                            node.region,
                                            std::to_string(node.policy_version),
                                            std::to_string(node.members)};
    if (node.endpoints.empty()) {
      rows.push_back(start);
    }
    for (const auto& endpoint : node.endpoints) {
      auto row = start;
      row.insert(
          row.end(),
          {endpoint.service, std::to_string(endpoint.slots),
           std::to_string(endpoint.in_flight), std::to_string(endpoint.limit),
           std::to_string(endpoint.queued), endpoint.leaving ? "yes" : "no"});
      rows.push_back(row);
    }
  }
  return rows;
}

void PrintSummary(const std::vector<NodeStatus>& nodes, std::ostream& out) {
  for (const auto& [policy, count] : CountVersions(nodes)) {
    if (policy.first == 0) {
      out << fmt::format("no policy: {} of {} nodes\n", count, nodes.size());
    } else {
      out << fmt::format("version {}: {} of {} nodes, sheet {}\n", policy.first,
                         count, nodes.size(), Printable(policy.second));
    }
  }
  for (const auto& node : nodes) {
    if (!node.has_status()) {
      out << fmt::format("unknown: {}: {}\n", node.address.Value(),
                         Printable(node.error));
    }
  }
}

bool AllHaveStatus(const std::vector<NodeStatus>& nodes) {
  return std::all_of(nodes.begin(), nodes.end(),
                     [](const auto& node) { return node.has_status(); });
}

void PrintStatus(const std::vector<NodeStatus>& nodes,
                 const Arguments& arguments,
                 Context& context) {
  if (arguments.Has("json")) {
    context.out << ToJsonLine(StatusToJson(nodes));
    return;
  }
  const auto rows = StatusRows(nodes);
  if (rows.size() > 1) {
    PrintTable(rows, context.out);
  }
  PrintSummary(nodes, context.out);
}

int Status(const Arguments& arguments, Context& context) {
  const auto nodes = FetchStatuses(arguments, context);
  PrintStatus(nodes, arguments, context);
  return AllHaveStatus(nodes) ? kOk : kFailed;
}

int Top(const Arguments& arguments, Context& context) {
  const auto count = arguments.Number("count", 1, 10'000);
  const auto interval =
      milliseconds(arguments.Number("interval-ms", 100, 60'000));
  bool all_have_status = false;
  for (std::int64_t i = 0; i < count; ++i) {
    if (i > 0) {
      context.sleep(interval);
    }
    const auto nodes = FetchStatuses(arguments, context);
    if (context.terminal && !arguments.Has("json")) {
      context.out << kClearScreen;
    }
    PrintStatus(nodes, arguments, context);
    context.out.flush();
    all_have_status = AllHaveStatus(nodes);
  }
  return all_have_status ? kOk : kFailed;
}

bool AllRunVersion(const std::vector<NodeStatus>& nodes,
                   std::uint64_t version) {
  return std::all_of(nodes.begin(), nodes.end(), [&](const auto& node) {
    return node.has_status() && node.policy_version >= version;
  });
}

int Wait(const Arguments& arguments, Context& context) {
  const auto version =
      static_cast<std::uint64_t>(arguments.Number("VERSION", 1, INT64_MAX));
  const auto deadline =
      context.clock.Now() +
      std::chrono::seconds(arguments.Number("wait-seconds", 0, 3600));
  const auto interval =
      milliseconds(arguments.Number("interval-ms", 100, 60'000));
  auto nodes = FetchStatuses(arguments, context);
  while (!AllRunVersion(nodes, version) &&
         context.clock.Now() + interval <= deadline) {
    context.sleep(interval);
    nodes = FetchStatuses(arguments, context);
  }
  const bool in_force = AllRunVersion(nodes, version);
  if (arguments.Has("json")) {
    auto object = StatusToJson(nodes);
    object["in_force_everywhere"] = in_force;
    context.out << ToJsonLine(object);
  } else {
    PrintSummary(nodes, context.out);
    context.out << fmt::format(
        "version {} is {}in force on all queried nodes\n", version,
        in_force ? "" : "not yet ");
  }
  return in_force ? kOk : kFailed;
}

}  // namespace

std::vector<Option> NodeOptions() {
  return {NodeOption(), NodeTimeoutOption()};
}

std::vector<PeerAddress> NodeAddresses(const Arguments& arguments) {
  std::vector<PeerAddress> addresses;
  for (const auto& address : arguments.All("node")) {
    addresses.emplace_back(address);
  }
  if (addresses.empty()) {
    // Throws an error that names the flag and its environment variable.
    arguments.Text("node");
  }
  return addresses;
}

std::vector<Command> NodeCommands() {
  const Option interval = {"interval-ms", "MS", "interval between two polls",
                           "1000"};
  return {
      {"sheet wait",
       "Wait until all given nodes run a policy version or a later one",
       {"VERSION"},
       {NodeOption(),
        NodeTimeoutOption(),
        interval,
        {"wait-seconds", "SECONDS", "give up after this time", "60"},
        JsonOption()},
       Wait},
      {"status",
       "Show load and policy version of nodes; fails if a node reports no "
       "status",
       {},
       {NodeOption(), NodeTimeoutOption(), JsonOption()},
       Status},
      {"top",
       "Show the status of nodes repeatedly",
       {},
       {NodeOption(),
        NodeTimeoutOption(),
        interval,
        {"count", "COUNT", "number of polls", "10"},
        JsonOption()},
       Top},
  };
}

}  // namespace cassiakeel::cli
