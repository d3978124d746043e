#define CATCH_CONFIG_MAIN
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <thread>

#include "cassiakeel/base/alter_text.h"
#include "cassiakeel/h1/client.h"
#include "cassiakeel/h1/server.h"
#include "parser.h"

namespace cassiakeel::h1 {
namespace {

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

  std::unique_ptr<Server> Serve(ExchangeHandler handler) {
    this->address = PeerAddress("127.0.0.1:" + std::to_string(FreePort()));
    auto server = Server::Create(this->io_context, this->timers, this->address,
                                 this->limits, std::move(handler));
    REQUIRE(server);
    return std::move(*server);
  }

  static int FreePort() {
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
  }

  asio::io_context io_context;
  SystemClock clock;
  std::shared_ptr<TimerQueue> timers;
  ServerLimits limits;
  PeerAddress address;
};

tcp::endpoint EndpointOf(const PeerAddress& address) {
  const auto& text = address.Value();
  const auto colon = text.rfind(':');
  return {asio::ip::make_address(text.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

// Sends `bytes` to the server and returns what it sends back until it closes
// the connection, or within 300 ms.
std::string SendAndReceive(TestLoop& loop, const std::string& bytes) {
  tcp::socket socket(loop.io_context);
  socket.connect(EndpointOf(loop.address));
  asio::write(socket, asio::buffer(bytes));
  socket.non_blocking(true);
  std::string received;
  const auto end = loop.clock.Now() + milliseconds(300);
  while (loop.clock.Now() < end) {
    loop.io_context.run_for(milliseconds(5));
    loop.io_context.restart();
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
void ReadUntil(TestLoop& loop, tcp::socket& socket, const std::string& text) {
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

std::string ReadHead(tcp::socket& socket) {
  std::string head;
  asio::error_code error;
  while (head.find("\r\n\r\n") == std::string::npos && !error) {
    std::array<char, 1024> buffer{};
    const auto count = socket.read_some(asio::buffer(buffer), error);
    head.append(buffer.data(), count);
  }
  return head;
}

void Reply(tcp::socket& socket, const std::string& bytes) {
  asio::error_code ignored;
  asio::write(socket, asio::buffer(bytes), ignored);
}

Fetch GetFrom(TestLoop& loop, const PeerAddress& peer, const std::string& id) {
  Fetch fetch;
  fetch.peer = peer;
  fetch.request = {"GET", "/a/1", {{"Host", "h"}, {"Id", id}}, {}};
  fetch.deadline = loop.clock.Now() + milliseconds(500);
  fetch.echo_field = "Id";
  fetch.echo_value = id;
  return fetch;
}

FetchResult Run(TestLoop& loop, Client& client, Fetch fetch) {
  std::optional<FetchResult> result;
  client.Start(std::move(fetch),
               [&result](FetchResult end) { result = std::move(end); });
  loop.RunUntil([&result] { return result.has_value(); });
  return std::move(*result);
}

}  // namespace

TEST_CASE(
    "malformed input gets an error status and does not reach the handler") {
  TestLoop loop;
  loop.limits.message = {512, 64};
  int served = 0;
  const auto server = loop.Serve([&served](std::shared_ptr<Exchange> exchange) {
    ++served;
    exchange->Respond({200, {}, {}});
  });
  // Conflicting body lengths allow request smuggling (RFC 9112, section 11.2).
  CHECK(SendAndReceive(loop,
                       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
            .starts_with("HTTP/1.1 400"));
  CHECK(SendAndReceive(loop,
                       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                       "Content-Length: 4\r\n\r\nabc")
            .starts_with("HTTP/1.1 400"));
  CHECK(SendAndReceive(loop,
                       "GET /" + std::string(1000, 'a') + " HTTP/1.1\r\n\r\n")
            .starts_with("HTTP/1.1 431"));
  CHECK(SendAndReceive(
            loop, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n")
            .starts_with("HTTP/1.1 413"));
  CHECK(SendAndReceive(loop,
                       std::string("GET /\0a HTTP/1.1\r\nHost: h\r\n\r\n", 29))
            .starts_with("HTTP/1.1 400"));
  CHECK(served == 0);
}

// Guards against input that makes the parser read past the end of a message,
// exceed its limits, or give a different result when the same bytes arrive in
// smaller pieces.
TEST_CASE("mutated messages parse the same in one piece and in small pieces") {
  struct ParseResult {
    pvt::ParseState state = pvt::ParseState::kNeedMore;
    std::string head;
    std::string body;
    std::size_t used = 0;
    bool operator==(const ParseResult&) const = default;
  };
  const MessageLimits limits{200, 50};
  const auto parse = [&limits](pvt::Parser::Kind kind, const std::string& text,
                               std::size_t piece) {
    pvt::Parser parser(kind, limits);
    ParseResult parsed;
    while (parsed.state == pvt::ParseState::kNeedMore &&
           parsed.used < text.size()) {
      std::size_t used = 0;
      parsed.state =
          parser.Feed(std::string_view(text).substr(parsed.used, piece), used);
      parsed.used += used;
      if (used == 0) {
        break;
      }
    }
    CHECK(parser.body.size() <= limits.body_bytes);
    if (parsed.state == pvt::ParseState::kFailed) {
      return ParseResult{parsed.state, {}, {}, 0};
    }
    parsed.head = parser.method + " " + parser.target + " " +
                  std::to_string(parser.status);
    for (const auto& [name, value] : parser.headers) {
      parsed.head.append("\n").append(name).append(":").append(value);
    }
    parsed.body = parser.body;
    return parsed;
  };
  const std::string request =
      "POST /a?b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n0\r\n\r\n";
  const std::string response =
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: y\r\n\r\nhello";
  Rng rng(3);
  for (int i = 0; i < 20000; ++i) {
    const bool is_request = rng() % 2 == 0;
    const auto kind =
        is_request ? pvt::Parser::Kind::kRequest : pvt::Parser::Kind::kResponse;
    const auto text = AlterText(is_request ? request : response, rng);
    INFO(text);
    CHECK(parse(kind, text, text.size()) == parse(kind, text, 1 + rng() % 7));
  }
}

TEST_CASE("pipelined requests are answered in order") {
  TestLoop loop;
  const auto server = loop.Serve([](std::shared_ptr<Exchange> exchange) {
    exchange->Respond({200, {}, exchange->request().target});
  });
  const auto text = SendAndReceive(loop,
                                   "GET /first HTTP/1.1\r\nHost: h\r\n\r\n"
                                   "GET /second HTTP/1.1\r\nHost: h\r\n\r\n");
  const auto first = text.find("/first");
  REQUIRE(first != std::string::npos);
  CHECK(text.find("/second") > first);
}

TEST_CASE("an incomplete request gets 408 when the header timeout passes") {
  TestLoop loop;
  loop.limits.header_timeout = milliseconds(50);
  const auto server = loop.Serve([](std::shared_ptr<Exchange>) {});
  CHECK(SendAndReceive(loop, "GET /a HT").starts_with("HTTP/1.1 408"));
}

TEST_CASE("a closed connection is detected while its request is served") {
  TestLoop loop;
  bool peer_closed = false;
  std::shared_ptr<Exchange> held_exchange;
  const auto server = loop.Serve([&](std::shared_ptr<Exchange> exchange) {
    held_exchange = exchange;
    exchange->OnPeerClosed([&peer_closed] { peer_closed = true; });
  });
  tcp::socket socket(loop.io_context);
  socket.connect(EndpointOf(loop.address));
  asio::write(socket,
              asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")));
  loop.RunUntil([&held_exchange] { return held_exchange != nullptr; });
  socket.close();
  loop.RunUntil([&peer_closed] { return peer_closed; });
}

TEST_CASE("responses contain Connection: close after AnnounceClose") {
  TestLoop loop;
  const auto server = loop.Serve([](std::shared_ptr<Exchange> exchange) {
    exchange->Respond({200, {}, {}});
  });
  server->AnnounceClose();
  CHECK(SendAndReceive(loop, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
            .find("Connection: close") != std::string::npos);
}

TEST_CASE(
    "after StopAccepting, accepted connections are served and new ones "
    "refused") {
  TestLoop loop;
  const auto server = loop.Serve([](std::shared_ptr<Exchange> exchange) {
    exchange->Respond({200, {}, "late"});
  });
  tcp::socket socket(loop.io_context);
  socket.connect(EndpointOf(loop.address));
  loop.io_context.run_for(milliseconds(20));
  loop.io_context.restart();
  server->StopAccepting();
  asio::write(socket,
              asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")));
  ReadUntil(loop, socket, "late");
  asio::error_code connect_error;
  tcp::socket second(loop.io_context);
  second.connect(EndpointOf(loop.address), connect_error);
  CHECK(connect_error);
}

TEST_CASE(
    "a shutdown serves connections and requests that it has not read yet") {
  TestLoop loop;
  const auto server = loop.Serve([](std::shared_ptr<Exchange> exchange) {
    exchange->Respond({200, {}, "late"});
  });
  const std::string request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  tcp::socket accepted(loop.io_context);
  accepted.connect(EndpointOf(loop.address));
  loop.io_context.run_for(milliseconds(20));
  loop.io_context.restart();
  // When the server shuts down, it has neither accepted the new connection nor
  // read the request on the accepted one; both are only in the kernel.
  tcp::socket pending(loop.io_context);
  pending.connect(EndpointOf(loop.address));
  asio::write(pending, asio::buffer(request));
  asio::write(accepted, asio::buffer(request));
  server->Shutdown();
  ReadUntil(loop, accepted, "late");
  ReadUntil(loop, pending, "late");
  loop.RunUntil([&server] { return server->OpenConnections() == 0; });
}

TEST_CASE("a late response to an earlier request is discarded") {
  TestLoop loop;
  RawServer server([](tcp::socket& socket) {
    ReadHead(socket);
    Reply(socket,
          "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold"
          "HTTP/1.1 200 OK\r\nId: new\r\nContent-Length: 3\r\n\r\nnew");
    ReadHead(socket);
  });
  const auto client = Client::Create(loop.io_context, loop.timers, {});
  const auto result =
      Run(loop, *client, GetFrom(loop, server.address(), "new"));
  CHECK(result.end == FetchEnd::kComplete);
  CHECK(result.response.body == "new");
}

TEST_CASE("a connection with bytes after the response is not reused") {
  TestLoop loop;
  RawServer server([](tcp::socket& socket) {
    ReadHead(socket);
    Reply(socket,
          "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\nA"
          "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nB");
    ReadHead(socket);
  });
  const auto client = Client::Create(loop.io_context, loop.timers, {});
  CHECK(
      Run(loop, *client, GetFrom(loop, server.address(), "1")).response.body ==
      "A");
  CHECK(
      Run(loop, *client, GetFrom(loop, server.address(), "1")).response.body ==
      "A");
  CHECK(server.connections == 2);
}

TEST_CASE("a truncated response fails, one without length ends at the close") {
  TestLoop loop;
  const auto client = Client::Create(loop.io_context, loop.timers, {});
  RawServer truncated([](tcp::socket& socket) {
    ReadHead(socket);
    Reply(socket, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
    socket.close();
  });
  CHECK(Run(loop, *client, GetFrom(loop, truncated.address(), "1")).end ==
        FetchEnd::kNoResponse);
  RawServer without_length([](tcp::socket& socket) {
    ReadHead(socket);
    Reply(socket, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it");
    socket.close();
  });
  const auto complete =
      Run(loop, *client, GetFrom(loop, without_length.address(), "1"));
  CHECK(complete.end == FetchEnd::kComplete);
  CHECK(complete.response.body == "all of it");
}

TEST_CASE("a reset does not complete a response without length") {
  TestLoop loop;
  RawServer server([](tcp::socket& socket) {
    ReadHead(socket);
    Reply(socket, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf");
    std::this_thread::sleep_for(milliseconds(20));
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
  });
  const auto client = Client::Create(loop.io_context, loop.timers, {});
  CHECK(Run(loop, *client, GetFrom(loop, server.address(), "1")).end ==
        FetchEnd::kNoResponse);
}

TEST_CASE("an invalid response is kNoResponse, a refused connection kNotSent") {
  TestLoop loop;
  RawServer server([](tcp::socket& socket) {
    ReadHead(socket);
    Reply(socket, "what is this\r\n\r\n");
    socket.close();
  });
  const auto client = Client::Create(loop.io_context, loop.timers, {});
  CHECK(Run(loop, *client, GetFrom(loop, server.address(), "1")).end ==
        FetchEnd::kNoResponse);
  const PeerAddress closed_port("127.0.0.1:" +
                                std::to_string(TestLoop::FreePort()));
  CHECK(Run(loop, *client, GetFrom(loop, closed_port, "1")).end ==
        FetchEnd::kNotSent);
}

TEST_CASE("a fetch times out if the peer does not respond") {
  TestLoop loop;
  RawServer server([](tcp::socket& socket) {
    ReadHead(socket);
    std::this_thread::sleep_for(milliseconds(400));
  });
  const auto client = Client::Create(loop.io_context, loop.timers, {});
  auto fetch = GetFrom(loop, server.address(), "1");
  fetch.deadline = loop.clock.Now() + milliseconds(60);
  const auto result = Run(loop, *client, std::move(fetch));
  CHECK(result.end == FetchEnd::kTimeout);
}

TEST_CASE("a connection idle for longer than max_idle is not reused") {
  TestLoop loop;
  RawServer server([](tcp::socket& socket) {
    while (!ReadHead(socket).empty()) {
      Reply(socket, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n");
      std::array<char, 1> peek{};
      asio::error_code error;
      socket.receive(asio::buffer(peek), tcp::socket::message_peek, error);
      if (error) {
        return;
      }
    }
  });
  ClientOptions options;
  options.idle_timeout = milliseconds(2000);
  {
    const auto client = Client::Create(loop.io_context, loop.timers, options);
    Run(loop, *client, GetFrom(loop, server.address(), "1"));
    Run(loop, *client, GetFrom(loop, server.address(), "1"));
    CHECK(client->connections_opened() == 1);
    std::this_thread::sleep_for(milliseconds(30));
    client->CloseIdleConnections(server.address());
    auto fetch = GetFrom(loop, server.address(), "1");
    fetch.max_idle = milliseconds(10);
    Run(loop, *client, std::move(fetch));
    CHECK(client->connections_opened() == 2);
  }
}

TEST_CASE(
    "RemoveConnectionFields also removes the fields listed in Connection") {
  HeaderList headers = {{"Connection", "X-Own, close"},
                        {"X-Own", "1"},
                        {"Keep-Alive", "timeout=5"},
                        {"Transfer-Encoding", "chunked"},
                        {"X-Kept", "2"}};
  RemoveConnectionFields(headers);
  REQUIRE(headers.size() == 1);
  CHECK(headers[0].first == "X-Kept");
}

}  // namespace cassiakeel::h1
