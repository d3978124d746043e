#define CATCH_CONFIG_MAIN
#include <asio.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <thread>

#include "cassiakeel/platform/http_platform.h"
#include "cassiakeel/platform/memory_platform.h"
#include "cassiakeel/syntax/malformed_responses.h"
#include "platform_service.h"

namespace cassiakeel::platform {

namespace {

using std::chrono::milliseconds;

/// Whether the call throws, and with which `may_have_applied`.
template <typename Call>
std::optional<bool> FailureOf(Call call) {
  try {
    call();
  } catch (const PlatformException& failure) {
    return failure.may_have_applied();
  }
  return std::nullopt;
}

/// Accepts one connection, reads a request head and sends `answer`. An empty
/// answer closes the connection, or keeps it open while `silent`.
class OneShotServer {
 public:
  explicit OneShotServer(const std::string& answer, bool silent = false)
      : acceptor(this->context, {asio::ip::address_v4::loopback(), 0}),
        thread([this, answer, silent] { this->Serve(answer, silent); }) {}
  ~OneShotServer() {
    this->released.store(true);
    this->thread.join();
  }

  std::unique_ptr<HttpPlatform> Client() {
    const auto port = this->acceptor.local_endpoint().port();
    return std::move(*HttpPlatform::Create(
        {PeerAddress("127.0.0.1:" + std::to_string(port)), milliseconds(300)}));
  }

