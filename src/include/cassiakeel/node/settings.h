#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cassiakeel/base/error.h"
#include "cassiakeel/base/strong.h"

namespace cassiakeel::node {

/// Settings of a node, from command-line flags and environment variables.
struct NodeSettings {
  NodeId node_id;
  /// HTTP address for callers and other nodes.
  PeerAddress listen{"127.0.0.1:7400"};
  /// HTTP address for this node's backend server; a loopback address.
  PeerAddress local{"127.0.0.1:7401"};
  /// UDP address of the membership protocol.
  PeerAddress gossip{"127.0.0.1:7402"};
  /// Cap'n Proto RPC address of the control thread.
  PeerAddress rpc{"127.0.0.1:7403"};
  ZoneName zone{"zone-1"};
  RegionName region{"region-1"};
  /// Gossip addresses of nodes through which this node joins.
  std::vector<PeerAddress> seed_peers;
  /// Address of the shared platform (table and object store). If empty, the
  /// node uses an in-memory platform within its own process.
  std::optional<PeerAddress> platform;
  /// Time limit of one platform call.
  std::chrono::milliseconds platform_timeout{2000};
  /// Public keys of policy approvers in hex, by approver name.
  std::map<std::string, std::string> approver_keys;
  /// Policy sheet that is put in force without an approval. For tests and
  /// demos; allowed only with the in-memory platform.
  std::string policy_file;
  /// Round-trip time to other availability zones.
  std::map<ZoneName, std::chrono::microseconds> zone_distance;
  int traffic_threads = 1;
  /// The backend server refuses calls after `Cassiakeel-Expires-Ns`.
  bool server_enforces_deadline = true;
  /// Longest wait for calls in flight after SIGTERM or SIGINT.
  std::chrono::milliseconds shutdown_grace{30000};
  std::string log_level = "info";
};

/// Action requested on the command line.
enum class SettingsAction { kRun, kHelp, kVersion, kCheck, kPrint };

struct ParsedSettings {
  SettingsAction action = SettingsAction::kRun;
  NodeSettings settings;
  /// Output of `kHelp` and `kPrint`.
  std::string text;
};

/// Parses flags; for a flag that is not given, the environment variable
/// CASSIAKEEL_<NAME> is used. An error names the setting, its value and the
/// accepted values.
Result<ParsedSettings> ParseSettings(int argc, const char* const* argv);

}  // namespace cassiakeel::node
