#include <deque>
#include <vector>

#include "buffer_budget.h"
#include "h1_test_support.h"

namespace cassiakeel::h1 {
namespace {

// Sends `head` and then `chunk` until the peer closes the connection. Returns
// the number of bytes that the socket took.
std::size_t SendEndlessly(tcp::socket& socket,
                          const std::string& head,
                          const std::string& chunk) {
  asio::error_code error;
  std::size_t sent = asio::write(socket, asio::buffer(head), error);
  while (!error) {
    sent += asio::write(socket, asio::buffer(chunk), error);
  }
  return sent;
}

// Limits of the tests below: 4 KiB of header, 256 KiB of body, 512 KiB for all
// responses together.
ClientOptions SmallLimits() {
  ClientOptions options;
  options.limits = {4U << 10U, 256U << 10U};
  options.max_buffered_bytes = 512U << 10U;
  return options;
}

}  // namespace

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

// Guards against a cut response that is delivered as complete: the reset is
// taken by the pending write of the request, and the read sees an end of file.
TEST_CASE("a reset during a long request does not complete a response") {
  TestLoop loop;
  RawServer server([](tcp::socket& socket) {
    ReadHead(socket);
    Reply(socket, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf");
    std::this_thread::sleep_for(milliseconds(100));
    // Part of the request is unread, so that this resets the connection.
    socket.close();
  });
  const auto client = Client::Create(loop.io_context, loop.timers, {});
  for (int i = 0; i < 10; ++i) {
    auto fetch = GetFrom(loop, server.address(), "1");
    fetch.request.method = "POST";
    fetch.request.body = std::string(16U << 20U, 'x');
    fetch.deadline = loop.clock.Now() + milliseconds(2000);
    const auto result = Run(loop, *client, std::move(fetch));
    CHECK(result.end == FetchEnd::kNoResponse);
  }
}

// Guards against a request that is broken off while a server works on it,
// because the server pauses before it reads a long body.
TEST_CASE("a server may read a long request late") {
  TestLoop loop;
  RawServer server([](tcp::socket& socket) {
    for (const bool is_long : {true, false}) {
      const auto head = ReadHead(socket);
      asio::error_code error;
      if (is_long) {
        std::this_thread::sleep_for(milliseconds(1500));
        std::size_t left =
            (8U << 20U) - (head.size() - head.find("\r\n\r\n") - 4);
        std::array<char, 65536> part{};
        while (!error && left > 0) {
          left -= socket.read_some(asio::buffer(part), error);
        }
      }
      const std::string id(1, head[head.find("Id: ") + 4]);
      Reply(socket,
            "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 1\r\n\r\nA");
    }
  });
  ClientOptions options;
  options.dead_peer_timeout = milliseconds(300);
  const auto client = Client::Create(loop.io_context, loop.timers, options);
  auto fetch = GetFrom(loop, server.address(), "1");
  fetch.request.method = "POST";
  fetch.request.body = std::string(8U << 20U, 'x');
  fetch.deadline = loop.clock.Now() + milliseconds(2900);
  const auto late = Run(loop, *client, std::move(fetch));
  CHECK(late.end == FetchEnd::kComplete);
  CHECK(Run(loop, *client, GetFrom(loop, server.address(), "2")).end ==
        FetchEnd::kComplete);
  CHECK(client->connections_opened() == 1);
}

// A server may answer early, close its side, and read the rest of the request.
TEST_CASE("a response that ends before the request is written is complete") {
  TestLoop loop;
  RawServer server([](tcp::socket& socket) {
    ReadHead(socket);
    Reply(socket, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it");
    asio::error_code error;
    socket.shutdown(tcp::socket::shutdown_send, error);
    std::this_thread::sleep_for(milliseconds(100));
    std::array<char, 65536> rest{};
    while (!error) {
      socket.read_some(asio::buffer(rest), error);
    }
  });
  const auto client = Client::Create(loop.io_context, loop.timers, {});
  auto fetch = GetFrom(loop, server.address(), "1");
  fetch.request.method = "POST";
  fetch.request.body = std::string(16U << 20U, 'x');
  fetch.deadline = loop.clock.Now() + milliseconds(2000);
  const auto result = Run(loop, *client, std::move(fetch));
  CHECK(result.end == FetchEnd::kComplete);
  CHECK(result.response.body == "all of it");
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
                                std::to_string(testing::ReservePort()));
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

// Guards against a second copy of a response that is taken for the response to
// the next request, which the client can't tell apart without an id.
TEST_CASE("a connection is not reused if the response repeats no id") {
  TestLoop loop;
  RawServer server([](tcp::socket& socket) {
    ReadHead(socket);
    Reply(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nA");
    std::this_thread::sleep_for(milliseconds(100));
    Reply(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nA");
  });
  const auto client = Client::Create(loop.io_context, loop.timers, {});
  CHECK(
      Run(loop, *client, GetFrom(loop, server.address(), "1")).response.body ==
      "A");
  Run(loop, *client, GetFrom(loop, server.address(), "2"));
  CHECK(client->connections_opened() == 2);
}

// Guards against a late copy of the refusal of an attempt that is taken for the
// outcome of the next attempt of the same request, which does run.
TEST_CASE("a connection is not reused for the id that it has just carried") {
  TestLoop loop;
  // Belongs to the server's thread, which ends before its sockets' context.
  auto open_sockets = std::make_shared<std::vector<tcp::socket>>();
  RawServer server([open_sockets =
                        std::move(open_sockets)](tcp::socket& socket) {
    ReadHead(socket);
    Reply(socket, "HTTP/1.1 503 Full\r\nId: 1\r\nContent-Length: 0\r\n\r\n");
    open_sockets->push_back(std::move(socket));
  });
  const auto client = Client::Create(loop.io_context, loop.timers, {});
  Run(loop, *client, GetFrom(loop, server.address(), "1"));
  CHECK(Run(loop, *client, GetFrom(loop, server.address(), "1")).end ==
        FetchEnd::kComplete);
  CHECK(client->connections_opened() == 2);
}

TEST_CASE("a copy that arrives on an idle connection closes it") {
  TestLoop loop;
  RawServer server([](tcp::socket& socket) {
    const auto head = ReadHead(socket);
    const auto id = head.substr(head.find("Id: ") + 4, 1);
    const std::string response =
        "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 1\r\n\r\nA";
    Reply(socket, response);
    std::this_thread::sleep_for(milliseconds(20));
    // The beginning of a second copy; the rest would follow inside the next
    // response.
    Reply(socket, response.substr(0, 30));
    ReadHead(socket);
  });
  const auto client = Client::Create(loop.io_context, loop.timers, {});
  Run(loop, *client, GetFrom(loop, server.address(), "1"));
  // The copy has arrived, and the client has not looked at the socket since.
  std::this_thread::sleep_for(milliseconds(60));
  CHECK(Run(loop, *client, GetFrom(loop, server.address(), "2")).end ==
        FetchEnd::kComplete);
  CHECK(client->connections_opened() == 2);
}

// Guards against a faulty server that exhausts the memory of the node or keeps
// it busy. The connection is closed long before the deadline.
TEST_CASE("bytes without end are bounded and fail the fetch") {
  const auto limits = SmallLimits();
  const std::string filler(16U << 10U, 'x');
  struct Input {
    std::string name;
    std::string head;
    std::string chunk;
  };
  const std::string stale =
      "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nok";
  const std::vector<Input> inputs = {
      {"bytes that are no response", "", filler},
      {"empty lines before the status line", "", "\r\n\r\n\r\n\r\n"},
      {"a reason phrase", "HTTP/1.1 200 ", filler},
      {"a field name", "HTTP/1.1 200 OK\r\n", filler},
      {"a field value", "HTTP/1.1 200 OK\r\nX: ", filler},
      {"fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
      {"empty fields", "HTTP/1.1 200 OK\r\n", "X:\r\n"},
      {"a body until the close", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", filler},
      {"a body of the longest length",
       "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\n",
       filler},
      {"a chunked body",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
      {"a chunk extension",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", filler},
      {"trailer fields",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
       "X: y\r\n"},
      {"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
      {"responses to another request", "", stale},
  };
  for (const auto& input : inputs) {
    INFO(input.name);
    TestLoop loop;
    // Large writes, so that the time goes into the client.
    std::string chunk = input.chunk;
    while (chunk.size() < filler.size()) {
      chunk += input.chunk;
    }
    std::atomic<std::size_t> sent{0};
    RawServer server([&](tcp::socket& socket) {
      ReadHead(socket);
      sent = SendEndlessly(socket, input.head, chunk);
    });
    const auto client = Client::Create(loop.io_context, loop.timers, limits);
    auto fetch = GetFrom(loop, server.address(), "1");
    fetch.deadline = loop.clock.Now() + std::chrono::seconds(20);
    const auto result = Run(loop, *client, std::move(fetch));
    CHECK(result.end == FetchEnd::kNoResponse);
    CHECK(client->buffered_bytes() == 0);
    loop.RunUntil([&sent] { return sent > 0; });
    // What the client read, and the socket buffers of both ends.
    CHECK(sent < limits.max_buffered_bytes + (16U << 20U));
  }
}

TEST_CASE("one byte at a time without end fails at the deadline") {
  TestLoop loop;
  RawServer server([](tcp::socket& socket) {
    ReadHead(socket);
    asio::error_code error;
    asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nX: ")),
                error);
    while (!error) {
      std::this_thread::sleep_for(milliseconds(5));
      asio::write(socket, asio::buffer(std::string("x")), error);
    }
  });
  const auto client = Client::Create(loop.io_context, loop.timers, {});
  auto fetch = GetFrom(loop, server.address(), "1");
  fetch.deadline = loop.clock.Now() + milliseconds(100);
  const auto result = Run(loop, *client, std::move(fetch));
  CHECK(result.end == FetchEnd::kTimeout);
}

// The load this answers: messages without an end, one or several, beside usual
// ones.
TEST_CASE("endless messages leave their share of the budget to others") {
  constexpr std::size_t kLimit = 1000;
  for (const std::size_t count : {1U, 3U, 9U}) {
    pvt::BufferBudget budget;
    std::deque<pvt::BufferShare> endless;
    for (std::size_t i = 0; i < count; ++i) {
      endless.emplace_back(budget);
    }
    // All grow by one byte in turn, until each has reached its share.
    std::vector<std::size_t> held(count, 0);
    for (std::size_t step = 0; step < kLimit; ++step) {
      for (std::size_t i = 0; i < count; ++i) {
        endless[i].Set(held[i] + 1);
        if (endless[i].Fits(kLimit)) {
          ++held[i];
        } else {
          endless[i].Set(held[i]);
        }
      }
    }
    INFO(count);
    CHECK(budget.used() <= kLimit * count / (count + 1));
    CHECK(budget.used() >= kLimit * count / (count + 1) - count);
    pvt::BufferShare usual(budget);
    usual.Set(kLimit / (count + 1) / 2);
    CHECK(usual.Fits(kLimit));
    endless.clear();
    usual.Set(0);
    CHECK(budget.used() == 0);
  }
}

// Guards against several faulty servers that together exhaust the memory of the
// node, and against other servers failing because of them.
TEST_CASE("endless bodies leave memory for other responses") {
  TestLoop loop;
  const auto limits = SmallLimits();
  const std::string filler(16U << 10U, 'x');
  RawServer sound([](tcp::socket& socket) {
    ReadHead(socket);
    Reply(socket, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nsound");
    ReadHead(socket);
  });
  std::vector<std::unique_ptr<RawServer>> endless;
  const auto client = Client::Create(loop.io_context, loop.timers, limits);
  int failed = 0;
  const auto start = [&](const PeerAddress& address) {
    auto fetch = GetFrom(loop, address, "1");
    fetch.deadline = loop.clock.Now() + std::chrono::seconds(20);
    client->Start(std::move(fetch), [&failed](const FetchResult& result) {
      failed += result.end == FetchEnd::kNoResponse ? 1 : 0;
    });
  };
  for (int i = 0; i < 8; ++i) {
    endless.push_back(
        std::make_unique<RawServer>([&filler](tcp::socket& socket) {
          ReadHead(socket);
          // Each stays below the limit of one response and never ends it.
          Reply(socket, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n");
          asio::error_code error;
          for (int k = 0; k < 15 && !error; ++k) {
            asio::write(socket, asio::buffer(filler), error);
          }
          std::array<char, 1> rest{};
          socket.read_some(asio::buffer(rest), error);
        }));
    start(endless.back()->address());
  }
  loop.RunUntil([&failed] { return failed == 7; });
  CHECK(client->buffered_bytes() <= limits.max_buffered_bytes);
  CHECK(Run(loop, *client, GetFrom(loop, sound.address(), "1")).response.body ==
        "sound");
}

}  // namespace cassiakeel::h1
