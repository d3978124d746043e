#pragma once

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "cassiakeel/h1/client.h"
#include "cassiakeel/h1/server.h"
#include "reserved_port.h"

namespace cassiakeel::h1 {

using asio::ip::tcp;
using std::chrono::milliseconds;

// Runs the client and the server under test on one I/O context. Their peers are
// plain sockets.
class TestLoop {
 public:
  TestLoop() : timers(TimerQueue::Create(this->io_context, this->clock)) {}

  void RunUntil(const std::function<bool()>& done,
                milliseconds limit = milliseconds(3000)) {
    const auto end = this->clock.Now() + limit;
    while (!done() && this->clock.Now() < end) {
      this->io_context.run_for(milliseconds(5));
      this->io_context.restart();
    }
    REQUIRE(done());
  }

  void RunFor(milliseconds time) {
    this->io_context.run_for(time);
    this->io_context.restart();
  }

  std::unique_ptr<Server> Serve(ExchangeHandler handler,
                                std::shared_ptr<ServerMemory> memory = {}) {
    this->address =
        PeerAddress("127.0.0.1:" + std::to_string(testing::ReservePort()));
    auto server =
        Server::Create(this->io_context, this->timers, this->address,
                       this->limits, std::move(handler), std::move(memory));
    REQUIRE(server);
    return std::move(*server);
  }

  asio::io_context io_context;
  SystemClock clock;
  std::shared_ptr<TimerQueue> timers;
  ServerLimits limits;
  PeerAddress address;
};

inline tcp::endpoint EndpointOf(const PeerAddress& address) {
  const auto& text = address.Value();
  const auto colon = text.rfind(':');
  return {asio::ip::make_address(text.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

// Sends `bytes` to the server and returns what it sends back until it closes
// the connection, or within 300 ms.
inline std::string SendAndReceive(TestLoop& loop, const std::string& bytes) {
  tcp::socket socket(loop.io_context);
  socket.connect(EndpointOf(loop.address));
  asio::write(socket, asio::buffer(bytes));
  socket.non_blocking(true);
  std::string received;
  const auto end = loop.clock.Now() + milliseconds(300);
  while (loop.clock.Now() < end) {
    loop.RunFor(milliseconds(5));
    std::array<char, 4096> buffer{};
    asio::error_code error;
    const auto count = socket.read_some(asio::buffer(buffer), error);
    received.append(buffer.data(), error ? 0 : count);
    if (error == asio::error::eof) {
      break;
    }
  }
  return received;
}

// Reads until `text` has been received.
inline void ReadUntil(TestLoop& loop,
                      tcp::socket& socket,
                      const std::string& text) {
  socket.non_blocking(true);
  std::string received;
  loop.RunUntil([&socket, &received, &text] {
    std::array<char, 1024> buffer{};
    asio::error_code error;
    const auto count = socket.read_some(asio::buffer(buffer), error);
    received.append(buffer.data(), error ? 0 : count);
    return received.find(text) != std::string::npos;
  });
}

// A peer that runs `script` on each connection it accepts.
class RawServer {
 public:
  using Script = std::function<void(tcp::socket&)>;
  explicit RawServer(Script script)
      : acceptor(this->context, {asio::ip::make_address("127.0.0.1"), 0}),
        thread([this, script = std::move(script)] {
          asio::error_code error;
          while (true) {
            tcp::socket socket(this->context);
            this->acceptor.accept(socket, error);
            if (error || this->stopped) {
              return;
            }
            ++this->connections;
            script(socket);
          }
        }) {}
  ~RawServer() {
    this->stopped = true;
    asio::error_code ignored;
    tcp::socket wake(this->context);
    wake.connect(this->acceptor.local_endpoint(), ignored);
    this->thread.join();
  }
  PeerAddress address() const {
    return PeerAddress("127.0.0.1:" +
                       std::to_string(this->acceptor.local_endpoint().port()));
  }

  std::atomic<int> connections{0};

 private:
  asio::io_context context;
  tcp::acceptor acceptor;
  std::atomic<bool> stopped{false};
  std::thread thread;
};

inline std::string ReadHead(tcp::socket& socket) {
  std::string head;
  asio::error_code error;
  while (head.find("\r\n\r\n") == std::string::npos && !error) {
    std::array<char, 1024> buffer{};
    const auto count = socket.read_some(asio::buffer(buffer), error);
    head.append(buffer.data(), count);
  }
  return head;
}

inline void Reply(tcp::socket& socket, const std::string& bytes) {
  asio::error_code ignored;
  asio::write(socket, asio::buffer(bytes), ignored);
}

inline Fetch GetFrom(TestLoop& loop,
                     const PeerAddress& peer,
                     const std::string& id) {
  Fetch fetch;
  fetch.peer = peer;
  fetch.request = {"GET", "/a/1", {{"Host", "h"}, {"Id", id}}, {}};
  fetch.deadline = loop.clock.Now() + milliseconds(500);
  fetch.echo_field = "Id";
  fetch.echo_value = id;
  return fetch;
}

inline FetchResult Run(TestLoop& loop, Client& client, Fetch fetch) {
  std::optional<FetchResult> result;
  client.Start(std::move(fetch),
               [&result](FetchResult end) { result = std::move(end); });
  loop.RunUntil([&result] { return result.has_value(); });
  return std::move(*result);
}

}  // namespace cassiakeel::h1
