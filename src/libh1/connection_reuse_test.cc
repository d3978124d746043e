#include <vector>

#include "h1_test_support.h"

namespace cassiakeel::h1 {
namespace {

// Responds to requests with their id, so that the connections can be kept.
ExchangeHandler RepeatId() {
  return [](const std::shared_ptr<Exchange>& exchange) {
    const auto* id = FindHeader(exchange->request().headers, "Id");
    REQUIRE(id != nullptr);
    exchange->Respond({200, {{"Id", *id}}, "A"});
  };
}

// Waits until bytes arrive, for `limit` at most.
bool HasBytesWithin(tcp::socket& socket, milliseconds limit) {
  for (auto waited = milliseconds(0); waited < limit;
       waited += milliseconds(5)) {
    if (socket.available() > 0) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  return false;
}

}  // namespace

// Guards against a late copy of the refusal of a request that is taken for the
// response to its next attempt, which does run: both have the same id.
TEST_CASE("a connection does not carry an id again after other requests") {
  TestLoop loop;
  // Belongs to the server's thread, which ends before its sockets' context.
  auto open_sockets = std::make_shared<std::vector<tcp::socket>>();
  RawServer server([open_sockets =
                        std::move(open_sockets)](tcp::socket& socket) {
    const std::string refusal =
        "HTTP/1.1 503 Full\r\nId: 1\r\nContent-Length: 0\r\n\r\n";
    ReadHead(socket);
    if (open_sockets->empty()) {
      Reply(socket, refusal);
      ReadHead(socket);
      Reply(socket, "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 1\r\n\r\nA");
      if (HasBytesWithin(socket, milliseconds(200))) {
        Reply(socket, refusal);
      }
    } else {
      Reply(socket, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\nA");
    }
    open_sockets->push_back(std::move(socket));
  });
  const auto client = Client::Create(loop.io_context, loop.timers, {});
  Run(loop, *client, GetFrom(loop, server.address(), "1"));
  Run(loop, *client, GetFrom(loop, server.address(), "2"));
  CHECK(client->connections_opened() == 1);
  const auto result = Run(loop, *client, GetFrom(loop, server.address(), "1"));
  CHECK(result.end == FetchEnd::kComplete);
  CHECK(result.response.status == 200);
  CHECK(client->connections_opened() == 2);
}

// Guards against a new connection for each request that is sent again.
TEST_CASE("a request that is sent again uses an idle connection without it") {
  TestLoop loop;
  const auto server = loop.Serve(RepeatId());
  const auto client = Client::Create(loop.io_context, loop.timers, {});
  int done = 0;
  for (const std::string id : {"1", "2"}) {
    client->Start(GetFrom(loop, loop.address, id),
                  [&done](const FetchResult&) { ++done; });
  }
  loop.RunUntil([&done] { return done == 2; });
  REQUIRE(client->connections_opened() == 2);
  for (const std::string id : {"1", "2"}) {
    CHECK(Run(loop, *client, GetFrom(loop, loop.address, id)).end ==
          FetchEnd::kComplete);
  }
  CHECK(client->connections_opened() == 2);
  Run(loop, *client, GetFrom(loop, loop.address, "1"));
  CHECK(client->connections_opened() == 3);
}

// Guards against memory that grows with the age of a connection.
TEST_CASE("a connection is replaced after 1000 requests") {
  TestLoop loop;
  const auto server = loop.Serve(RepeatId());
  const auto client = Client::Create(loop.io_context, loop.timers, {});
  for (int i = 0; i < 1000; ++i) {
    Run(loop, *client, GetFrom(loop, loop.address, std::to_string(i)));
  }
  CHECK(client->connections_opened() == 1);
  CHECK(Run(loop, *client, GetFrom(loop, loop.address, "next")).end ==
        FetchEnd::kComplete);
  CHECK(client->connections_opened() == 2);
}

}  // namespace cassiakeel::h1
