#include <fmt/format.h>

#include <utility>
#include <vector>

#include "cassiakeel/syntax/malformed_responses.h"
#include "echo.h"
#include "h1_test_support.h"

namespace cassiakeel::h1 {

// Guards against a malformed response that is delivered as an answer. Its
// sender has failed, and the request may have run.
TEST_CASE("a response that breaks the protocol is kNoResponse") {
  const auto responses = syntax::MalformedResponses("Id: 1\r\n");
  TestLoop loop;
  std::atomic<std::size_t> next{0};
  RawServer server([&next, &responses](tcp::socket& socket) {
    ReadHead(socket);
    Reply(socket, responses[next++]);
    socket.close();
  });
  const auto client = Client::Create(loop.io_context, loop.timers, {});
  for (const auto& response : responses) {
    INFO(response);
    CHECK(Run(loop, *client, GetFrom(loop, server.address(), "1")).end ==
          FetchEnd::kNoResponse);
  }
  RawServer invalid_status([](tcp::socket& socket) {
    ReadHead(socket);
    Reply(socket, "HTTP/1.1 000 OK\r\nId: 1\r\n\r\n");
  });
  CHECK(Run(loop, *client, GetFrom(loop, invalid_status.address(), "1"))
            .message == "read status line: status 000 is not allowed");
}

// Guards against a connection that is read out of step after a response without
// content.
TEST_CASE("the length in a response without content is kept and not read") {
  TestLoop loop;
  RawServer server([](tcp::socket& socket) {
    for (const char* status : {"200 OK", "304 Not Modified"}) {
      const auto head = ReadHead(socket);
      const auto id = head.substr(head.find("Id: ") + 4, 1);
      Reply(socket,
            fmt::format("HTTP/1.1 {}\r\nId: {}\r\nContent-Length: 9\r\n\r\n",
                        status, id));
    }
    ReadHead(socket);
    Reply(socket, "HTTP/1.1 200 OK\r\nId: 3\r\nContent-Length: 1\r\n\r\nA");
  });
  const auto client = Client::Create(loop.io_context, loop.timers, {});
  auto fetch = GetFrom(loop, server.address(), "1");
  fetch.request.method = "HEAD";
  const auto head = Run(loop, *client, std::move(fetch));
  CHECK(head.end == FetchEnd::kComplete);
  CHECK(head.response.get_length == 9U);
  const auto unchanged =
      Run(loop, *client, GetFrom(loop, server.address(), "2"));
  CHECK(unchanged.end == FetchEnd::kComplete);
  CHECK(unchanged.response.get_length == 9U);
  const auto last = Run(loop, *client, GetFrom(loop, server.address(), "3"));
  CHECK(last.response.body == "A");
  CHECK_FALSE(last.response.get_length);
  CHECK(client->connections_opened() == 1);
}

// Guards against strictness that rejects what the protocol allows.
TEST_CASE("unusual but valid responses are delivered") {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"HTTP/1.0 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\nA", "A"},
      {"HTTP/1.1 299 \r\nid:1\r\ncontent-length:1\r\n\r\nA", "A"},
      {"HTTP/1.1 200 OK\r\nId: \t1 \r\nA:\r\nB: \xe9\r\n"
       "Content-Length: 1\r\n\r\nA",
       "A"},
      {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
       "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\nA",
       "A"},
      {chunked + "1;a=\"b\"\r\nA\r\n00A;c\r\n0123456789\r\n0\r\nT: u\r\n\r\n",
       "A0123456789"},
      {"HTTP/1.1 204 No Content\r\nId: 1\r\nContent-Length: 0\r\n\r\n", ""},
      {"HTTP/1.1 304 Not Modified\r\nId: 1\r\nContent-Length: 9\r\n\r\n", ""},
      {"HTTP/1.1 205 Reset Content\r\nId: 1\r\n\r\n", ""},
      {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", ""},
  };
  TestLoop loop;
  std::atomic<std::size_t> next{0};
  RawServer server([&next, &cases](tcp::socket& socket) {
    ReadHead(socket);
    Reply(socket, cases[next++].first);
    socket.close();
  });
  const auto client = Client::Create(loop.io_context, loop.timers, {});
  for (const auto& [response, body] : cases) {
    INFO(response);
    const auto result =
        Run(loop, *client, GetFrom(loop, server.address(), "1"));
    CHECK(result.end == FetchEnd::kComplete);
    CHECK(result.response.body == body);
  }
}

