#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "cassiakeel/base/error.h"
#include "cassiakeel/h1/message.h"
#include "cassiakeel/h1/timer_queue.h"

namespace cassiakeel::h1 {

/// True if a client can connect to `peer`: "IP:port" with a port from 1 to
/// 65535.
bool IsPeerAddress(const PeerAddress& peer);

/// How a fetch ended.
enum class FetchEnd {
  kComplete,
  /// No byte of the request was written to a connection.
  kNotSent,
  /// The request may have been received, but no complete and valid response
  /// arrived.
  kNoResponse,
  /// As `kNoResponse`, because the deadline passed.
  kTimeout,
};

struct FetchResult {
  FetchEnd end = FetchEnd::kNoResponse;
  Response response;
  /// Description of the error, empty for `kComplete`.
  std::string message;
  /// The connection was opened for this fetch, not reused.
  bool fresh_connection = false;
};

struct Fetch {
  PeerAddress peer;
  Request request;
  /// Time at which the fetch ends with `kTimeout`, or with `kNotSent` if the
  /// connection is not established by then.
  SteadyTime deadline;
  /// Name of a response field that repeats a value of the request. A response
  /// with another value in this field answers an earlier request on the
  /// connection and is discarded. A response without this field is accepted
  /// only on a new connection, and ends the fetch with `kNoResponse` on a
  /// reused one, where it may be a late copy of an earlier response; after it,
  /// the connection is not reused. A connection carries each value once,
  /// because a late copy of the first response would be taken for the second.
  /// An empty name disables the check.
  std::string echo_field;
  /// Empty if the request has no such value; it then has a connection of its
  /// own.
  std::string echo_value;
  /// Reuse a connection only if it was idle for less than this. If the peer
  /// closes a reused connection at the moment the request is sent, it is
  /// unknown whether the request was received.
  std::chrono::milliseconds max_idle{1000000};
};

using FetchId = std::uint64_t;
using FetchHandler = std::function<void(FetchResult)>;

struct ClientOptions {
  std::chrono::milliseconds connect_timeout{250};
  /// Idle connections are closed after this time.
  std::chrono::milliseconds idle_timeout{4000};
  /// A connection fails when sent bytes stay unacknowledged for this time
  /// (TCP_USER_TIMEOUT), or until the deadline of a request that may fill the
  /// peer's receive buffer; idle connections get a keep-alive probe after a
  /// third of it.
  std::chrono::milliseconds dead_peer_timeout{1500};
  /// Idle connections kept open per peer.
  std::size_t max_idle_per_peer = 64;
  MessageLimits limits;
  /// Memory for all responses that are being received. A response that holds
  /// more than what the others leave free fails, so that one response gets at
  /// most half, and `n` endless ones leave 1/(n + 1) for others (dynamic
  /// thresholds; Choudhury and Hahne, 1998).
  std::size_t max_buffered_bytes = 64U << 20U;
};

/// HTTP/1.1 client for one Asio thread, with a pool of idle connections per
/// peer. Each request is written at most once: if the connection fails before
/// the response is complete, the fetch fails and is not retried.
class Client {
 public:
  static std::unique_ptr<Client> Create(asio::io_context& io_context,
                                        std::shared_ptr<TimerQueue> timers,
                                        const ClientOptions& options);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Calls `handler` exactly once, never from within `Start`; not at all if
  /// the fetch is cancelled.
  FetchId Start(Fetch fetch, FetchHandler handler);
  /// Closes the connection of a running fetch; its handler is not called.
  void Cancel(FetchId id);
  /// Closes the idle connections to `peer`. For use when the process at this
  /// address was replaced and old connections may lead to the previous one.
  void CloseIdleConnections(const PeerAddress& peer);
  /// Number of connections opened since this client was created.
  std::uint64_t connections_opened() const;
  /// Memory held by responses that are being received.
  std::size_t buffered_bytes() const;

 private:
  class Impl;
  explicit Client(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl;
};

}  // namespace cassiakeel::h1
