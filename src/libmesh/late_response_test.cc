#include <asio/read.hpp>
#include <asio/write.hpp>
#include <map>

#include "mesh_test_support.h"

namespace cassiakeel::mesh {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

// A backend server that refuses the first attempt of the request "x" and
// repeats that refusal when it runs the second one on the same connection.
class RepeatingBackend {
 public:
  RepeatingBackend()
      : acceptor(this->context, {asio::ip::make_address("127.0.0.1"), 0}),
        accepting([this] { this->Accept(); }) {}
  ~RepeatingBackend() {
    this->stopped = true;
    asio::error_code ignored;
    tcp::socket wake(this->context);
    wake.connect(this->acceptor.local_endpoint(), ignored);
    this->accepting.join();
    for (const auto& socket : this->sockets) {
      socket->shutdown(tcp::socket::shutdown_both, ignored);
    }
    for (auto& thread : this->threads) {
      thread.join();
    }
  }
  PeerAddress address() const {
    return PeerAddress("127.0.0.1:" +
                       std::to_string(this->acceptor.local_endpoint().port()));
  }

  std::atomic<bool> has_refused{false};
  std::atomic<int> runs_of_x{0};

 private:
  void Accept() {
    asio::error_code error;
    while (true) {
      auto socket = std::make_shared<tcp::socket>(this->context);
      this->acceptor.accept(*socket, error);
      if (error || this->stopped) {
        return;
      }
      this->sockets.push_back(socket);
      this->threads.emplace_back([this, socket] { this->Serve(*socket); });
    }
  }

  void Serve(tcp::socket& socket) {
    const std::string refusal =
        "HTTP/1.1 503 Full\r\nAttempt: x\r\nNot-Run: 1\r\n"
        "Content-Length: 0\r\n\r\n";
    bool has_refused_here = false;
    asio::error_code error;
    while (!error) {
      const auto id = ReadId(socket);
      if (id.empty()) {
        return;
      }
      if (id == "x" && !this->has_refused) {
        // Until the next request waits at the gate.
        std::this_thread::sleep_for(milliseconds(200));
        this->has_refused = has_refused_here = true;
        asio::write(socket, asio::buffer(refusal), error);
        continue;
      }
      if (id == "x") {
        ++this->runs_of_x;
        if (has_refused_here) {
          asio::write(socket, asio::buffer(refusal), error);
          std::this_thread::sleep_for(milliseconds(50));
        }
      }
      asio::write(socket,
                  asio::buffer("HTTP/1.1 200 OK\r\nAttempt: " + id +
                               "\r\nSignature: s\r\nContent-Length: 4\r\n\r\n"
                               "done"),
                  error);
    }
  }

  // Reads a request without a body; returns an empty text at the end.
  static std::string ReadId(tcp::socket& socket) {
    std::string head;
    asio::error_code error;
    while (!head.ends_with("\r\n\r\n")) {
      std::array<char, 1> next{};
      asio::read(socket, asio::buffer(next), error);
      if (error) {
        return {};
      }
      head.append(next.data(), 1);
    }
    const auto at = head.find("Attempt: ") + 9;
    return head.substr(at, head.find("\r\n", at) - at);
  }

  asio::io_context context;
  tcp::acceptor acceptor;
  std::atomic<bool> stopped{false};
  // Of the accepting thread, until it has ended.
  std::vector<std::shared_ptr<tcp::socket>> sockets;
  std::vector<std::thread> threads;
  std::thread accepting;
};

}  // namespace

// Guards against a request that is answered "not run" although it runs, or that
// runs twice: its server refuses it, repeats the refusal late, and the copy is
// taken for the response to the second attempt.
TEST_CASE("a late copy of a refusal is not the response to the next attempt") {
  RepeatingBackend backend;
  TestMesh mesh;
  mesh.AddNode("a", "back");
  BackendReport report;
  report.instance = InstanceId("i");
  report.service = ServiceName("back");
  report.address = backend.address();
  // One call at a time, so that the next request uses the connection of the
  // refusal before the second attempt starts.
  report.slots = Slots(1);
  mesh.nodes["a"]->SetBackend({true, report});
  DirectoryEntry entry;
  entry.node = NodeId("a");
  entry.address = mesh.settings["a"].inbound_address;
  entry.zone = mesh.settings["a"].zone;
  entry.service = report.service;
  entry.instance = report.instance;
  mesh.directory[entry.node] = entry;
  auto route = TestMesh::MakeRoute("back", false);
  route.max_attempts = 1;
  mesh.Publish({route});
  // Both at the same time, from one thread.
  asio::io_context io_context;
  const auto client = h1::Client::Create(
      io_context, h1::TimerQueue::Create(io_context, mesh.clock), {});
  std::map<std::string, int> statuses;
  const auto send = [&](const std::string& id) {
    h1::Fetch fetch;
    fetch.peer = mesh.settings["a"].outbound_address;
    fetch.request = {"GET",
                     "/back/1",
                     {{"Host", "host"}, {"Attempt", id}, {"Timeout", "4000"}},
                     {}};
    fetch.deadline = mesh.clock.Now() + milliseconds(5000);
    client->Start(std::move(fetch),
                  [&statuses, id](const h1::FetchResult& result) {
                    statuses[id] = result.response.status;
                  });
  };
  const auto run_for = [&io_context](milliseconds time) {
    io_context.run_for(time);
    io_context.restart();
  };
  send("x");
  run_for(milliseconds(100));
  REQUIRE_FALSE(backend.has_refused);
  send("y");
  for (int i = 0; i < 600 && statuses.size() < 2; ++i) {
    run_for(milliseconds(10));
  }
  CHECK(statuses == std::map<std::string, int>{{"x", 200}, {"y", 200}});
  CHECK(backend.has_refused);
  CHECK(backend.runs_of_x == 1);
}

}  // namespace cassiakeel::mesh
