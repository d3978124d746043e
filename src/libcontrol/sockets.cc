#include "sockets.h"

#include <arpa/inet.h>
#include <kj/debug.h>
#include <kj/io.h>
#include <sys/socket.h>

#include <charconv>
#include <cstdint>
#include <cstring>
#include <string>

namespace cassiakeel::control::pvt {
namespace {

struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t length = 0;
  const sockaddr* Get() const {
    return reinterpret_cast<const sockaddr*>(&this->storage);
  }
};

template <typename Raw>
SocketAddress ToSocketAddress(const Raw& raw) {
  SocketAddress address;
  std::memcpy(&address.storage, &raw, sizeof(raw));
  address.length = sizeof(raw);
  return address;
}

SocketAddress ParseSocketAddress(const PeerAddress& address) {
  const auto& text = address.Value();
  const auto colon = text.rfind(':');
  KJ_REQUIRE(colon != std::string::npos, "address has no port", text.c_str());
  std::uint16_t port = 0;
  const auto parsed =
      std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
  KJ_REQUIRE(parsed.ec == std::errc(), "invalid port", text.c_str());
  auto host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[') {
    sockaddr_in6 raw{};
    raw.sin6_family = AF_INET6;
    raw.sin6_port = htons(port);
    host = host.substr(1, host.size() - 2);
    KJ_REQUIRE(inet_pton(AF_INET6, host.c_str(), &raw.sin6_addr) == 1,
               "address is not numeric", text.c_str());
    return ToSocketAddress(raw);
  }
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(port);
  KJ_REQUIRE(inet_pton(AF_INET, host.c_str(), &raw.sin_addr) == 1,
             "address is not numeric", text.c_str());
  return ToSocketAddress(raw);
}

}  // namespace

kj::Own<kj::NetworkAddress> ToNetworkAddress(kj::Network& network,
                                             const PeerAddress& address) {
  const auto parsed = ParseSocketAddress(address);
  return network.getSockaddr(parsed.Get(), parsed.length);
}

kj::Own<kj::DatagramPort> BindDatagramPort(kj::LowLevelAsyncIoProvider& io,
                                           const PeerAddress& address) {
  const auto parsed = ParseSocketAddress(address);
  int fd = -1;
  KJ_SYSCALL(fd = socket(parsed.storage.ss_family,
                         SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  kj::AutoCloseFd owned(fd);
  KJ_SYSCALL(bind(owned.get(), parsed.Get(), parsed.length));
  return io.wrapDatagramSocketFd(
      kj::mv(owned), kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
                         kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
}

}  // namespace cassiakeel::control::pvt
