#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "cassiakeel/base/error.h"
#include "cassiakeel/h1/message.h"
#include "cassiakeel/h1/server_memory.h"
#include "cassiakeel/h1/timer_queue.h"

namespace cassiakeel::h1 {

/// A received request and the means to respond to it. To be used on the
/// server's thread only.
class Exchange {
 public:
  virtual ~Exchange() = default;
  /// The request; may be moved from. Its body is released when the response is
  /// sent or the connection is closed.
  virtual Request& request() = 0;
  /// Time at which the last byte of the request arrived at this machine, as far
  /// as the operating system tells. A process that was paused reads it later.
  virtual SteadyTime received() const = 0;
  /// Sends the response; later calls do nothing. With `close`, the connection
  /// is closed after the response.
  virtual void Respond(Response response, bool close = false) = 0;
  /// Calls `callback` once if the connection is closed before the response was
  /// sent.
  virtual void OnPeerClosed(std::function<void()> callback) = 0;
};

using ExchangeHandler = std::function<void(std::shared_ptr<Exchange>)>;

/// Limits of a server. They are read each time one is applied, so a change
/// also affects open connections.
struct ServerLimits {
  MessageLimits message;
  /// Longest time from the first byte of a request to the end of its header.
  std::chrono::milliseconds header_timeout{10000};
  /// Longest time from the end of a response to the first byte of the next
  /// request.
  std::chrono::milliseconds idle_timeout{60000};
  /// Longest time without progress while the peer sends a body or reads a
  /// response.
  std::chrono::milliseconds stall_timeout{10000};
  std::size_t max_connections = 3000;
};

/// Memory of a server that is created without one, in bytes.
inline constexpr std::size_t kDefaultServerMemory = 128U << 20U;

/// HTTP/1.1 server for one Asio thread. Reads complete requests, serves one at
/// a time per connection and detects when the peer closes the connection while
/// its request is served. Malformed, incomplete or oversized requests get 400,
/// 408, 413 or 431, and those that do not fit into the memory 503 with
/// Retry-After. A request whose handler throws gets 500, and the exception
/// leaves `io_context::run()`.
class Server {
 public:
  /// Fails if the address is malformed or cannot be bound. `limits` must
  /// outlive the server. `memory` may be shared by servers of the same thread;
  /// without it the server has its own of `kDefaultServerMemory`.
  static Result<std::unique_ptr<Server>> Create(
      asio::io_context& io_context,
      std::shared_ptr<TimerQueue> timers,
      const PeerAddress& listen,
      const ServerLimits& limits,
      ExchangeHandler handler,
      std::shared_ptr<ServerMemory> memory = nullptr);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Sends `Connection: close` in all further responses.
  void AnnounceClose();
  /// Accepts the connections that the kernel has already established, then
  /// closes the listening socket. Open connections are still served.
  void StopAccepting();
  /// Stops accepting and closes the connections that have no request. Requests
  /// that have already arrived are served first, and so are those that arrive
  /// within a fifth of a second on a new connection or whose first part has
  /// arrived.
  void Shutdown();
  std::size_t OpenConnections() const;
  /// Number of requests being served.
  std::size_t InProgress() const;

 private:
  class Impl;
  explicit Server(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl;
};

}  // namespace cassiakeel::h1
