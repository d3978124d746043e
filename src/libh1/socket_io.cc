#include "socket_io.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <cstddef>

namespace cassiakeel::h1::pvt {
namespace {

void SetOption(int fd, int level, int name, int value) {
  // Errors are ignored: without the option a dead peer is only detected later,
  // and the request timeouts still apply.
  ::setsockopt(fd, level, name, &value, sizeof(value));
}

// The part of head and body that has not been written.
std::array<asio::const_buffer, 2> Unwritten(const OutgoingMessage& message) {
  const auto head = std::min(message.written, message.head.size());
  return {asio::buffer(message.head) + head,
          asio::buffer(message.body.text()) + (message.written - head)};
}

}  // namespace

std::string_view ReadAvailable(asio::ip::tcp::socket& socket,
                               asio::error_code& error,
                               std::size_t max_bytes) {
  thread_local std::array<char, kReadBufferBytes> buffer;
  const auto count = socket.read_some(asio::buffer(buffer, max_bytes), error);
  return {buffer.data(), error ? 0 : count};
}

std::chrono::milliseconds TimeSinceArrival(asio::ip::tcp::socket& socket) {
  tcp_info info{};
  socklen_t length = sizeof(info);
  const int result = ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO,
                                  &info, &length);
  const bool is_known =
      result == 0 && length >= offsetof(tcp_info, tcpi_last_data_recv) +
                                   sizeof(info.tcpi_last_data_recv);
  return std::chrono::milliseconds(is_known ? info.tcpi_last_data_recv : 0);
}

void SetUpSocket(asio::ip::tcp::socket& socket,
                 std::chrono::milliseconds dead_peer_timeout) {
  asio::error_code ignored;
  socket.non_blocking(true, ignored);
  const int fd = socket.native_handle();
  const int probe_s =
      std::max(1, static_cast<int>(dead_peer_timeout.count() / 3000));
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, probe_s);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, probe_s);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, 2);
  SetDeadPeerTimeout(socket, dead_peer_timeout);
}

void SetDeadPeerTimeout(asio::ip::tcp::socket& socket,
                        std::chrono::milliseconds timeout) {
  SetOption(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(timeout.count()));
}

void WriteSome(asio::ip::tcp::socket& socket,
               OutgoingMessage& message,
               asio::error_code& error) {
  message.written += socket.write_some(Unwritten(message), error);
  if (error == asio::error::would_block) {
    error.clear();
  }
}

void WriteAll(asio::ip::tcp::socket& socket,
              OutgoingMessage message,
              std::shared_ptr<void> owner,
              std::function<void(asio::error_code)> done) {
  asio::error_code error;
  WriteSome(socket, message, error);
  if (error || message.done()) {
    done(error);
    return;
  }
  auto rest = std::make_shared<OutgoingMessage>(std::move(message));
  asio::async_write(
      socket, Unwritten(*rest),
      [rest, owner = std::move(owner), done = std::move(done)](
          asio::error_code write_error, std::size_t) { done(write_error); });
}

void AppendFields(std::string& out, const HeaderList& headers) {
  for (const auto& [name, value] : headers) {
    if (IsConnectionField(name)) {
      continue;
    }
    out.append(name).append(": ").append(value).append("\r\n");
  }
}

Result<asio::ip::tcp::endpoint> ParseEndpoint(const PeerAddress& address) {
  const auto& text = address.Value();
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return Fail("parse address", "expected IP:port", address);
  }
  asio::error_code error;
  const auto ip = asio::ip::make_address(text.substr(0, colon), error);
  std::uint16_t port = 0;
  const auto* first = text.data() + colon + 1;
  const auto* last = text.data() + text.size();
  const auto parsed = std::from_chars(first, last, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != last) {
    return Fail("parse address", "expected IP:port", address);
  }
  return asio::ip::tcp::endpoint(ip, port);
}

}  // namespace cassiakeel::h1::pvt
