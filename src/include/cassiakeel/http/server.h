#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "cassiakeel/base/error.h"
#include "cassiakeel/http/message.h"

namespace cassiakeel::http {

/// Writes the response to one request. Members may be called from any thread.
/// Each request needs either one `Send`, or one `Begin`, any number of `Write`
/// and one `End`.
class Responder {
 public:
  virtual ~Responder() = default;
  virtual void Send(int status, HeaderList headers, std::string body) = 0;
  /// Starts a streamed response of `content_length` bytes, after which the
  /// connection is closed.
  virtual void Begin(int status,
                     HeaderList headers,
                     std::size_t content_length) = 0;
  /// Sends one part of the body. `on_written` is called when it was written
  /// and the next part may be sent; it is not called after an error.
  virtual void Write(std::string part, std::function<void()> on_written) = 0;
  /// Ends a streamed response. If fewer than `content_length` bytes were sent,
  /// the receiver detects the response as incomplete.
  virtual void End() = 0;
  /// Calls `callback` on the server's thread if the connection is closed before
  /// the response is complete.
  virtual void OnPeerClosed(std::function<void()> callback) = 0;
};

/// A complete request.
struct ServerRequest {
  std::string method;
  /// Path without query.
  std::string path;
  /// Query without "?"; may be empty.
  std::string query;
  HeaderList headers;
  std::string body;
  std::shared_ptr<Responder> responder;
};

using RequestHandler = std::function<void(ServerRequest)>;

struct ServerOptions {
  PeerAddress listen;
  std::size_t max_body_bytes = 64U << 20U;
  std::size_t max_header_bytes = 16U << 10U;
  std::chrono::seconds idle_timeout{60};
};

/// HTTP/1.1 server for one Asio thread, based on RESTinio. Several servers, one
/// per traffic thread, may listen on the same address (SO_REUSEPORT).
class Server {
 public:
  /// Fails if the address is malformed or cannot be bound.
  static Result<std::unique_ptr<Server>> Create(asio::io_context& io_context,
                                                const ServerOptions& options,
                                                RequestHandler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Stops accepting and closes all connections. To be called on the server's
  /// thread, or before that thread runs.
  void Close();

 private:
  class Impl;
  explicit Server(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl;
};

struct HostPort {
  std::string host;
  std::uint16_t port = 0;
};
/// Splits an address of the form "IP:port" and fails on any other form.
Result<HostPort> ParseHostPort(const PeerAddress& address);

}  // namespace cassiakeel::http
