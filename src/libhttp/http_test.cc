#define CATCH_CONFIG_MAIN
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <catch2/catch.hpp>
#include <deque>
#include <optional>
#include <thread>

#include "cassiakeel/http/client.h"
#include "cassiakeel/http/server.h"
#include "cassiakeel/syntax/malformed_responses.h"

namespace cassiakeel::http {
namespace {

using std::chrono::milliseconds;

PeerAddress FreeAddress() {
  asio::io_context io;
  const asio::ip::tcp::acceptor acceptor(io,
                                         {asio::ip::address_v4::loopback(), 0});
  return PeerAddress("127.0.0.1:" +
                     std::to_string(acceptor.local_endpoint().port()));
}

ClientRequest RequestTo(const PeerAddress& peer, const std::string& method) {
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
void RunUntil(asio::io_context& io, const std::function<bool()>& done) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(2);
  io.restart();
  while (!done() && std::chrono::steady_clock::now() < end) {
    io.run_one_for(milliseconds(20));
  }
}

ExchangeResult RunExchange(asio::io_context& io,
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

/// Sends `bytes` and returns what comes back until the connection is closed or
/// nothing has come for 100 ms.
std::string SendRaw(asio::io_context& io,
                    const PeerAddress& address,
                    const std::string& bytes) {
  const auto& text = address.Value();
  asio::ip::tcp::socket socket(io);
  socket.connect(
      {asio::ip::address_v4::loopback(),
       static_cast<std::uint16_t>(std::stoi(text.substr(text.find(':') + 1)))});
  asio::write(socket, asio::buffer(bytes));
  socket.non_blocking(true);
  std::string received;
  auto end = std::chrono::steady_clock::now() + milliseconds(100);
  asio::error_code error;
  while (std::chrono::steady_clock::now() < end &&
         (!error || error == asio::error::would_block)) {
    io.restart();
    io.run_for(milliseconds(5));
    std::array<char, 4096> buffer{};
    const auto count = socket.read_some(asio::buffer(buffer), error);
    received.append(buffer.data(), error ? 0 : count);
    if (!error) {
      end = std::chrono::steady_clock::now() + milliseconds(100);
    }
  }
  return received;
}

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
    CHECK(RunExchange(io, **client, std::move(request)).end ==
          ExchangeEnd::kComplete);
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

// Guards against a response that ends the process: libcurl 7.88 adds a folded
// line to the last field of the response that its handle received before.
TEST_CASE("a folded line at the start of a head does not end the process") {
  const std::string end = "Content-Length: 1\r\n\r\nA";
  RawPeer peer({"HTTP/1.1 200 OK\r\nX: y\r\n" + end,
                "HTTP/1.1 200 OK\r\n X: y\r\n" + end});
  asio::io_context io;
  auto client = Client::Create(io);
  CHECK(RunExchange(io, **client, RequestTo(peer.Address(), "GET")).end ==
        ExchangeEnd::kComplete);
  RunExchange(io, **client, RequestTo(peer.Address(), "GET"));
}

// Guards against a malformed response, or one whose head ends early, that is
// delivered as an answer.
TEST_CASE("a response that breaks the protocol is kNoResponse") {
  const auto responses = syntax::MalformedResponses("X: y\r\n");
  RawPeer peer(responses);
  asio::io_context io;
  auto client = Client::Create(io);
  for (const auto& response : responses) {
    INFO(response);
    const auto result =
        RunExchange(io, **client, RequestTo(peer.Address(), "GET"));
    CHECK(result.end == ExchangeEnd::kNoResponse);
    CHECK_FALSE(result.error.empty());
  }
}

// Guards against strictness that rejects what the protocol allows.
TEST_CASE("unusual but valid responses are delivered") {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"HTTP/1.0 200 OK\r\n\r\nA", "A"},
      {"HTTP/1.1 200 OK\r\nX: \t\xe9 \r\nContent-Length: 1\r\n\r\nA", "A"},
      {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
       "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nA",
       "A"},
      {chunked + "\r\n1;a=\"b\"\r\nA\r\n00A\r\n0123456789\r\n0\r\nT: u\r\n\r\n",
       "A0123456789"},
      {chunked + "\r\n1\r\nA\r\n0\r\n\r\nstray", "A"},
      {chunked + "\r\n0\r\n\r\n", ""},
      {"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", ""},
      {"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", ""},
  };
  std::vector<std::string> responses;
  for (const auto& [response, body] : cases) {
    responses.push_back(response);
  }
  RawPeer peer(responses);
  asio::io_context io;
  auto client = Client::Create(io);
  for (const auto& [response, body] : cases) {
    INFO(response);
    const auto result =
        RunExchange(io, **client, RequestTo(peer.Address(), "GET"));
    CHECK(result.end == ExchangeEnd::kComplete);
    CHECK(result.body == body);
  }
}

// Guards against chunks that are lost or delivered twice when the transfer is
// paused.
TEST_CASE("a chunked response is streamed with pauses") {
  std::string response =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string body;
  for (int i = 0; i < 5000; ++i) {
    auto chunk = std::to_string(i);
    chunk.resize(16, ' ');
    response += "10;n=1\r\n" + chunk + "\r\n";
    body += chunk;
  }
  RawPeer peer({response + "0\r\n\r\n"});
  asio::io_context io;
  auto client = Client::Create(io);
  std::string received;
  int calls = 0;
  std::optional<ExchangeResult> result;
  ExchangeId id = 0;
  asio::steady_timer timer(io);
  ExchangeHandler handler;
  handler.on_start = [](int, const HeaderList&) {};
  handler.on_data = [&](std::string_view data) {
    if (++calls % 2 == 1) {
      timer.expires_after(milliseconds(1));
      timer.async_wait([&](const auto&) { (*client)->Resume(id); });
      return false;
    }
    received += data;
    return true;
  };
  handler.on_end = [&](ExchangeResult ended) { result = std::move(ended); };
  id = (*client)->Start(RequestTo(peer.Address(), "GET"), std::move(handler));
  RunUntil(io, [&] { return result.has_value(); });
  REQUIRE(result.has_value());
  CHECK(result->end == ExchangeEnd::kComplete);
  CHECK(received == body);
  CHECK(calls > 2);
}

// Guards against a request that this server and another reader understand
// differently, and against a rejection that answers an earlier request.
TEST_CASE("a request that breaks the protocol is not served") {
  ServerOptions options;
  options.listen = FreeAddress();
  asio::io_context io;
  int served = 0;
  auto server = Server::Create(io, options, [&](ServerRequest request) {
    ++served;
    request.responder->Send(200, {}, request.body);
  });
  REQUIRE(server);
  const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\n";
  const std::string end = "Content-Length: 1\r\n\r\nA";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::string> malformed = {
      head + "A B: c\r\n" + end,
      head + "A : b\r\n" + end,
      head + "A\x01: b\r\n" + end,
      head + "A: \x01\r\n" + end,
      head + "A: b\r\n folded\r\n" + end,
      head + "Content-Length : 1\r\n\r\nA",
      head + "A: b\n" + end,
      head + "Host: i\r\n" + end,
      "POST /a HTTP/2.0\r\nHost: h\r\n" + end,
      "POST /a\tb HTTP/1.1\r\nHost: h\r\n" + end,
      head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
      chunked + "1\r\nAXX0\r\n\r\n",
      chunked + "1 x\r\nA\r\n0\r\n\r\n"};
  for (const auto& request : malformed) {
    INFO(request);
    const auto response = SendRaw(io, options.listen, request);
    CHECK((response.empty() || response.starts_with("HTTP/1.1 400")));
  }
  CHECK(served == 0);
  CHECK(SendRaw(io, options.listen, malformed[0]).starts_with("HTTP/1.1 400"));
  const auto answer =
      SendRaw(io, options.listen, head + end + head + "A B: c\r\n" + end);
  CHECK(answer.find("400") == std::string::npos);
  CHECK(SendRaw(io, options.listen,
                "\r\n" + chunked + "1;a=b\r\nA\r\n0\r\nT: u\r\n\r\n")
            .ends_with("\r\n\r\nA"));
  CHECK(SendRaw(io, options.listen, head + end + head + end).size() >
        SendRaw(io, options.listen, head + end).size());
}

// Guards against a length or content that the status or the method excludes.
TEST_CASE("a response without content has neither a length nor content") {
  ServerOptions options;
  options.listen = FreeAddress();
  asio::io_context io;
  auto server = Server::Create(io, options, [&](ServerRequest request) {
    request.responder->Send(std::stoi(request.path.substr(1)), {{"A", "b"}},
                            request.method == "HEAD" ? "content" : "");
  });
  REQUIRE(server);
  for (const std::string start :
       {"GET /204", "GET /304", "HEAD /200", "HEAD /503"}) {
    INFO(start);
    const auto request = start + " HTTP/1.1\r\nHost: h\r\n\r\n";
    const auto response = SendRaw(io, options.listen, request + request);
    CHECK(response.find("Content-Length") == std::string::npos);
    CHECK(response.ends_with("A: b\r\n\r\n"));
    // The connection was kept.
    CHECK(response.rfind("HTTP/1.1 " + start.substr(start.find('/') + 1)) > 0);
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
