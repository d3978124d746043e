#define CATCH_CONFIG_MAIN
#include <asio/steady_timer.hpp>
#include <deque>

#include "http_test_support.h"

namespace cassiakeel::http {
namespace {

/// Accepts connections and, for each request in turn, either responds (true in
/// `respond_script`) or closes the connection without a response (false).
/// Responds to requests beyond the end of `respond_script`.
class ScriptedPeer {
 public:
  ScriptedPeer(asio::io_context& io, std::deque<bool> respond_script)
      : io(io),
        acceptor(io, {asio::ip::address_v4::loopback(), 0}),
        respond_script(std::move(respond_script)) {
    this->Accept();
  }

  PeerAddress Address() {
    return PeerAddress("127.0.0.1:" +
                       std::to_string(this->acceptor.local_endpoint().port()));
  }
  int requests = 0;
  int connections = 0;

 private:
  struct Connection {
    explicit Connection(asio::io_context& io) : socket(io) {}
    asio::ip::tcp::socket socket;
    asio::streambuf buffer;
  };

  void Accept() {
    auto connection = std::make_shared<Connection>(this->io);
    this->acceptor.async_accept(connection->socket,
                                [this, connection](const auto& error) {
                                  if (!error) {
                                    ++this->connections;
                                    this->Read(connection);
                                    this->Accept();
                                  }
                                });
  }

  void Read(const std::shared_ptr<Connection>& connection) {
    asio::async_read_until(
        connection->socket, connection->buffer, "payload",
        [this, connection](const auto& error, std::size_t size) {
          if (error) {
            return;
          }
          connection->buffer.consume(size);
          ++this->requests;
          const bool respond =
              this->respond_script.empty() || this->respond_script.front();
          if (!this->respond_script.empty()) {
            this->respond_script.pop_front();
          }
          if (!respond) {
            connection->socket.close();
            return;
          }
          static const std::string kResponse =
              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
          asio::async_write(connection->socket, asio::buffer(kResponse),
                            [this, connection](const auto&, std::size_t) {
                              this->Read(connection);
                            });
        });
  }

