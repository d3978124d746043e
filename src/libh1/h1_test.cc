#define CATCH_CONFIG_MAIN
#include <vector>

#include "cassiakeel/base/alter_text.h"
#include "h1_test_support.h"
#include "parser.h"

namespace cassiakeel::h1 {

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
  // Empty lines before the request line are ignored (RFC 9112, section 2.2),
  // but not without end.
  std::string empty_lines;
  for (int i = 0; i < 2000; ++i) {
    empty_lines += "\r\n";
  }
  CHECK(SendAndReceive(loop, empty_lines).starts_with("HTTP/1.1 431"));
  CHECK(served == 0);
}

// Guards against a request that another reader takes for two, or for one with
// other fields (RFC 9112, sections 2.2, 5, 6 and 7).
TEST_CASE("a request that breaks the protocol gets 400 and is not served") {
  TestLoop loop;
  int served = 0;
  const auto server = loop.Serve([&served](std::shared_ptr<Exchange> exchange) {
    ++served;
    exchange->Respond({200, {}, {}});
  });
  const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\n";
  const std::string end = "Content-Length: 1\r\n\r\nA";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  CHECK(SendAndReceive(loop, head + "X:\t\xe9 \r\n" + end)
            .starts_with("HTTP/1.1 200"));
  CHECK(SendAndReceive(loop, chunked + "1;a=b\r\nA\r\n0\r\nT: u\r\n\r\n")
            .starts_with("HTTP/1.1 200"));
  REQUIRE(served == 2);
  const std::vector<std::string> malformed = {
      head + "A B: c\r\n" + end,
      head + "A : b\r\n" + end,
      head + "Content-Length : 1\r\n\r\nA",
      head + "A\x01: b\r\n" + end,
      head + "A: b\r\n folded\r\n" + end,
      head + "A: b\n" + end,
      head + "Host: i\r\n" + end,
      head + ": b\r\n" + end,
      "POST /a HTTP/1.1\r\n Host: h\r\n" + end,
      "POST /a HTTP/2.0\r\nHost: h\r\n" + end,
      "POST /a\tb HTTP/1.1\r\nHost: h\r\n" + end,
      "POST /a\x80 HTTP/1.1\r\nHost: h\r\n" + end,
      head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
      "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      chunked + "1\r\nAXX0\r\n\r\n",
      chunked + "1 x\r\nA\r\n0\r\n\r\n",
      chunked + "1\r\nA\r\n0\r\nT u: v\r\n\r\n",
      chunked + "1\nA\r\n0\r\n\r\n"};
  for (const auto& request : malformed) {
    INFO(request);
    const auto response = SendAndReceive(loop, request);
    CHECK(response.starts_with("HTTP/1.1 400"));
    CHECK(response.find("Connection: close") != std::string::npos);
  }
  CHECK(served == 2);
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

// Guards against a length or content that the status or the method excludes;
// the reader would take the next response for content, or wait for content that
// never comes (RFC 9110, section 8.6; RFC 9112, section 6.3).
TEST_CASE("a response is written as its status and method allow") {
  TestLoop loop;
  Response next;
  const auto server = loop.Serve([&next](std::shared_ptr<Exchange> exchange) {
    exchange->Respond(next, true);
  });
  const auto answer_to = [&loop, &next](const std::string& method,
                                        Response response) {
    next = std::move(response);
    return SendAndReceive(loop, method + " / HTTP/1.1\r\nHost: h\r\n\r\n");
  };
  const std::string close = "Connection: close\r\n\r\n";
  CHECK(answer_to("GET", {200, {}, "abc"}) ==
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + close + "abc");
  CHECK(answer_to("GET", {503, {}, {}}) ==
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n" + close);
  CHECK(answer_to("GET", {204, {{"A", "b"}}, {}}) ==
        "HTTP/1.1 204 No Content\r\nA: b\r\n" + close);
  CHECK(answer_to("GET", {205, {}, {}}) ==
        "HTTP/1.1 205 Reset Content\r\nContent-Length: 0\r\n" + close);
  CHECK(answer_to("GET", {304, {}, {}}) ==
        "HTTP/1.1 304 Not Modified\r\n" + close);
  CHECK(answer_to("GET", {304, {}, {}, 9}) ==
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n" + close);
  CHECK(answer_to("HEAD", {200, {}, {}, 9}) ==
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n" + close);
  CHECK(answer_to("HEAD", {200, {}, {}}) == "HTTP/1.1 200 OK\r\n" + close);
  CHECK(answer_to("HEAD", {200, {}, "abc"}) ==
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + close);
  CHECK(answer_to("HEAD", {204, {}, {}}) ==
        "HTTP/1.1 204 No Content\r\n" + close);
}

// Guards against an interim response that a client of HTTP/1.0 takes for the
// final one.
TEST_CASE("only clients of HTTP/1.1 are told to continue") {
  TestLoop loop;
  const auto server = loop.Serve([](std::shared_ptr<Exchange> exchange) {
    exchange->Respond({200, {}, {}});
  });
  const std::string fields =
      "Host: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n";
  CHECK(SendAndReceive(loop, "POST / HTTP/1.1\r\n" + fields)
            .starts_with("HTTP/1.1 100 Continue\r\n\r\n"));
  CHECK(SendAndReceive(loop, "POST / HTTP/1.0\r\n" + fields).empty());
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

// Guards against a process that was paused giving a request its whole time
// limit once more, although the caller stopped waiting meanwhile.
TEST_CASE("a request counts as received when it arrived, not when it is read") {
  TestLoop loop;
  std::optional<SteadyTime> received;
  const auto server = loop.Serve([&](std::shared_ptr<Exchange> exchange) {
    received = exchange->received();
    exchange->Respond({200, {}, {}});
  });
  tcp::socket socket(loop.io_context);
  socket.connect(EndpointOf(loop.address));
  loop.RunFor(milliseconds(20));
  const auto sent = loop.clock.Now();
  asio::write(socket,
              asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")));
  // Nothing runs in this process meanwhile.
  std::this_thread::sleep_for(milliseconds(300));
  loop.RunUntil([&received] { return received.has_value(); });
  CHECK(*received < sent + milliseconds(100));
  CHECK(*received > sent - milliseconds(100));
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

TEST_CASE("a connection idle for longer than max_idle is not reused") {
  TestLoop loop;
  RawServer server([](tcp::socket& socket) {
    for (auto head = ReadHead(socket); !head.empty(); head = ReadHead(socket)) {
      const auto id = head.substr(head.find("Id: ") + 4, 1);
      Reply(socket,
            "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n");
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
    Run(loop, *client, GetFrom(loop, server.address(), "2"));
    CHECK(client->connections_opened() == 1);
    std::this_thread::sleep_for(milliseconds(30));
    client->CloseIdleConnections(server.address());
    auto fetch = GetFrom(loop, server.address(), "3");
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
