#include "cassiakeel/node/settings.h"

#include <algorithm>
#include <array>
#include <boost/program_options.hpp>
#include <charconv>
#include <sstream>

#include "cassiakeel/http/server.h"

namespace cassiakeel::node {
namespace {

namespace po = boost::program_options;
using Strings = std::vector<std::string>;

constexpr int kMaxTrafficThreads = 16;
constexpr std::string_view kEnvironmentPrefix = "CASSIAKEEL_";

struct RawSettings {
  std::string node_id;
  std::string listen;
  std::string local;
  std::string gossip;
  std::string rpc;
  std::string zone;
  std::string region;
  Strings seed_peers;
  std::string platform;
  int platform_timeout_ms = 0;
  Strings approver_keys;
  std::string policy_file;
  Strings zone_distance;
  int traffic_threads = 0;
  bool server_enforces_deadline = true;
  int shutdown_grace_ms = 0;
  std::string log_level;
};

po::options_description MakeOptions(RawSettings& raw) {
  const NodeSettings defaults;
  po::options_description options("Settings of cassiakeeld");
  options.add_options()("help", "print this help and exit")(
      "version", "print the version and exit")("check-settings",
                                               "check the settings and exit")(
      "print-settings", "print the settings in effect and exit")(
      "node-id", po::value(&raw.node_id)->default_value("node-1"),
      "id of this node, unique in the deployment")(
      "listen", po::value(&raw.listen)->default_value(defaults.listen.Value()),
      "IP:port for callers and other nodes")(
      "local", po::value(&raw.local)->default_value(defaults.local.Value()),
      "loopback IP:port for the backend server of this node")(
      "gossip", po::value(&raw.gossip)->default_value(defaults.gossip.Value()),
      "IP:port of the membership protocol (UDP)")(
      "rpc", po::value(&raw.rpc)->default_value(defaults.rpc.Value()),
      "IP:port of control calls between nodes")(
      "zone", po::value(&raw.zone)->default_value(defaults.zone.Value()),
      "availability zone of this instance")(
      "region", po::value(&raw.region)->default_value(defaults.region.Value()),
      "region of this instance")("seed-peer", po::value(&raw.seed_peers),
                                 "gossip IP:port of a node to join through; "
                                 "may be repeated")(
      "platform", po::value(&raw.platform),
      "IP:port of the platform; in-memory platform if not given")(
      "platform-timeout-ms",
      po::value(&raw.platform_timeout_ms)->default_value(2000),
      "time limit of one platform call, 100 to 60000")(
      "approver-key", po::value(&raw.approver_keys),
      "NAME=HEX, public key of a policy approver; may be repeated")(
      "policy-file", po::value(&raw.policy_file),
      "policy sheet to use without approval, for demos; not allowed with "
      "--platform")(
      "zone-distance", po::value(&raw.zone_distance),
      "ZONE=MICROSECONDS, round-trip time to an availability zone; may be "
      "repeated")("traffic-threads",
                  po::value(&raw.traffic_threads)->default_value(1),
                  "number of traffic threads, 1 to 16")(
      "server-enforces-deadline",
      po::value(&raw.server_enforces_deadline)->default_value(true),
      "the backend server refuses calls after Cassiakeel-Expires-Ns")(
      "shutdown-grace-ms",
      po::value(&raw.shutdown_grace_ms)->default_value(30000),
      "longest wait for calls in flight on shutdown, 0 to 3600000")(
      "log-level", po::value(&raw.log_level)->default_value("info"),
      "debug, info, warn or error");
  return options;
}

/// Maps an environment variable to its option, such as
/// CASSIAKEEL_ZONE_DISTANCE to zone-distance. Empty for other variables.
std::string OptionForVariable(const std::string& variable,
                              const po::options_description& options) {
  if (!variable.starts_with(kEnvironmentPrefix)) {
    return "";
  }
  std::string name = variable.substr(kEnvironmentPrefix.size());
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
    return c == '_' ? '-' : static_cast<char>(std::tolower(c));
  });
  return options.find_nothrow(name, false) != nullptr ? name : "";
}