// Guards against an earlier refusal that a server sends once more, without the
// id, and that is taken for the response to the next request, which does run.
TEST_CASE("a response without id on a reused connection is kNoResponse") {
  const std::string refusal =
      "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
  TestLoop loop;
  bool is_first = true;
  RawServer server([&refusal, is_first](tcp::socket& socket) mutable {
    ReadHead(socket);
    if (!std::exchange(is_first, false)) {
      Reply(socket, refusal);
      return;
    }
    Reply(socket,
          "HTTP/1.1 503 Full\r\nId: 1\r\nNot-Run: 1\r\n"
          "Content-Length: 0\r\n\r\n");
    ReadHead(socket);
    Reply(socket, refusal +
                      "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 1\r\n"
                      "\r\nA");
  });
  const auto client = Client::Create(loop.io_context, loop.timers, {});
  CHECK(Run(loop, *client, GetFrom(loop, server.address(), "1"))
            .response.status == 503);
  const auto next = Run(loop, *client, GetFrom(loop, server.address(), "2"));
  CHECK(next.end == FetchEnd::kNoResponse);
  CHECK_FALSE(next.fresh_connection);
  // The first response on a new connection can't be a copy.
  CHECK(Run(loop, *client, GetFrom(loop, server.address(), "3"))
            .response.status == 503);
  CHECK(client->connections_opened() == 2);
}

// Guards against a response of another request for a request that has no id.
TEST_CASE("a request without id has a connection of its own") {
  TestLoop loop;
  // Belongs to the server's thread, which ends before its sockets' context.
  auto open_sockets = std::make_shared<std::vector<tcp::socket>>();
  RawServer server(
      [open_sockets = std::move(open_sockets)](tcp::socket& socket) {
        const auto head = ReadHead(socket);
        const bool has_id = head.find("Id: 1") != std::string::npos;
        Reply(socket, std::string("HTTP/1.1 200 OK\r\n") +
                          (has_id ? "Id: 1\r\n" : "") +
                          "Content-Length: 1\r\n\r\nA");
        open_sockets->push_back(std::move(socket));
      });
  const auto client = Client::Create(loop.io_context, loop.timers, {});
  for (const char* id : {"1", "", ""}) {
    CHECK(Run(loop, *client, GetFrom(loop, server.address(), id)).end ==
          FetchEnd::kComplete);
  }
  CHECK(client->connections_opened() == 3);
}

TEST_CASE("a response is matched to its request by all fields with the id") {
  using pvt::Answered;
  const auto find = [](const HeaderList& headers, bool is_first) {
    return pvt::FindAnswered(headers, "Id", "1", is_first);
  };
  for (const bool is_first : {false, true}) {
    CHECK(find({{"id", "1"}}, is_first) == Answered::kCurrent);
    CHECK(find({{"Id", "1"}, {"Id", "1"}}, is_first) == Answered::kCurrent);
    CHECK(find({{"Id", "2"}}, is_first) == Answered::kEarlier);
    CHECK(find({{"Id", ""}}, is_first) == Answered::kEarlier);
    CHECK(find({{"Id", "2"}, {"Id", "1"}}, is_first) == Answered::kUnknown);
    CHECK(pvt::FindAnswered({}, "", "", is_first) == Answered::kCurrent);
  }
  CHECK(pvt::FindAnswered({{"Id", "2"}}, "Id", "", true) == Answered::kOnly);
  CHECK(pvt::FindAnswered({}, "Id", "", false) == Answered::kUnknown);
  CHECK(find({}, true) == Answered::kOnly);
  CHECK(find({}, false) == Answered::kUnknown);
}

}  // namespace cassiakeel::h1
