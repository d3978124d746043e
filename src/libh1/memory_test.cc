#include "h1_test_support.h"
#include "memory_decisions.h"

namespace cassiakeel::h1 {
namespace {

constexpr std::size_t kKiB = 1024;
constexpr std::size_t kMiB = 1024 * kKiB;
constexpr std::size_t kLimit = 72 * kMiB;
const SteadyTime kNow{std::chrono::hours(1)};

pvt::ConnectionUse Use(pvt::Holding holding,
                       std::size_t held,
                       milliseconds idle) {
  return {holding, held, kNow - idle};
}

}  // namespace

// Guards against a policy's largest body being refused by an idle node, and
// against several bodies that leave nothing for responses.
TEST_CASE("one request may be large, several share half of the memory") {
  const auto fits = [](std::size_t used, std::size_t held, std::size_t size) {
    return pvt::RequestFits({used, kLimit}, held, size);
  };
  CHECK(fits(0, 0, 64 * kMiB + 16 * kKiB));
  CHECK(fits(66 * kMiB, 64 * kMiB, 64 * kMiB + 16 * kKiB));
  CHECK(fits(16 * kMiB, 0, 16 * kMiB));
  CHECK_FALSE(fits(32 * kMiB, 0, 16 * kMiB));
  CHECK_FALSE(fits(64 * kMiB, 0, kMiB));
  CHECK(fits(kLimit - kMiB, 0, 16 * kKiB));
  CHECK_FALSE(fits(kLimit, 0, 16 * kKiB));
}

TEST_CASE("a busy connection is read on up to a small bound") {
  CHECK(pvt::ShouldReadAhead(0));
  CHECK_FALSE(pvt::ShouldReadAhead(pvt::kMaxReadAheadBytes));
}

// Guards against closing a peer that reads, or one whose work has run, while
// others hold memory without need.
TEST_CASE("stalled connections are closed first, among them the largest") {
  using pvt::CloseRank;
  using pvt::Holding;
  std::vector<pvt::ConnectionUse> all = {
      Use(Holding::kServed, 9 * kMiB, milliseconds(9000)),
      Use(Holding::kResponse, 3 * kMiB, milliseconds(0)),
      Use(Holding::kResponse, 2 * kMiB, milliseconds(600)),
      Use(Holding::kRequest, kMiB, milliseconds(0)),
      Use(Holding::kRequest, kKiB, milliseconds(3000)),
      Use(Holding::kResponse, 2 * kKiB, milliseconds(4000)),
      Use(Holding::kResponse, 0, milliseconds(4000))};
  std::vector<std::size_t> order;
  while (const auto next =
             pvt::ConnectionToClose(all, CloseRank::kProgressing, kNow)) {
    order.push_back(*next);
    all[*next].held = 0;
  }
  CHECK(order == std::vector<std::size_t>{5, 4, 3, 2, 1});
  all[1].held = kMiB;
  CHECK_FALSE(pvt::ConnectionToClose(all, CloseRank::kStalled, kNow));
}

// Guards against a stack overflow and memory quadratic in the number of
// requests that one connection sends ahead.
TEST_CASE("thousands of pipelined requests are answered") {
  constexpr std::size_t kRequests = 20000;
  TestLoop loop;
  std::size_t served = 0;
  const auto server = loop.Serve([&](std::shared_ptr<Exchange> exchange) {
    ++served;
    exchange->Respond({200, {}, {}});
  });
  std::string bytes;
  for (std::size_t i = 0; i < kRequests; ++i) {
    bytes.append("GET / HTTP/1.1\r\n\r\n");
  }
  tcp::socket socket(loop.io_context);
  socket.connect(EndpointOf(loop.address));
  asio::async_write(socket, asio::buffer(bytes),
                    [](asio::error_code, std::size_t) {});
  std::array<char, 65536> sink{};
  std::function<void()> read = [&] {
    socket.async_read_some(asio::buffer(sink),
                           [&](asio::error_code error, std::size_t) {
                             if (!error) {
                               read();
                             }
                           });
  };
  read();
  loop.RunUntil([&] { return served == kRequests; }, milliseconds(20000));
}

// Guards against responses that wait to be read without any budget.
TEST_CASE("clients that read nothing leave the memory to others") {
  constexpr std::size_t kMemory = 16 * kMiB;
  constexpr int kClients = 8;
  TestLoop loop;
  std::vector<ServerLimit> reports;
  const auto memory = ServerMemory::Create(
      kMemory,
      [&](const LimitReport& report) { reports.push_back(report.limit); });
  std::size_t peak = 0;
  const auto server = loop.Serve(
      [&](std::shared_ptr<Exchange> exchange) {
        const bool large = exchange->request().target == "/large";
        exchange->Respond(
            {200, {}, large ? std::string(8 * kMiB, 'x') : "small"});
        peak = std::max(peak, memory->used_bytes());
      },
      memory);
  std::vector<tcp::socket> sockets;
  for (int i = 0; i < kClients; ++i) {
    sockets.emplace_back(loop.io_context);
    sockets.back().open(tcp::v4());
    sockets.back().set_option(asio::socket_base::receive_buffer_size(4096));
    sockets.back().connect(EndpointOf(loop.address));
    asio::write(sockets.back(),
                asio::buffer(std::string("GET /large HTTP/1.1\r\n\r\n")));
  }
  loop.RunUntil([&] { return !reports.empty(); });
  loop.RunFor(milliseconds(100));
  CHECK(peak <= kMemory);
  CHECK(SendAndReceive(loop, "GET /small HTTP/1.1\r\n\r\n").ends_with("small"));
  // Each response is either complete or visibly broken off.
  int broken_off = 0;
  for (auto& socket : sockets) {
    socket.set_option(asio::socket_base::receive_buffer_size(512 * 1024));
    socket.non_blocking(true);
    std::size_t received = 0;
    asio::error_code error;
    loop.RunUntil(
        [&] {
          std::vector<char> buffer(kMiB);
          received += socket.read_some(asio::buffer(buffer), error);
          return received > 8 * kMiB ||
                 (error && error != asio::error::would_block);
        },
        milliseconds(10000));
    broken_off += static_cast<int>(received <= 8 * kMiB);
  }
  CHECK(broken_off == static_cast<int>(reports.size()));
}

// Guards against one address taking the descriptors of the others.
TEST_CASE("connections beyond the limit are closed and reported") {
  TestLoop loop;
  loop.limits.max_connections = 1;
  std::vector<ServerLimit> reports;
  const auto memory = ServerMemory::Create(
      kMiB,
      [&](const LimitReport& report) { reports.push_back(report.limit); });
  const auto server = loop.Serve(
      [](std::shared_ptr<Exchange> exchange) {
        exchange->Respond({200, {}, {}});
      },
      memory);
  tcp::socket first(loop.io_context);
  first.connect(EndpointOf(loop.address));
  loop.RunUntil([&] { return server->OpenConnections() == 1; });
  tcp::socket second(loop.io_context);
  second.connect(EndpointOf(loop.address));
  loop.RunUntil([&] { return !reports.empty(); });
  CHECK(reports == std::vector<ServerLimit>{ServerLimit::kConnections});
  CHECK(server->OpenConnections() == 1);
}

// Guards against a refusal after the request has run, and against bodies that
// are read although there is no room for them.
TEST_CASE("a body that does not fit is refused before it is read") {
  TestLoop loop;
  loop.limits.message.body_bytes = 8 * kMiB;
  const auto memory = ServerMemory::Create(4 * kMiB);
  bool ran = false;
  const auto server = loop.Serve(
      [&ran](std::shared_ptr<Exchange> exchange) {
        ran = true;
        exchange->Respond({200, {}, {}});
      },
      memory);
  const auto text = SendAndReceive(
      loop, "POST / HTTP/1.1\r\nContent-Length: 8388608\r\n\r\n");
  CHECK(text.starts_with("HTTP/1.1 503"));
  CHECK(text.find("Retry-After: ") != std::string::npos);
  CHECK_FALSE(ran);
  CHECK(memory->used_bytes() == 0);
}

// Guards against cutting off a slow client that reads all the time.
TEST_CASE("a response is delivered late as long as the client reads") {
  // Several times what the socket buffers take.
  constexpr std::size_t kBody = 16 * kMiB;
  TestLoop loop;
  loop.limits.stall_timeout = milliseconds(200);
  const auto server = loop.Serve([](std::shared_ptr<Exchange> exchange) {
    exchange->Respond({200, {}, std::string(kBody, 'x')});
  });
  tcp::socket socket(loop.io_context);
  socket.open(tcp::v4());
  socket.set_option(asio::socket_base::receive_buffer_size(512 * 1024));
  socket.connect(EndpointOf(loop.address));
  asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  socket.non_blocking(true);
  std::size_t received = 0;
  const auto started = loop.clock.Now();
  loop.RunUntil(
      [&] {
        std::array<char, 65536> buffer{};
        asio::error_code error;
        received += socket.read_some(asio::buffer(buffer), error);
        return received > kBody;
      },
      milliseconds(10000));
  // Longer than the timeout for a client that does not read.
  CHECK(loop.clock.Now() - started > loop.limits.stall_timeout);
}

}  // namespace cassiakeel::h1