tl::unexpected<Error> InvalidSetting(const std::string& name,
                                     const std::string& value,
                                     const std::string& accepted) {
  return Fail("read settings", "--" + name + " \"" + value +
                                   "\" is invalid; expected " + accepted);
}

Result<PeerAddress> ParseAddress(const std::string& name,
                                 const std::string& value) {
  if (!http::ParseHostPort(PeerAddress(value))) {
    return InvalidSetting(name, value, "IP:port");
  }
  return PeerAddress(value);
}

Result<std::pair<std::string, std::string>> SplitNameAndValue(
    const std::string& setting,
    const std::string& text,
    const std::string& accepted) {
  const auto equals = text.find('=');
  if (equals == std::string::npos || equals == 0 || equals + 1 == text.size()) {
    return InvalidSetting(setting, text, accepted);
  }
  return std::pair(text.substr(0, equals), text.substr(equals + 1));
}

Result<void> ApplyAddresses(const RawSettings& raw, NodeSettings& settings) {
  const std::array<std::tuple<const char*, const std::string*, PeerAddress*>, 4>
      fields = {{{"listen", &raw.listen, &settings.listen},
                 {"local", &raw.local, &settings.local},
                 {"gossip", &raw.gossip, &settings.gossip},
                 {"rpc", &raw.rpc, &settings.rpc}}};
  for (const auto& [name, text, field] : fields) {
    const auto address = ParseAddress(name, *text);
    if (!address) {
      return tl::make_unexpected(address.error());
    }
    *field = *address;
  }
  for (const auto& text : raw.seed_peers) {
    const auto address = ParseAddress("seed-peer", text);
    if (!address) {
      return tl::make_unexpected(address.error());
    }
    settings.seed_peers.push_back(*address);
  }
  if (!raw.platform.empty()) {
    const auto address = ParseAddress("platform", raw.platform);
    if (!address) {
      return tl::make_unexpected(address.error());
    }
    settings.platform = *address;
  }
  return {};
}

Result<void> ApplyLists(const RawSettings& raw, NodeSettings& settings) {
  for (const auto& text : raw.approver_keys) {
    const auto pair = SplitNameAndValue("approver-key", text, "NAME=HEX");
    if (!pair) {
      return tl::make_unexpected(pair.error());
    }
    constexpr std::size_t kKeyHexDigits = 64;
    if (pair->second.size() != kKeyHexDigits ||
        pair->second.find_first_not_of("0123456789abcdef") !=
            std::string::npos) {
      return InvalidSetting("approver-key", text,
                            "NAME=HEX with 64 lower-case hex digits");
    }
    settings.approver_keys[pair->first] = pair->second;
  }
  for (const auto& text : raw.zone_distance) {
    const auto pair =
        SplitNameAndValue("zone-distance", text, "ZONE=MICROSECONDS");
    if (!pair) {
      return tl::make_unexpected(pair.error());
    }
    std::int64_t micros = -1;
    const char* end = pair->second.data() + pair->second.size();
    const auto [rest, error] =
        std::from_chars(pair->second.data(), end, micros);
    if (error != std::errc() || rest != end || micros < 0) {
      return InvalidSetting("zone-distance", text,
                            "ZONE=MICROSECONDS with a non-negative integer");
    }
    settings.zone_distance[ZoneName(pair->first)] =
        std::chrono::microseconds(micros);
  }
  return {};
}