 private:
  void Serve(const std::string& answer, bool silent) {
    asio::ip::tcp::socket socket(this->context);
    this->acceptor.accept(socket);
    std::string head;
    asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n");
    if (!answer.empty()) {
      asio::write(socket, asio::buffer(answer));
    }
    while (silent && !this->released.load()) {
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

  asio::io_context context;
  asio::ip::tcp::acceptor acceptor;
  std::atomic<bool> released{false};
  std::thread thread;
};

/// The platform's test double on a thread of its own.
class ServiceThread {
 public:
  ServiceThread() {
    // A free port, as the system gives it out.
    asio::ip::tcp::acceptor probe(this->context,
                                  {asio::ip::address_v4::loopback(), 0});
    this->address =
        "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
    probe.close();
    this->service = std::move(
        *testsuite::PlatformService::Create(this->context, {this->address}));
    this->thread = std::thread([this] { this->context.run(); });
  }
  ~ServiceThread() {
    this->context.stop();
    this->thread.join();
  }

  std::unique_ptr<HttpPlatform> Client() const {
    return std::move(
        *HttpPlatform::Create({PeerAddress(this->address), milliseconds(300)}));
  }
  void Control(const std::string& body) {
    asio::io_context client_context;
    testsuite::HttpClient client(client_context);
    client.Send({"POST", this->address, "/control", {}, body}, [](auto) {});
    client_context.run_for(milliseconds(200));
  }

 private:
  asio::io_context context;
  std::string address;
  std::unique_ptr<testsuite::PlatformService> service;
  std::thread thread;
};

const std::vector<Write> kOneWrite = {{"a", "1", std::nullopt}};

std::string StatusOnly(const std::string& status) {
  return "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n";
}

}  // namespace

// Guards against a transaction that is applied in part.
TEST_CASE("a conflicting transaction changes nothing") {
  MemoryPlatform platform;
  Table& table = platform.table();
  const Commit first = table.Transact({{"a", "1", 0}, {"b", "2", 0}});
  CHECK(first.applied);
  CHECK(first.versions == std::vector<std::uint64_t>{1, 1});
  const Commit second = table.Transact({{"a", "x", 1}, {"b", "y", 7}});
  CHECK_FALSE(second.applied);
  CHECK(second.conflict_key == "b");
  CHECK(table.Get("a")->value == "1");
}

// Guards against a deleted and recreated row that passes for the old one.
TEST_CASE("a row created again has a higher version") {
  MemoryPlatform platform;
  Table& table = platform.table();
  table.Transact({{"a", "1", 0}});
  table.Transact({{"a", std::nullopt, 1}});
  CHECK_FALSE(table.Get("a"));
  CHECK(table.Transact({{"a", "2", 0}}).applied);
  CHECK_FALSE(table.Transact({{"a", "3", 1}}).applied);
}

TEST_CASE("scan returns a prefix in pages") {
  MemoryPlatform platform;
  Table& table = platform.table();
  table.Transact({{"n/1", "", {}},
                  {"n/2", "", {}},
                  {"n/3", "", {}},
                  {"m", "", {}},
                  {"o", "", {}}});
  const auto page = table.Scan("n/", "", 2);
  REQUIRE(page.size() == 2);
  CHECK(page[0].key == "n/1");
  const auto rest = table.Scan("n/", page.back().key, 2);
  REQUIRE(rest.size() == 1);
  CHECK(rest[0].key == "n/3");
}

// Guards against a lost answer that is reported as a failed write.
TEST_CASE("a lost answer leaves the write applied and undecided") {
  MemoryPlatform platform;
  platform.LoseNextWriteAnswers();
  CHECK(FailureOf([&] { platform.table().Transact(kOneWrite); }) == true);
  CHECK(platform.table().Get("a")->value == "1");
  CHECK(platform.table().Transact(kOneWrite).applied);
  platform.SetDown(true);
  CHECK(FailureOf([&] { platform.table().Transact(kOneWrite); }) == false);
  CHECK(FailureOf([&] { platform.objects().Get("o"); }) == false);
  platform.SetDown(false);
  CHECK(platform.table().Get("a")->version == 2);
}

// Guards against two writers that both win a conditional write.
TEST_CASE("concurrent conditional writes have one winner each") {
  MemoryPlatform platform;
  constexpr int kThreads = 4;
  constexpr std::uint64_t kRounds = 200;
  std::atomic<std::uint64_t> wins{0};
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (std::uint64_t version = 0; version < kRounds; ++version) {
        wins += platform.table().Transact({{"head", "x", version}}).applied;
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  CHECK(wins == platform.table().Get("head")->version);
}

// Guards against a write that is reported as not applied although the platform
// may have taken it, and against needless doubt after a plain refusal.
TEST_CASE("may_have_applied follows from how a write over HTTP failed") {
  const auto write_fails_with = [](OneShotServer& server) {
    const auto client = server.Client();
    return FailureOf([&] { client->table().Transact(kOneWrite); });
  };
  SECTION("connection closed") {
    OneShotServer server("");
    CHECK(write_fails_with(server) == true);
  }
  SECTION("silent connection") {
    OneShotServer server("", true);
    CHECK(write_fails_with(server) == true);
  }
  SECTION("answer cut off") {
    OneShotServer server("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{");
    CHECK(write_fails_with(server) == true);
  }
  SECTION("answer for another request") {
    OneShotServer server(
        "HTTP/1.1 200 OK\r\nContent-Length: 32\r\n\r\n"
        "{\"applied\":true,\"versions\":[1,2]}");
    CHECK(write_fails_with(server) == true);
  }
  SECTION("unknown server error") {
    OneShotServer server(StatusOnly("500 Internal Server Error"));
    CHECK(write_fails_with(server) == true);
  }
  SECTION("answers that break the protocol") {
    for (const auto& answer : syntax::MalformedResponses("X: y\r\n")) {
      INFO(answer);
      OneShotServer server(answer);
      CHECK(write_fails_with(server) == true);
      OneShotServer object_server(answer);
      const auto client = object_server.Client();
      CHECK(FailureOf([&] { client->objects().Get("o"); }) == false);
    }
    // The refusal would be believed if it were well-formed.
    OneShotServer server(
        "HTTP/1.1 503 Service Unavailable\r\nA B: c\r\n"
        "Content-Length: 0\r\n\r\n");
    CHECK(write_fails_with(server) == true);
  }
  SECTION("rate limit") {
    OneShotServer server(StatusOnly("429 Too Many Requests"));
    CHECK(write_fails_with(server) == false);
  }
  SECTION("down") {
    OneShotServer server(StatusOnly("503 Service Unavailable"));
    CHECK(write_fails_with(server) == false);
  }
  SECTION("a read is never in doubt") {
    OneShotServer server("", true);
    const auto client = server.Client();
    CHECK(FailureOf([&] { client->table().Get("a"); }) == false);
  }
}

TEST_CASE("a refused connection leaves no doubt about a write") {
  asio::io_context context;
  asio::ip::tcp::acceptor unused(context,
                                 {asio::ip::address_v4::loopback(), 0});
  const auto port = std::to_string(unused.local_endpoint().port());
  unused.close();
  const auto client =
      std::move(*HttpPlatform::Create({PeerAddress("127.0.0.1:" + port)}));
  CHECK(FailureOf([&] { client->objects().Put("o", "x"); }) == false);
}

// Guards against client and service that disagree on encoding, versions,
// conflicts or binary objects.
TEST_CASE("the HTTP client carries what the service holds") {
  const ServiceThread service;
  const auto client = service.Client();
  Table& table = client->table();
  const std::string key = "node/a b%2F?&=\xc3\xa9";
  CHECK(table.Transact({{key, "{\"v\":\"\xc3\xa9\"}", 0}}).applied);
  CHECK(table.Transact({{key, "2", 1}}).versions ==
        std::vector<std::uint64_t>{2});
  const Commit conflict = table.Transact({{"x", "1", {}}, {key, "3", 1}});
  CHECK_FALSE(conflict.applied);
  CHECK(conflict.conflict_key == key);
  CHECK(table.Get(key)->version == 2);
  CHECK_FALSE(table.Get("x"));
  REQUIRE(table.Scan("node/a b%", "", 10).size() == 1);
  CHECK(table.Scan("node/", key, 10).empty());
  CHECK(table.Transact({{key, std::nullopt, 2}}).applied);
  CHECK_FALSE(table.Get(key));
  CHECK(FailureOf([&] { table.Transact({{"bad", "\xff", {}}}); }) == false);

  std::string bytes(1 << 20, '\0');
  bytes[1] = '\xff';
  client->objects().Put("sheets/1", bytes);
  CHECK(client->objects().Get("sheets/1") == bytes);
  CHECK_FALSE(client->objects().Get("sheets/2"));
}

// Guards against a test double whose failures differ from what they stand for.
TEST_CASE("the service's switches give the failures they name") {
  ServiceThread service;
  const auto client = service.Client();
  const auto write = [&] { client->table().Transact(kOneWrite); };
  service.Control("{\"lose_write_answers\":1}");
  CHECK(FailureOf(write) == true);
  CHECK(client->table().Get("a")->version == 1);
  service.Control("{\"down\":true}");
  CHECK(FailureOf(write) == false);
  service.Control("{\"down\":false,\"slow_ms\":1000}");
  CHECK(FailureOf(write) == true);
  service.Control("{\"slow_ms\":0}");
  bool limited = false;
  for (int i = 0; i < 1000 && !limited; ++i) {
    limited = FailureOf(write) == false;
  }
  CHECK(limited);
}

TEST_CASE("invalid options are refused") {
  for (const char* address : {"", "localhost:80", "127.0.0.1", "1.2.3.4:0",
                              "1.2.3.4:65536", "::1:80"}) {
    CHECK_FALSE(HttpPlatform::Create({PeerAddress(address)}));
  }
  CHECK(HttpPlatform::Create({PeerAddress("[::1]:80")}));
  CHECK_FALSE(
      HttpPlatform::Create({PeerAddress("127.0.0.1:80"), milliseconds(0)}));
}

}  // namespace cassiakeel::platform
