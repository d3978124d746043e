#pragma once

#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <cstring>
#include <optional>
#include <random>
#include <stdexcept>
#include <string>

namespace cassiakeel::testing {

/// Hands out ports for listeners of the current process. They lie below the
/// range for outgoing connections, in blocks that test processes reserve by
/// binding an abstract socket, so that concurrent runs do not share a port. The
/// harness in Python uses the same blocks (testsuite/harness/processes.py).
class PortReservation {
 public:
  /// Returns a port that is free and that was not returned before. Throws if
  /// all blocks are reserved.
  int Next() {
    while (true) {
      if (this->next == this->end) {
        this->ReserveBlock();
      }
      const int port = this->next++;
      asio::io_context context;
      asio::ip::tcp::acceptor acceptor(context);
      asio::error_code error;
      acceptor.open(asio::ip::tcp::v4());
      acceptor.bind({asio::ip::make_address("127.0.0.1"),
                     static_cast<std::uint16_t>(port)},
                    error);
      if (!error) {
        return port;
      }
    }
  }

 private:
  static constexpr int kFirstPort = 10000;
  static constexpr int kBlocks = 220;
  static constexpr int kBlockSize = 100;

  void ReserveBlock() {
    const int start = static_cast<int>(std::random_device()() % kBlocks);
    for (int i = 0; i < kBlocks; ++i) {
      const int block = (start + i) % kBlocks;
      if (TryReserve(block)) {
        this->next = kFirstPort + block * kBlockSize;
        this->end = this->next + kBlockSize;
        return;
      }
    }
    throw std::runtime_error("all blocks of test ports are reserved");
  }

  // The socket stays open until the process ends, which frees the block.
  static bool TryReserve(int block) {
    const auto name = "cassiakeel-test-ports-" + std::to_string(block);
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    std::memcpy(address.sun_path + 1, name.data(), name.size());
    const auto length = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) +
                                               1 + name.size());
    const int fd = ::socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (fd >= 0 &&
        ::bind(fd, reinterpret_cast<const sockaddr*>(&address), length) == 0) {
      return true;
    }
    if (fd >= 0) {
      ::close(fd);
    }
    return false;
  }

  int next = 0;
  int end = 0;
};

/// Returns a free port that no other test process takes. Not thread-safe.
inline int ReservePort() {
  static PortReservation ports;
  return ports.Next();
}

}  // namespace cassiakeel::testing
