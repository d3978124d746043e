#pragma once

#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <atomic>
#include <catch2/catch.hpp>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "cassiakeel/h1/client.h"
#include "cassiakeel/h1/server.h"
#include "cassiakeel/mesh/node.h"
#include "cassiakeel/mesh/shared_store.h"

namespace cassiakeel::mesh {

inline int FreePort() {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  return acceptor.local_endpoint().port();
}

inline PeerAddress LocalAddress() {
  return PeerAddress("127.0.0.1:" + std::to_string(FreePort()));
}

inline FieldNames TestFields() {
  return {"Attempt", "Timeout", "Signature", "Expect-Id",
          "Not-Run", "Caller",  '.'};
}

/// A backend server in a thread of its own that answers as its behaviour says
/// and keeps what it ran.
class FakeBackend {
 public:
  using Behaviour = std::function<void(std::shared_ptr<h1::Exchange>)>;

  explicit FakeBackend(Behaviour behaviour)
      : address(LocalAddress()),
        timers(h1::TimerQueue::Create(this->io_context, this->clock)) {
    auto created = h1::Server::Create(
        this->io_context, this->timers, this->address, this->limits,
        [this, behaviour = std::move(behaviour)](
            std::shared_ptr<h1::Exchange> exchange) {
          ++this->runs;
          {
            const std::lock_guard lock(this->mutex);
            this->seen.push_back(exchange->request());
          }
          behaviour(std::move(exchange));
        });
    REQUIRE(created);
    this->server = std::move(*created);
    this->thread = std::thread([this] { this->io_context.run(); });
  }
  ~FakeBackend() {
    this->io_context.stop();
    this->thread.join();
  }

  h1::Request LastRequest() {
    const std::lock_guard lock(this->mutex);
    return this->seen.back();
  }

  /// A successful response with proof.
  static h1::Response Success(const h1::Request& request) {
    const auto* id = h1::FindHeader(request.headers, "Attempt");
    return {200, {{"Signature", "s"}, {"Attempt", id ? *id : ""}}, "done"};
  }

  std::atomic<int> runs{0};
  PeerAddress address;
  asio::io_context& Context() { return this->io_context; }

 private:
  asio::io_context io_context;
  SystemClock clock;
  std::shared_ptr<h1::TimerQueue> timers;
  h1::ServerLimits limits;
  std::unique_ptr<h1::Server> server;
  std::mutex mutex;
  std::vector<h1::Request> seen;
  std::thread thread;
};

/// Nodes on loopback with a common policy and directory.
class TestMesh {
 public:
  MeshNode& AddNode(
      const std::string& name,
      const std::string& service,
      std::chrono::milliseconds grace = std::chrono::milliseconds(6000)) {
    MeshSettings settings;
    settings.node = NodeId(name);
    settings.zone = ZoneName("zone");
    settings.service = ServiceName(service);
    settings.outbound = LocalAddress();
    settings.inbound = LocalAddress();
    settings.ready = LocalAddress();
    settings.fields = TestFields();
    settings.retry = {0.2, std::chrono::seconds(10), 400};
    settings.grace = grace;
    auto node = MeshNode::Create(settings, this->clock);
    REQUIRE(node);
    this->settings[name] = settings;
    this->nodes[name] = std::move(*node);
    this->nodes[name]->Start();
    return *this->nodes[name];
  }

  void SetBackend(const std::string& name,
                  const FakeBackend& backend,
                  bool leaving = false,
                  int slots = 4) {
    BackendReport report;
    report.instance = InstanceId("i-" + name);
    report.service = this->settings[name].service;
    report.address = backend.address;
    report.slots = Slots(slots);
    report.leaving = leaving;
    report.started_at_ms = 1;
    this->nodes[name]->SetBackend({true, report});
    DirectoryEntry entry;
    entry.node = NodeId(name);
    entry.address = this->settings[name].inbound;
    entry.zone = this->settings[name].zone;
    entry.service = report.service;
    entry.instance = report.instance;
    entry.slots = report.slots;
    this->directory[entry.node] = entry;
  }

  void Publish(std::vector<Route> routes) {
    const auto policy = std::make_shared<const TrafficPolicy>(
        PolicyVersion(1), std::move(routes), InputLimits());
    const auto entries = std::make_shared<const Directory>(this->directory);
    for (const auto& [name, node] : this->nodes) {
      node->SetPolicy(policy);
      node->SetDirectory(entries, 1);
    }
  }

  static Route MakeRoute(const std::string& service, bool idempotent) {
    Route route;
    route.name = RouteName("r-" + service);
    route.host = "host";
    route.path_prefix = "/" + service + "/";
    route.idempotent = idempotent;
    route.max_attempts = 2;
    route.services = {{ServiceName(service), 1}};
    return route;
  }

  /// One request at a node's outbound address.
  h1::FetchResult Call(const std::string& node,
                       const std::string& path,
                       const std::string& id,
                       int timeout_ms = 2000) {
    asio::io_context io_context;
    const auto timers = h1::TimerQueue::Create(io_context, this->clock);
    const auto client = h1::Client::Create(io_context, timers, {});
    h1::Fetch fetch;
    fetch.peer = this->settings[node].outbound;
    fetch.request = {"GET",
                     path,
                     {{"Host", "host"},
                      {"Attempt", id},
                      {"Timeout", std::to_string(timeout_ms)}},
                     {}};
    fetch.deadline = this->clock.Now() + std::chrono::milliseconds(8000);
    std::optional<h1::FetchResult> result;
    client->Start(std::move(fetch),
                  [&result, &io_context](h1::FetchResult end) {
                    result = std::move(end);
                    io_context.stop();
                  });
    io_context.run_for(std::chrono::seconds(8));
    REQUIRE(result);
    return std::move(*result);
  }

