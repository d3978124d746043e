#include <asio/steady_timer.hpp>
#include <utility>

#include "cassiakeel/syntax/malformed_responses.h"
#include "http_test_support.h"

namespace cassiakeel::http {
namespace {

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
  responses.reserve(cases.size());
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

}  // namespace cassiakeel::http
