#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "cassiakeel/base/error.h"
#include "cassiakeel/h1/message.h"
#include "cassiakeel/h1/timer_queue.h"

namespace cassiakeel::h1 {

/// One request that waits for its response. Used on the server's thread only.
class Exchange {
 public:
  virtual ~Exchange() = default;
  /// The request; may be moved from.
  virtual Request& request() = 0;
  /// When the last byte of the request was read.
  virtual SteadyTime received() const = 0;
  /// Sends the response; later calls do nothing. `close` ends the connection
  /// after it.
  virtual void Respond(Response response, bool close = false) = 0;
  /// `callback` runs once if the peer closes before the response was sent.
  virtual void OnPeerClosed(std::function<void()> callback) = 0;
};

using ExchangeHandler = std::function<void(std::shared_ptr<Exchange>)>;

/// Bounds of a server, read anew for each use, so that a change applies to
/// open connections.
struct ServerLimits {
  MessageLimits message;
  /// From the first byte of a request to the end of its header.
  std::chrono::milliseconds header_timeout{10000};
  /// From the end of a response to the first byte of the next request.
  std::chrono::milliseconds idle_timeout{60000};
  /// Longest pause of a peer within a body or while reading a response.
  std::chrono::milliseconds stall_timeout{10000};
  std::size_t max_connections = 3000;
};

/// HTTP/1.1 server for one Asio thread. Reads whole requests, serves one at a
/// time per connection, notices a peer that leaves while its request is
/// served, and answers malformed input with 400, 408, 413 or 431.
class Server {
 public:
  /// Fails if the address is malformed or cannot be bound. `limits` outlives
  /// the server.
  static Result<std::unique_ptr<Server>> Create(
      asio::io_context& io_context,
      std::shared_ptr<TimerQueue> timers,
      const PeerAddress& listen,
      const ServerLimits& limits,
      ExchangeHandler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// From now on responses announce that the connection closes.
  void AnnounceClose();
  /// Accepts no further connections than those that the kernel has completed;
  /// open ones are served.
  void StopAccepting();
  /// Stops accepting, and closes connections that wait for a request. Requests
  /// that have arrived are served first.
  void Shutdown();
  std::size_t OpenConnections() const;
  /// Requests being served.
  std::size_t InProgress() const;

 private:
  class Impl;
  explicit Server(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl;
};

}  // namespace cassiakeel::h1
