#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <unistd.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include <fmt/format.h>

#include "cassiakeel/http/server.h"
#include "cassiakeel/platform/memory_platform.h"
#include "cassiakeel/policy/approval.h"
#include "cassiakeel/telemetry/burn.h"
#include "output.h"

namespace cassiakeel::cli {
namespace {

namespace fs = std::filesystem;

std::string SourcePath(const std::string& name) {
  return std::string(CASSIAKEEL_SOURCE) + "/" + name;
}

NodeStatus NodeWithVersion(const std::string& address, std::uint64_t version) {
  NodeStatus status;
  status.address = PeerAddress(address);
  status.node = "n-" + address;
  status.policy_version = version;
  status.endpoints.push_back({"board", 70, 3, 40, 1, false});
  return status;
}

struct Fixture {
  std::ostringstream out;
  std::ostringstream err;
  ManualClock clock;
  Rng rng{1};
  platform::MemoryPlatform memory;
  std::map<std::string, std::string> environment{
      {"CASSIAKEEL_PLATFORM", "127.0.0.1:1"}};
  /// Node statuses of successive polls; the last one is repeated.
  std::vector<std::vector<NodeStatus>> polls;
  fs::path folder;
  /// Responses of the nodes to all requests other than for their status.
  std::vector<NodeResponse> responses;
  Context context{
      out,
      err,
      clock,
      rng,
      [this](const std::string& name) {
        return this->environment.contains(name)
                   ? std::optional(this->environment[name])
                   : std::nullopt;
      },
      [this](const PeerAddress&, auto) {
        return PlatformHandle{nullptr, &this->memory.table(),
                              &this->memory.objects()};
      },
      [this](const auto&, auto) { return this->NextPoll(); },
      [this](const auto&, const auto&, auto) { return this->responses; },
      [this](auto wait) { this->clock.Advance(wait); }};

  Fixture() {
    std::string name = (fs::temp_directory_path() / "cli-XXXXXX").string();
    REQUIRE(mkdtemp(name.data()) != nullptr);
    this->folder = name;
  }
  ~Fixture() { fs::remove_all(this->folder); }

  std::vector<NodeStatus> NextPoll() {
    auto statuses = this->polls.front();
    if (this->polls.size() > 1) {
      this->polls.erase(this->polls.begin());
    }
    return statuses;
  }

  int Run(const std::vector<std::string>& words) {
    this->out.str("");
    this->err.str("");
    this->clock.Advance(std::chrono::milliseconds(1));
    return RunProgram(words, this->context);
  }

  std::string File(const std::string& name) {
    return (this->folder / name).string();
  }

  std::string GenerateKey(const std::string& name) {
    std::string file = this->File(name);
    CHECK(this->Run({"key", "generate", "--name", name, "--key-file", file}) ==
          kOk);
    return file;
  }