  SystemClock clock;
  std::map<std::string, MeshSettings> settings;
  Directory directory;
  std::map<std::string, std::unique_ptr<MeshNode>> nodes;
};

/// Keeps the decision log of its lifetime in a file of its own.
class LoggedLines {
 public:
  LoggedLines()
      : path(std::filesystem::temp_directory_path() /
             ("cassiakeel-mesh-test-" + std::to_string(::getpid()))),
        logger(log4cxx::Logger::getLogger("cassiakeel.mesh")),
        appender(std::make_shared<log4cxx::FileAppender>(
            std::make_shared<log4cxx::PatternLayout>("%m%n"),
            this->path.string(),
            false)) {
    this->logger->addAppender(this->appender);
  }
  ~LoggedLines() {
    this->logger->removeAppender(this->appender);
    this->appender->close();
    std::filesystem::remove(this->path);
  }
  LoggedLines(const LoggedLines&) = delete;
  LoggedLines& operator=(const LoggedLines&) = delete;

  /// The lines about the request.
  std::vector<nlohmann::json> Of(const std::string& attempt) const {
    std::vector<nlohmann::json> lines;
    std::ifstream file(this->path);
    for (std::string line; std::getline(file, line);) {
      auto fields = nlohmann::json::parse(line);
      if (fields.value("attempt", "") == attempt) {
        lines.push_back(std::move(fields));
      }
    }
    return lines;
  }

 private:
  std::filesystem::path path;
  log4cxx::LoggerPtr logger;
  log4cxx::AppenderPtr appender;
};

/// A shared store in memory whose calls wait until the test lets them end.
class FakeStore final : public SharedStore {
 public:
  void Read(const std::string&,
            std::function<void(StoreReply)> handler) override {
    ++this->reads;
    this->Answer([this, handler] {
      if (this->down) {
        handler({StoreFault::kUnavailable, "down", {}});
        return;
      }
      handler({StoreFault::kNone, {}, {this->AllRows(), this->version}});
    });
  }
  void Follow(const std::string&,
              std::uint64_t after,
              std::chrono::milliseconds,
              std::function<void(StoreReply)> handler) override {
    this->followers.emplace_back(after, std::move(handler));
    this->Wake();
  }
  void Write(const std::string&,
             const std::string& key,
             const std::optional<std::string>& value,
             std::uint64_t expected,
             std::function<void(WriteReply)> handler) override {
    ++this->writes;
    if (this->lose_writes > 0) {
      --this->lose_writes;
      this->late_writes.push_back(
          [this, key, value, expected] { this->Apply(key, value, expected); });
      this->Answer([handler] {
        handler({StoreFault::kUnknown, "lost", false, 0, std::nullopt});
      });
      return;
    }
    this->Answer([this, key, value, expected, handler] {
      const bool applied = this->Apply(key, value, expected);
      WriteReply reply;
      reply.applied = applied;
      reply.version = this->version;
      if (!applied && this->rows.contains(key)) {
        reply.current = this->rows[key];
      }
      handler(reply);
    });
  }

  bool Apply(const std::string& key,
             const std::optional<std::string>& value,
             std::uint64_t expected) {
    const auto found = this->rows.find(key);
    const auto current = found == this->rows.end() ? 0 : found->second.version;
    if (current != expected) {
      return false;
    }
    ++this->version;
    if (value) {
      this->rows[key] = {key, *value, this->version, false};
    } else {
      this->rows.erase(key);
    }
    this->Wake();
    return true;
  }

  void Put(const std::string& key, const std::string& value) {
    ++this->version;
    this->rows[key] = {key, value, this->version, false};
    this->Wake();
  }

  /// Ends the calls that wait for changes.
  void Wake() {
    if (this->silent) {
      // Calls that wait now are never answered.
      this->followers.clear();
      return;
    }
    auto waiting = std::move(this->followers);
    this->followers.clear();
    for (const auto& entry : waiting) {
      const auto after = entry.first;
      const auto handler = entry.second;
      if (this->forget_history) {
        this->Answer([handler] {
          handler({StoreFault::kHistoryLost, "gone", {}});
        });
        continue;
      }
      RowSet changes{{}, this->version};
      for (const auto& [key, row] : this->rows) {
        if (row.version > after) {
          changes.rows.push_back(row);
        }
      }
      if (changes.rows.empty()) {
        this->followers.emplace_back(after, handler);
      } else {
        this->Answer([handler, changes] {
          handler({StoreFault::kNone, {}, changes});
        });
      }
    }
    this->forget_history = false;
  }

  /// Runs the answers that are due, and those that follow from them.
  void Settle() {
    while (!this->answers.empty()) {
      const auto answer = std::move(this->answers.front());
      this->answers.pop_front();
      answer();
    }
  }

  std::map<std::string, StoredRow> rows;
  std::uint64_t version = 0;
  int reads = 0;
  int writes = 0;
  int lose_writes = 0;
  bool down = false;
  bool silent = false;
  bool forget_history = false;
  std::vector<std::function<void()>> late_writes;

 private:
  std::vector<StoredRow> AllRows() const {
    std::vector<StoredRow> all;
    for (const auto& [key, row] : this->rows) {
      all.push_back(row);
    }
    return all;
  }
  void Answer(std::function<void()> answer) {
    this->answers.push_back(std::move(answer));
  }

  std::deque<std::function<void()>> answers;
  std::vector<std::pair<std::uint64_t, std::function<void(StoreReply)>>>
      followers;
};

}  // namespace cassiakeel::mesh
