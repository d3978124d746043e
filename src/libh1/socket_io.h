#pragma once

#include <asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "cassiakeel/base/error.h"
#include "cassiakeel/h1/message.h"

namespace cassiakeel::h1::pvt {

/// Size of the read buffer. There is one per thread, so that idle connections
/// need no memory for reading.
inline constexpr std::size_t kReadBufferBytes = 64U << 10U;

/// Reads at most `max_bytes` of what is available, without blocking. The view
/// is valid until the next call on this thread. Sets `error` to `would_block`
/// if nothing has arrived.
std::string_view ReadAvailable(asio::ip::tcp::socket& socket,
                               asio::error_code& error,
                               std::size_t max_bytes = kReadBufferBytes);

/// Time since the last bytes arrived at the socket, read or not; zero where the
/// operating system does not tell. A process that was paused reads bytes long
/// after they arrived.
std::chrono::milliseconds TimeSinceArrival(asio::ip::tcp::socket& socket);

/// Sets TCP_NODELAY and non-blocking mode, and enables the detection of peers
/// that disappear without a reset: keep-alive probes after a third of
/// `dead_peer_timeout`, and TCP_USER_TIMEOUT.
void SetUpSocket(asio::ip::tcp::socket& socket,
                 std::chrono::milliseconds dead_peer_timeout);

/// Sets the time for which sent bytes may stay unacknowledged
/// (TCP_USER_TIMEOUT). The kernel also counts the time in which the peer's
/// window is closed.
void SetDeadPeerTimeout(asio::ip::tcp::socket& socket,
                        std::chrono::milliseconds timeout);

/// A message that is being written. The body is not copied.
struct OutgoingMessage {
  std::string head;
  Body body;
  /// Bytes of head and body that have been written.
  std::size_t written = 0;

  std::size_t size() const { return this->head.size() + this->body.size(); }
  bool done() const { return this->written == this->size(); }
};

/// Writes what the socket takes without blocking.
void WriteSome(asio::ip::tcp::socket& socket,
               OutgoingMessage& message,
               asio::error_code& error);

/// Writes all of `message` and calls `done` with the result. If the socket
/// buffer has room for it, which is the usual case, `done` is called before
/// this returns. Holds `owner` until `done` was called.
void WriteAll(asio::ip::tcp::socket& socket,
              OutgoingMessage message,
              std::shared_ptr<void> owner,
              std::function<void(asio::error_code)> done);

/// Appends "name: value\r\n" for each field except connection fields, which the
/// caller writes itself.
void AppendFields(std::string& out, const HeaderList& headers);

/// Parses "IP:port".
Result<asio::ip::tcp::endpoint> ParseEndpoint(const PeerAddress& address);

}  // namespace cassiakeel::h1::pvt