  nlohmann::json Json() { return nlohmann::json::parse(this->out.str()); }
};

// Returns a loopback address derived from the process id. The servers use fixed
// ports, which they would share with other processes that listen on the same
// address.
std::string ProcessLoopbackAddress() {
  const int pid = getpid();
  return fmt::format("127.{}.{}.{}", 1 + pid / 65536 % 254, pid / 256 % 256,
                     pid % 256);
}

std::string Digest(const std::string& file) {
  return policy::Sha256Hex(ReadFile(file, policy::kMaxSheetBytes));
}

}  // namespace

TEST_CASE("a sheet goes from proposal through approval to rollback") {
  Fixture f;
  const auto key = f.GenerateKey("legal");
  CHECK(f.out.str().find("--approver-key legal=") != std::string::npos);
  const auto first = SourcePath("examples/consortium.csv");
  const auto second = SourcePath("examples/peachline.csv");
  const auto approve = [&](const std::string& sheet,
                           const std::string& replaces) {
    return f.Run({"sheet", "approve", Digest(sheet), "--approver", "legal",
                  "--key-file", key, "--replaces", replaces, "--json"});
  };
  for (const auto& sheet : {first, second}) {
    CHECK(f.Run({"sheet", "check", sheet}) == kOk);
    CHECK(f.Run({"sheet", "propose", sheet, "--proposer", "planner"}) == kOk);
  }
  CHECK(f.Run({"sheet", "diff", Digest(first)}) == kOk);
  CHECK(approve(first, "0") == kOk);
  CHECK(f.Json()["in_force"]["version"] == 1);
  CHECK(approve(second, "0") == kConflict);
  CHECK(f.Json()["in_force"]["approver"] == "legal");
  CHECK(approve(second, "1") == kOk);
  CHECK(f.Run({"sheet", "diff", first, "--against", second, "--json"}) == kOk);
  CHECK(f.Json()["changes"].size() > 8);
  CHECK(approve(first, "2") == kOk);
  CHECK(f.Run({"sheet", "show", "--json"}) == kOk);
  CHECK(f.Json()["in_force"]["version"] == 3);
  CHECK(f.Run({"sheet", "show", Digest(first), "--csv"}) == kOk);
  CHECK(policy::Sha256Hex(f.out.str()) == Digest(first));
  CHECK(f.Run({"sheet", "reject", Digest(first), "--actor", "legal"}) ==
        kConflict);
  CHECK(f.Run({"sheet", "history", "--json"}) == kOk);
  CHECK(f.Json()["history"].size() == 5);
  CHECK(f.Run({"sheet", "history", "--limit", "1"}) == kOk);
}

TEST_CASE("failures return the documented exit codes") {
  Fixture f;
  const auto sheet = SourcePath("examples/consortium.csv");
  CHECK(f.Run({"sheet", "check", SourcePath("README.none")}) == kFailed);
  std::ofstream(f.File("bad.csv")) << "not,a\nsheet";
  CHECK(f.Run({"sheet", "check", f.File("bad.csv"), "--json"}) == kFailed);
  CHECK(f.Json()["faults"][0]["row"] == 1);
  CHECK(f.Run({"sheet", "show", std::string(64, 'a')}) == kFailed);
  f.memory.SetDown(true);
  CHECK(f.Run({"sheet", "show", "--json"}) == kPlatformUnavailable);
  CHECK(nlohmann::json::parse(f.err.str())["exit_code"] == 4);

  const std::vector<std::vector<std::string>> invalid_command_lines = {
      {},
      {"sheet"},
      {"sheet", "shred"},
      {"sheet", "check"},
      {"sheet", "check", sheet, sheet},
      {"sheet", "check", sheet, "--js"},
      {"sheet", "show", "abc"},
      {"sheet", "propose", sheet},
      {"sheet", "history", "--limit", "0"},
      {"sheet", "history", "--limit", "9x"},
      {"sheet", "history", "--limit", "1", "--limit", "2"},
      {"status"},
  };
  for (const auto& words : invalid_command_lines) {
    CHECK(f.Run(words) == kUsage);
    CHECK_FALSE(f.err.str().empty());
  }
  f.environment["CASSIAKEEL_JSON"] = "perhaps";
  CHECK(f.Run({"sheet", "check", sheet}) == kUsage);
  f.environment["CASSIAKEEL_JSON"] = "true";
  CHECK(f.Run({"sheet", "check", sheet}) == kOk);
  CHECK(f.Json()["ok"] == true);
}

// Guards against a private key that other users can read or that is
// overwritten.
TEST_CASE("key files are private and never overwritten") {
  Fixture f;
  const auto key = f.GenerateKey("legal");
  CHECK(fs::status(key).permissions() ==
        (fs::perms::owner_read | fs::perms::owner_write));
  CHECK(f.Run({"key", "generate", "--name", "x", "--key-file", key}) ==
        kFailed);
  fs::permissions(key, fs::perms::others_read, fs::perm_options::add);
  CHECK(f.Run({"sheet", "approve", std::string(64, 'a'), "--approver", "legal",
               "--key-file", key}) == kFailed);
  CHECK(f.err.str().find("0600") != std::string::npos);
}

TEST_CASE("status and wait report policy versions and nodes without a status") {
  Fixture f;
  NodeStatus unknown;
  unknown.address = PeerAddress("c");
  unknown.error = "no answer\x1b[2J";
  f.polls = {{NodeWithVersion("a", 1), NodeWithVersion("b", 2), unknown},
             {NodeWithVersion("a", 2), NodeWithVersion("b", 2), unknown},
             {NodeWithVersion("a", 2), NodeWithVersion("b", 2),
              NodeWithVersion("c", 3)}};
  f.environment["CASSIAKEEL_NODE"] = "a,b,c";
  SECTION("status") {
    CHECK(f.Run({"status", "--json"}) == kFailed);
    CHECK(f.Json()["versions"].size() == 2);
    CHECK(f.Json()["unknown"][0]["address"] == "c");
    CHECK(f.Run({"status"}) == kFailed);
    CHECK(f.out.str().find('\x1b') == std::string::npos);
    CHECK(f.Run({"status"}) == kOk);
    CHECK(f.out.str().find("version 2: 2 of 3 nodes") != std::string::npos);
  }
  SECTION("wait ends when all nodes run the version") {
    CHECK(f.Run({"sheet", "wait", "2"}) == kOk);
  }
  SECTION("wait fails after its time limit") {
    CHECK(f.Run({"sheet", "wait", "4", "--wait-seconds", "5"}) == kFailed);
  }
  SECTION("top stops after the given number of polls") {
    CHECK(f.Run({"top", "--count", "3", "--json"}) == kOk);
    const auto text = f.out.str();
    CHECK(std::count(text.begin(), text.end(), '\n') == 3);
  }
}

// Guards against losing the statuses of the other nodes when one node does not
// respond or sends a malformed status.
TEST_CASE("node statuses are fetched over HTTP") {
  const PeerAddress address(ProcessLoopbackAddress() + ":18471");
  const PeerAddress broken(ProcessLoopbackAddress() + ":18472");
  asio::io_context io_context(1);
  const auto serve = [&](const PeerAddress& listen, const std::string& body) {
    http::ServerOptions options;
    options.listen = listen;
    auto server = http::Server::Create(
        io_context, options, [body](const http::ServerRequest& request) {
          request.responder->Send(
              request.path == "/cassiakeel/v1/status" ? 200 : 404, {}, body);
        });
    REQUIRE(server);
    return std::move(*server);
  };
  const auto good = serve(
      address,
      R"({"node":"n1","zone":"z","region":"r","incarnation":4,)"
      R"("policy_version":7,"policy_digest":"d","members":3,"endpoints":[)"
      R"({"service":"board","slots":70,"in_flight":1,"limit":9,"queued":0,)"
      R"("leaving":true}]})");
  const auto bad = serve(broken, R"({"node":1})");
  std::thread thread([&] { io_context.run_for(std::chrono::seconds(20)); });
  std::vector<PeerAddress> addresses(100, address);
  addresses.push_back(broken);
  addresses.emplace_back("127.0.0.1:1");
  const auto nodes = FetchNodeStatuses(addresses, std::chrono::seconds(2));
  io_context.stop();
  thread.join();
  REQUIRE(nodes.size() == 102);
  for (int i = 0; i < 100; ++i) {
    REQUIRE(nodes[i].error.empty());
  }
  CHECK(nodes[0].policy_version == 7);
  CHECK(nodes[0].endpoints.at(0).leaving);
  CHECK_FALSE(nodes[100].has_status());
  CHECK_FALSE(nodes[101].has_status());
}

// Guards against a report that counts a node as healthy although it did not
// respond or sent malformed figures.
TEST_CASE("a burn report that lacks a node is partial and fails") {
  Fixture f;
  telemetry::NodeBurn burn;
  burn.node = NodeId("a");
  f.responses = {
      {PeerAddress("127.0.0.1:1"), "", telemetry::FormatNodeBurn(burn)}};
  CHECK(f.Run({"report", "burn", "--node", "127.0.0.1:1"}) == kOk);
  f.responses.push_back({PeerAddress("127.0.0.1:2"), "no answer", ""});
  f.responses.push_back({PeerAddress("127.0.0.1:3"), "", "{"});
  CHECK(f.Run({"report", "burn", "--node", "127.0.0.1:1", "--json"}) ==
        kFailed);
  CHECK(f.out.str().find("127.0.0.1:3") != std::string::npos);
}

// Guards against help, manual pages and shell completion that lack a command or
// flag.
TEST_CASE("every command and flag is documented") {
  Fixture f;
  for (const Command& command : Commands()) {
    const auto help = HelpOf(command);
    std::string page_name = "cassiakeel-" + command.name;
    std::replace(page_name.begin(), page_name.end(), ' ', '-');
    const auto page = ReadFile(SourcePath("docs/man/" + page_name + ".1"),
                               policy::kMaxSheetBytes);
    INFO(command.name);
    CHECK(BashCompletion().find("\"" + command.name + "\"") !=
          std::string::npos);
    for (const Option& option : command.options) {
      CHECK(help.find("--" + option.name) != std::string::npos);
      CHECK(page.find("--" + option.name) != std::string::npos);
    }
  }
  CHECK(f.Run({"--help"}) == kOk);
  CHECK(f.Run({"sheet", "approve", "--help"}) == kOk);
}

}  // namespace cassiakeel::cli
