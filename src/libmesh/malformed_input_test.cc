#include <asio/read.hpp>
#include <asio/write.hpp>
#include <stdexcept>

#include "cassiakeel/mesh/control.h"
#include "cassiakeel/mesh/registrar.h"
#include "cassiakeel/mesh/run_loop.h"
#include "cassiakeel/syntax/malformed_responses.h"
#include "mesh_test_support.h"
#include "peer_state.h"

namespace cassiakeel::mesh {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

// A node of another build, reduced to its socket: answers the requests of one
// connection with the given texts, one after the other.
class RawPeer {
 public:
  // Returns the bytes to send for request number `index` with the id `attempt`.
  using Reply = std::function<std::string(int index, const std::string& id)>;

  // With `close`, it closes each connection after one response.
  explicit RawPeer(Reply reply, bool close = false)
      : acceptor(this->context, {asio::ip::make_address("127.0.0.1"), 0}),
        reply(std::move(reply)),
        close(close),
        thread([this] { this->Run(); }) {}
  ~RawPeer() {
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

 private:
  void Run() {
    int index = 0;
    asio::error_code error;
    while (true) {
      tcp::socket socket(this->context);
      this->acceptor.accept(socket, error);
      if (error || this->stopped) {
        return;
      }
      for (auto head = ReadHead(socket); !head.empty();
           head = ReadHead(socket)) {
        const auto at = head.find("Attempt: ") + 9;
        const auto id = head.substr(at, head.find("\r\n", at) - at);
        asio::write(socket, asio::buffer(this->reply(index++, id)), error);
        if (this->close) {
          break;
        }
      }
    }
  }

  static std::string ReadHead(tcp::socket& socket) {
    std::string head;
    asio::error_code error;
    while (!head.ends_with("\r\n\r\n") && !error) {
      std::array<char, 1> next{};
      asio::read(socket, asio::buffer(next), error);
      head.append(next.data(), error ? 0 : 1);
    }
    return error ? "" : head;
  }

  asio::io_context context;
  tcp::acceptor acceptor;
  Reply reply;
  bool close;
  std::atomic<bool> stopped{false};
  std::thread thread;
};

std::string PeerResponse(const std::string& id) {
  ServeResult result;
  result.outcome = Outcome::kRan;
  result.reached_backend = true;
  return "HTTP/1.1 200 OK\r\nAttempt: " + id +
         "\r\nSignature: s\r\nContent-Length: " + std::to_string(id.size()) +
         "\r\n" + std::string(kResultField) + ": " + FormatResult(result) +
         "\r\n\r\n" + id;
}

DirectoryEntry EntryOf(const RawPeer& peer) {
  DirectoryEntry entry;
  entry.node = NodeId("b");
  entry.address = peer.address();
  entry.zone = ZoneName("zone");
  entry.service = ServiceName("back");
  entry.instance = InstanceId("i-b");
  return entry;
}

}  // namespace

// Guards against a response of another request reaching a caller, if a node
// sends a response twice.
TEST_CASE("a late second copy of a peer's response is not taken for the next") {
  RawPeer peer([](int index, const std::string& id) {
    const auto response = PeerResponse(id);
    return index == 1 ? PeerResponse("first") + response : response;
  });
  TestMesh mesh;
  mesh.AddNode("a", "front");
  mesh.directory[NodeId("b")] = EntryOf(peer);
  mesh.Publish({TestMesh::MakeRoute("back", true)});
  CHECK(mesh.Call("a", "/back/1", "first").response.body == "first");
  CHECK(mesh.Call("a", "/back/1", "second").response.body == "second");
}

// Guards against a malformed response of a node that reaches a caller, or that
// is taken for a refusal of a call that may have run.
TEST_CASE("a peer's response that breaks the protocol is a failure") {
  ServeResult ran;
  ran.outcome = Outcome::kRan;
  ServeResult refused;
  refused.reason = Reason::kOverload;
  for (const auto& result : {ran, refused}) {
    const auto responses = syntax::MalformedResponses(
        "Attempt: 1\r\nSignature: s\r\n" + std::string(kResultField) + ": " +
        FormatResult(result) + "\r\n");
    std::vector<std::string> texts;
    for (const auto& text : responses) {
      if (text.find("Signature: s\r\n") != std::string::npos) {
        texts.push_back(text);
      }
    }
    std::size_t next = 0;
    RawPeer peer(
        [&next, &texts](int, const std::string&) {
          return texts[next++ % texts.size()];
        },
        true);
    TestMesh mesh;
    mesh.AddNode("a", "front");
    mesh.directory[NodeId("b")] = EntryOf(peer);
    mesh.Publish({TestMesh::MakeRoute("back", false)});
    for (std::size_t i = 0; i < texts.size(); ++i) {
      INFO(texts[i]);
      CHECK(mesh.Call("a", "/back/1", "1").response.status == 502);
    }
    CHECK(next == texts.size());
  }
}

// Guards against one message that ends the process, and with it all requests
// in progress.
TEST_CASE("an exception in a handler does not end the loop") {
  asio::io_context io_context;
  std::vector<std::string> errors;
  bool ran = false;
  asio::post(io_context, [] { throw std::runtime_error("first"); });
  asio::post(io_context, [] { throw 7; });
  asio::post(io_context, [&ran] { ran = true; });
  RunLoop(io_context,
          [&errors](const std::string& cause) { errors.push_back(cause); });
  CHECK(ran);
  CHECK(errors == std::vector<std::string>{"first", "unknown exception"});
}

TEST_CASE("names that would break a header field or a message are no names") {
  CHECK(IsName("i-7f3a91c2"));
  CHECK(IsName("caf\xc3\xa9 bar"));
  CHECK_FALSE(IsName(""));
  CHECK_FALSE(IsName("a|b"));
  CHECK_FALSE(IsName("a\r\nX: y"));
  CHECK_FALSE(IsName(std::string("a\0b", 3)));
  CHECK_FALSE(IsName("a\x7f"));
  CHECK_FALSE(IsName(std::string(201, 'a')));
}

TEST_CASE("text that is not UTF-8 can be published and handed over") {
  DirectoryEntry entry;
  entry.node = NodeId("n");
  entry.address = PeerAddress("127.0.0.1:80");
  entry.zone = ZoneName("z");
  entry.service = ServiceName("s");
  entry.instance = InstanceId("i-\xff\xfe");
  CHECK_FALSE(EncodeDirectoryEntry(entry).empty());
  const RowMap rows{{"bytes", {"bytes", "\x01\xff", 2, false}},
                    {"n", {"n", EncodeDirectoryEntry(entry), 3, false}}};
  const auto state = pvt::DecodePeerState(pvt::EncodePeerState({{}, rows}));
  REQUIRE(state);
  CHECK(state->directory.at("n").value == rows.at("n").value);
  CHECK(DecodeDirectory(state->directory).size() == 1);
}

// Guards against a row of another writer that ends the processes that read the
// directory, or keeps them from following it.
TEST_CASE("an odd directory row is skipped and the others are used") {
  const auto row = [](const char* field, const std::string& value) {
    auto entry = nlohmann::json::parse(
        R"({"address":"127.0.0.1:80","zone":"z","service":"back",
        "instance":"i","slots":4,"started":100,"leaving":false})");
    entry[field] = nlohmann::json::parse(value);
    return entry.dump();
  };
  constexpr std::size_t kDepth = 30000;
  const std::vector<std::string> odd_rows = {
      std::string(kDepth, '['),
      std::string(kDepth, '[') + std::string(kDepth, ']'),
      R"({"slots":)" + std::string(kDepth, '[') + std::string(kDepth, ']') +
          "}",
      R"({"slots":1e999})",
      row("slots", "1e300"),
      row("slots", "18446744073709551615"),
      row("slots", "-4"),
      row("slots", "0.5"),
      row("started", "1e300"),
      row("started", "-1"),
      row("started", "18446744073709551615"),
      row("address", "\"127.0.0.1:65536\""),
      row("address", "\"127.0.0.1:99999999999999999999\""),
      row("address", "\"127.0.0.1:-1\""),
      row("address", "\"127.0.0.1:0\""),
      row("address", "\"127.0.0.1\""),
      row("address", "\"localhost:80\""),
      row("zone", "\"z\\r\\nX: y\""),
      row("departed", "7"),
      "null",
      "[]",
      "",
  };
  RowMap rows;
  rows["good"] = {"good", row("slots", "4"), 1, false};
  for (std::size_t i = 0; i < odd_rows.size(); ++i) {
    INFO(i << ": " << odd_rows[i].substr(0, 120));
    const auto key = "odd-" + std::to_string(i);
    CHECK_FALSE(DecodeDirectoryEntry(key, odd_rows[i]));
    rows[key] = {key, odd_rows[i], 2 + i, false};
  }
  CHECK(DecodeDirectory(rows).size() == 1);
  const auto state = pvt::DecodePeerState(pvt::EncodePeerState({{}, rows}));
  REQUIRE(state);
  CHECK(DecodeDirectory(state->directory).size() == 1);
}

TEST_CASE("a row with a service that would break a header field is skipped") {
  DirectoryEntry entry;
  entry.node = NodeId("n");
  entry.address = PeerAddress("127.0.0.1:80");
  entry.zone = ZoneName("z");
  entry.service = ServiceName("s");
  entry.instance = InstanceId("i");
  REQUIRE(DecodeDirectoryEntry("n", EncodeDirectoryEntry(entry)));
  entry.service = ServiceName("s\r\nX: y");
  CHECK_FALSE(DecodeDirectoryEntry("n", EncodeDirectoryEntry(entry)));
}

}  // namespace cassiakeel::mesh