Result<void> ApplyNumbers(const RawSettings& raw, NodeSettings& settings) {
  const auto in_range = [](int value, int low, int high) {
    return value >= low && value <= high;
  };
  if (!in_range(raw.traffic_threads, 1, kMaxTrafficThreads)) {
    return InvalidSetting("traffic-threads",
                          std::to_string(raw.traffic_threads), "1 to 16");
  }
  if (!in_range(raw.platform_timeout_ms, 100, 60'000)) {
    return InvalidSetting("platform-timeout-ms",
                          std::to_string(raw.platform_timeout_ms),
                          "100 to 60000");
  }
  if (!in_range(raw.shutdown_grace_ms, 0, 3'600'000)) {
    return InvalidSetting("shutdown-grace-ms",
                          std::to_string(raw.shutdown_grace_ms),
                          "0 to 3600000");
  }
  settings.traffic_threads = raw.traffic_threads;
  settings.platform_timeout =
      std::chrono::milliseconds(raw.platform_timeout_ms);
  settings.shutdown_grace = std::chrono::milliseconds(raw.shutdown_grace_ms);
  return {};
}

Result<NodeSettings> ValidateSettings(const RawSettings& raw) {
  NodeSettings settings;
  for (const auto& step : {ApplyAddresses, ApplyLists, ApplyNumbers}) {
    const auto applied = step(raw, settings);
    if (!applied) {
      return tl::make_unexpected(applied.error());
    }
  }
  static const std::array<std::string, 4> kLevels = {"debug", "info", "warn",
                                                     "error"};
  if (std::find(kLevels.begin(), kLevels.end(), raw.log_level) ==
      kLevels.end()) {
    return InvalidSetting("log-level", raw.log_level,
                          "debug, info, warn or error");
  }
  if (raw.node_id.empty() || raw.node_id.size() > 64) {
    return InvalidSetting("node-id", raw.node_id, "1 to 64 characters");
  }
  if (!raw.policy_file.empty() && settings.platform) {
    return InvalidSetting(
        "policy-file", raw.policy_file,
        "no policy file with --platform, because a policy on a "
        "shared platform needs an approval");
  }
  if (!settings.seed_peers.empty() && !settings.platform) {
    return InvalidSetting(
        "seed-peer", settings.seed_peers.front().Value(),
        "no seed peers without --platform, because nodes with "
        "separate platforms do not agree on shard owners");
  }
  settings.node_id = NodeId(raw.node_id);
  settings.zone = ZoneName(raw.zone);
  settings.region = RegionName(raw.region);
  settings.policy_file = raw.policy_file;
  settings.server_enforces_deadline = raw.server_enforces_deadline;
  settings.log_level = raw.log_level;
  return settings;
}

std::string FormatSettings(const po::variables_map& values) {
  std::ostringstream text;
  for (const auto& [name, value] : values) {
    const auto& any = value.value();
    if (const auto* string = boost::any_cast<std::string>(&any)) {
      text << name << "=" << *string << "\n";
    } else if (const auto* number = boost::any_cast<int>(&any)) {
      text << name << "=" << *number << "\n";
    } else if (const auto* flag = boost::any_cast<bool>(&any)) {
      text << name << "=" << (*flag ? "true" : "false") << "\n";
    } else if (const auto* list = boost::any_cast<Strings>(&any)) {
      for (const auto& item : *list) {
        text << name << "=" << item << "\n";
      }
    }
  }
  return text.str();
}

}  // namespace

Result<ParsedSettings> ParseSettings(int argc, const char* const* argv) {
  RawSettings raw;
  const po::options_description options = MakeOptions(raw);
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
    po::store(po::parse_environment(options,
                                    [&options](const std::string& variable) {
                                      return OptionForVariable(variable,
                                                               options);
                                    }),
              values);
    po::notify(values);
  } catch (const po::error& error) {
    return Fail("read settings", error.what());
  }
  ParsedSettings parsed;
  if (values.count("help") > 0) {
    std::ostringstream text;
    text << options
         << "\nEach setting can also be given as an environment variable, such "
            "as "
            "CASSIAKEEL_NODE_ID for --node-id.\n";
    parsed.action = SettingsAction::kHelp;
    parsed.text = text.str();
    return parsed;
  }
  if (values.count("version") > 0) {
    parsed.action = SettingsAction::kVersion;
    return parsed;
  }
  auto settings = ValidateSettings(raw);
  if (!settings) {
    return tl::make_unexpected(settings.error());
  }
  parsed.settings = *std::move(settings);
  if (values.count("check-settings") > 0) {
    parsed.action = SettingsAction::kCheck;
  } else if (values.count("print-settings") > 0) {
    parsed.action = SettingsAction::kPrint;
    parsed.text = FormatSettings(values);
  }
  return parsed;
}

}  // namespace cassiakeel::node
