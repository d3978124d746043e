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

/// Bytes read from a socket at a time, into a buffer of the thread: idle
/// connections hold no memory for reading.
inline constexpr std::size_t kReadBytes = 64U << 10U;

/// Reads what has arrived without waiting. The view is valid until the next
/// read on the thread. `error` is `would_block` when nothing has arrived.
std::string_view ReadAvailable(asio::ip::tcp::socket& socket,
                               asio::error_code& error);

/// Sets TCP_NODELAY, non-blocking mode and detection of dead peers: keep-alive
/// probes after a third of `dead_after` and TCP_USER_TIMEOUT. Connections may
/// go silent without a reset.
void SetUpSocket(asio::ip::tcp::socket& socket,
                 std::chrono::milliseconds dead_after);

/// Writes `bytes`, most often at once, and calls `done` with the error,
/// possibly before returning. `keep_alive` is held until then.
void WriteAll(asio::ip::tcp::socket& socket,
              std::string bytes,
              std::shared_ptr<void> keep_alive,
              std::function<void(asio::error_code)> done);

/// Appends "name: value\r\n" for each field that the connection does not write
/// itself.
void AppendFields(std::string& out, const HeaderList& headers);

/// Splits "IPv4:port".
Result<asio::ip::tcp::endpoint> ParseEndpoint(const PeerAddress& address);

}  // namespace cassiakeel::h1::pvt