  asio::io_context& io;
  asio::ip::tcp::acceptor acceptor;
  std::deque<bool> respond_script;
};

}  // namespace

TEST_CASE("request and response are transferred completely") {
  asio::io_context io;
  ServerOptions options;
  options.listen = FreeAddress();
  auto server = Server::Create(io, options, [](ServerRequest request) {
    const std::string* field = FindHeader(request.headers, "x-test");
    request.responder->Send(
        200, {{"X-Reply", field ? *field : ""}},
        request.method + request.path + request.query + request.body);
  });
  REQUIRE(server);
  auto client = Client::Create(io);
  REQUIRE(client);
  const auto result =
      RunExchange(io, **client, RequestTo(options.listen, "POST"));
  CHECK(result.end == ExchangeEnd::kComplete);
  CHECK(result.status == 200);
  CHECK(result.body == "POST/pathq=1payload");
  REQUIRE(FindHeader(result.headers, "x-reply") != nullptr);
  CHECK(*FindHeader(result.headers, "x-reply") == "value");
}

TEST_CASE("a request on a refused connection is reported as not sent") {
  asio::io_context io;
  auto client = Client::Create(io);
  const auto result =
      RunExchange(io, **client, RequestTo(FreeAddress(), "POST"));
  CHECK(result.end == ExchangeEnd::kNotSent);
}

// Guards against libcurl's automatic retry of a request when a reused
// connection fails: the peer may have processed the first copy, so the retry
// would run it twice.
TEST_CASE("a request is sent only once if its reused connection fails") {
  asio::io_context io;
  ScriptedPeer peer(io, {true, false, true});
  auto client = Client::Create(io);
  CHECK(RunExchange(io, **client, RequestTo(peer.Address(), "POST")).end ==
        ExchangeEnd::kComplete);
  const auto second =
      RunExchange(io, **client, RequestTo(peer.Address(), "POST"));
  CHECK(second.end == ExchangeEnd::kNoResponse);
  CHECK(peer.requests == 2);
}

TEST_CASE("the fields of a response can rule out the reuse of its connection") {
  asio::io_context io;
  ScriptedPeer peer(io, {});
  auto client = Client::Create(io);
  for (const bool keeps : {true, true, false, true}) {
    auto request = RequestTo(peer.Address(), "POST");
    request.keeps_connection = [keeps](const HeaderList& headers) {
      return keeps && FindHeader(headers, "Content-Length") != nullptr;
    };
    CHECK(RunExchange(io, **client, request).end == ExchangeEnd::kComplete);
  }
  CHECK(peer.connections == 2);
}

TEST_CASE("a request times out if the peer does not respond") {
  asio::io_context io;
  asio::ip::tcp::acceptor silent(io, {asio::ip::address_v4::loopback(), 0});
  auto client = Client::Create(io);
  auto request =
      RequestTo(PeerAddress("127.0.0.1:" +
                            std::to_string(silent.local_endpoint().port())),
                "POST");
  request.timeout = milliseconds(50);
  CHECK(RunExchange(io, **client, request).end == ExchangeEnd::kTimeout);
}

// Guards against work that continues after the caller closed its connection.
// Guards against a faulty peer that exhausts the memory of the process.
TEST_CASE("a response without an end fails long before its time limit") {
  for (const std::string head :
       {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\n\r\n"}) {
    INFO(head);
    asio::io_context io;
    asio::io_context peer_io;
    asio::ip::tcp::acceptor acceptor(peer_io,
                                     {asio::ip::address_v4::loopback(), 0});
    // Writes header fields in the first case, a body in the second.
    std::thread peer([&] {
      asio::ip::tcp::socket socket(peer_io);
      acceptor.accept(socket);
      asio::error_code error;
      asio::write(socket, asio::buffer(head), error);
      std::string chunk;
      while (chunk.size() < (64U << 10U)) {
        chunk += "X-Field: value\r\n";
      }
      while (!error) {
        asio::write(socket, asio::buffer(chunk), error);
      }
    });
    {
      auto client = Client::Create(io);
      auto request = RequestTo(
          PeerAddress("127.0.0.1:" +
                      std::to_string(acceptor.local_endpoint().port())),
          "POST");
      request.timeout = std::chrono::seconds(60);
      const auto result = RunExchange(io, **client, std::move(request));
      CHECK(result.end == ExchangeEnd::kNoResponse);
    }
    peer.join();
  }
}

TEST_CASE("the server detects that the peer closed the connection") {
  asio::io_context io;
  bool closed = false;
  std::shared_ptr<Responder> pending;
  ServerOptions options;
  options.listen = FreeAddress();
  auto server = Server::Create(io, options, [&](ServerRequest request) {
    pending = request.responder;
    pending->OnPeerClosed([&] { closed = true; });
  });
  auto client = Client::Create(io);
  ExchangeHandler handler;
  ExchangeEnd end = ExchangeEnd::kComplete;
  handler.on_end = [&](ExchangeResult result) { end = result.end; };
  const auto id =
      (*client)->Start(RequestTo(options.listen, "GET"), std::move(handler));
  RunUntil(io, [&] { return pending != nullptr; });
  (*client)->Cancel(id);
  CHECK(end == ExchangeEnd::kCancelled);
  RunUntil(io, [&] { return closed; });
  CHECK(closed);
}

TEST_CASE("a streamed response with pauses arrives completely") {
  asio::io_context io;
  constexpr int kChunks = 20;
  const std::string chunk(50000, 'x');
  ServerOptions options;
  options.listen = FreeAddress();
  std::function<void(std::shared_ptr<Responder>, int)> write_next;
  write_next = [&](std::shared_ptr<Responder> responder, int left) {
    if (left == 0) {
      responder->End();
      return;
    }
    responder->Write(chunk, [&write_next, responder, left] {
      write_next(responder, left - 1);
    });
  };
  auto server = Server::Create(io, options, [&](ServerRequest request) {
    request.responder->Begin(200, {}, kChunks * chunk.size());
    write_next(request.responder, kChunks);
  });
  auto client = Client::Create(io);
  std::size_t received = 0;
  int pauses = 0;
  bool paused = false;
  std::optional<ExchangeResult> result;
  ExchangeId id = 0;
  asio::steady_timer timer(io);
  ExchangeHandler handler;
  handler.on_start = [&](int status, const HeaderList&) {
    CHECK(status == 200);
  };
  handler.on_data = [&](std::string_view data) {
    if (!paused) {
      paused = true;
      ++pauses;
      timer.expires_after(milliseconds(1));
      timer.async_wait([&](const auto&) { (*client)->Resume(id); });
      return false;
    }
    paused = false;
    received += data.size();
    return true;
  };
  handler.on_end = [&](ExchangeResult ended) { result = std::move(ended); };
  id = (*client)->Start(RequestTo(options.listen, "GET"), std::move(handler));
  RunUntil(io, [&] { return result.has_value(); });
  REQUIRE(result.has_value());
  CHECK(result->end == ExchangeEnd::kComplete);
  CHECK(received == kChunks * chunk.size());
  CHECK(pauses > 1);
}

// Guards against a truncated response that is accepted as complete.
TEST_CASE("a streamed response that ends early is reported as kNoResponse") {
  asio::io_context io;
  ServerOptions options;
  options.listen = FreeAddress();
  auto server = Server::Create(io, options, [&](ServerRequest request) {
    request.responder->Begin(200, {}, 1000);
    request.responder->Write("short", [] {});
    request.responder->End();
  });
  auto client = Client::Create(io);
  const auto result =
      RunExchange(io, **client, RequestTo(options.listen, "GET"));
  CHECK(result.end == ExchangeEnd::kNoResponse);
}

}  // namespace cassiakeel::http
