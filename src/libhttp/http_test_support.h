#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "cassiakeel/http/client.h"
#include "cassiakeel/http/server.h"

namespace cassiakeel::http {

using std::chrono::milliseconds;

inline PeerAddress FreeAddress() {
  asio::io_context io;
  const asio::ip::tcp::acceptor acceptor(io,
                                         {asio::ip::address_v4::loopback(), 0});
  return PeerAddress("127.0.0.1:" +
                     std::to_string(acceptor.local_endpoint().port()));
}

inline ClientRequest RequestTo(const PeerAddress& peer,
                               const std::string& method) {
  ClientRequest request;
  request.method = method;
  request.peer = peer;
  request.target = "/path?q=1";
  request.headers = {{"X-Test", "value"}};
  request.body =
      std::make_shared<const std::string>(method == "POST" ? "payload" : "");
  return request;
}

/// Runs the I/O context until `done` returns true or 2 s have passed.
inline void RunUntil(asio::io_context& io, const std::function<bool()>& done) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(2);
  io.restart();
  while (!done() && std::chrono::steady_clock::now() < end) {
    io.run_one_for(milliseconds(20));
  }
}

inline ExchangeResult RunExchange(asio::io_context& io,
                                  Client& client,
                                  ClientRequest request) {
  std::optional<ExchangeResult> result;
  ExchangeHandler handler;
  handler.on_end = [&](ExchangeResult ended) { result = std::move(ended); };
  client.Start(std::move(request), std::move(handler));
  RunUntil(io, [&] { return result.has_value(); });
  REQUIRE(result.has_value());
  return *result;
}

/// Answers each connection with the next of `responses` and closes it.
class RawPeer {
 public:
  explicit RawPeer(std::vector<std::string> responses)
      : acceptor(this->io, {asio::ip::address_v4::loopback(), 0}),
        responses(std::move(responses)),
        thread([this] { this->Run(); }) {}
  ~RawPeer() {
    this->stopped = true;
    asio::ip::tcp::socket wake(this->io);
    asio::error_code ignored;
    wake.connect(this->acceptor.local_endpoint(), ignored);
    wake.close(ignored);
    this->thread.join();
  }

  PeerAddress Address() {
    return PeerAddress("127.0.0.1:" +
                       std::to_string(this->acceptor.local_endpoint().port()));
  }

 private:
  void Run() {
    for (const auto& response : this->responses) {
      asio::ip::tcp::socket socket(this->io);
      asio::error_code error;
      this->acceptor.accept(socket, error);
      if (this->stopped) {
        return;
      }
      asio::streambuf request;
      asio::read_until(socket, request, "\r\n\r\n", error);
      asio::write(socket, asio::buffer(response), error);
    }
  }

  asio::io_context io;
  asio::ip::tcp::acceptor acceptor;
  std::vector<std::string> responses;
  std::atomic<bool> stopped{false};
  std::thread thread;
};

}  // namespace cassiakeel::http
