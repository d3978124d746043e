#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "cassiakeel/base/error.h"

namespace cassiakeel::h1 {

/// Limit because of which a server refused a request or closed a connection.
enum class ServerLimit {
  /// A connection beyond `ServerLimits::max_connections` was closed.
  kConnections,
  /// A request did not fit into the memory and got 503.
  kRequestMemory,
  /// Memory was short, and the peer had made no progress for some seconds.
  kStalledPeer,
  /// Memory was short without any such peer.
  kMemory,
};
inline constexpr std::size_t kServerLimitCount =
    static_cast<std::size_t>(ServerLimit::kMemory) + 1;

/// Name of a limit in logs and metrics, such as "connections".
std::string_view ServerLimitName(ServerLimit limit);

struct LimitReport {
  ServerLimit limit = ServerLimit::kConnections;
  /// Address at which the server listens.
  PeerAddress listen;
  /// Bytes that the connection held.
  std::size_t held_bytes = 0;
};

namespace pvt {
class MemoryAccount;
}

/// Memory that the servers of one thread hold for their clients: requests from
/// their first byte until their last use, and responses until they are written.
/// The load this answers: clients that send much, read nothing, or never end a
/// request, beside ordinary ones. Small messages are refused last. If responses
/// do not fit, connections are closed: first those that make no progress, then
/// those of unfinished requests, among equals the one that holds most.
class ServerMemory {
 public:
  /// `on_limit` is called each time a limit closes or refuses something, on the
  /// thread of the servers; may be empty.
  static std::shared_ptr<ServerMemory> Create(
      std::size_t max_bytes,
      std::function<void(const LimitReport&)> on_limit = {});
  ~ServerMemory();
  ServerMemory(const ServerMemory&) = delete;
  ServerMemory& operator=(const ServerMemory&) = delete;

  std::size_t used_bytes() const;
  const std::shared_ptr<pvt::MemoryAccount>& account() const {
    return this->shared;
  }

 private:
  explicit ServerMemory(std::shared_ptr<pvt::MemoryAccount> account);
  std::shared_ptr<pvt::MemoryAccount> shared;
};

}  // namespace cassiakeel::h1
