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
#include "reserved_port.h"

namespace cassiakeel::mesh {

inline PeerAddress LocalAddress() {
  return PeerAddress("127.0.0.1:" + std::to_string(testing::ReservePort()));
}

inline FieldNames TestFields() {
  return {"Attempt", "Timeout", "Signature", "Expect-Id",
          "Not-Run", "Caller",  "Tenant",    '.'};
}

/// A backend server on its own thread. Handles requests with the given handler
/// and records them.
class FakeBackend {
 public:
  using Handler = std::function<void(std::shared_ptr<h1::Exchange>)>;

  explicit FakeBackend(Handler handler)
      : address(LocalAddress()),
        timers(h1::TimerQueue::Create(this->io_context, this->clock)) {
    auto created = h1::Server::Create(
        this->io_context, this->timers, this->address, this->limits,
        [this,
         handler = std::move(handler)](std::shared_ptr<h1::Exchange> exchange) {
          ++this->runs;
          {
            const std::lock_guard lock(this->mutex);
            this->seen.push_back(exchange->request());
          }
          handler(std::move(exchange));
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

  /// A successful response with the signature field.
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

/// Nodes on the loopback interface with a common policy and directory.
class TestMesh {
 public:
  MeshNode& AddNode(
      const std::string& name,
      const std::string& service,
      std::chrono::milliseconds grace = std::chrono::milliseconds(6000)) {
    MeshSettings settings;
    settings.node = NodeId(name);
    settings.zone = this->zone;
    settings.zone_crossing_cost = this->zone_crossing_cost;
    settings.service = ServiceName(service);
    settings.outbound_address = LocalAddress();
    settings.inbound_address = LocalAddress();
    settings.ready_address = LocalAddress();
    settings.fields = TestFields();
    settings.retry = {0.2, std::chrono::seconds(10), 400};
    settings.shutdown_grace = grace;
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
    entry.address = this->settings[name].inbound_address;
    entry.zone = this->settings[name].zone;
    entry.service = report.service;
    entry.instance = report.instance;
    entry.slots = report.slots;
    this->directory[entry.node] = entry;
  }

  void Publish(std::vector<Route> routes,
               std::vector<tenancy::Tenant> tenants = {},
               PolicyVersion version = PolicyVersion(1)) {
    auto table = tenancy::TenantTable::Create(std::move(tenants));
    REQUIRE(table);
    const auto policy = std::make_shared<const TrafficPolicy>(
        version, std::move(routes), InputLimits(), std::move(*table));
    const auto entries = std::make_shared<const Directory>(this->directory);
    for (const auto& [name, node] : this->nodes) {
      node->SetPolicy(policy);
      node->SetDirectory(entries, {StoreEra(1), 1});
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

  /// Sends one request to a node's outbound address.
  h1::FetchResult Call(const std::string& node,
                       const std::string& path,
                       const std::string& id,
                       int timeout_ms = 2000,
                       const h1::HeaderList& more_headers = {}) {
    asio::io_context io_context;
    const auto timers = h1::TimerQueue::Create(io_context, this->clock);
    const auto client = h1::Client::Create(io_context, timers, {});
    h1::Fetch fetch;
    fetch.peer = this->settings[node].outbound_address;
    fetch.request = {"GET",
                     path,
                     {{"Host", "host"},
                      {"Attempt", id},
                      {"Timeout", std::to_string(timeout_ms)}},
                     {}};
    fetch.request.headers.insert(fetch.request.headers.end(),
                                 more_headers.begin(), more_headers.end());
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
  /// Settings of the nodes that are added next.
  ZoneName zone{"zone"};
  std::chrono::milliseconds zone_crossing_cost{0};
  std::map<std::string, MeshSettings> settings;
  Directory directory;
  std::map<std::string, std::unique_ptr<MeshNode>> nodes;
};

/// Captures the decision log in a temporary file during its lifetime.
class LogCapture {
 public:
  LogCapture()
      : path(std::filesystem::temp_directory_path() /
             ("cassiakeel-mesh-test-" + std::to_string(::getpid()))),
        logger(log4cxx::Logger::getLogger("cassiakeel.mesh")),
        appender(std::make_shared<log4cxx::FileAppender>(
            std::make_shared<log4cxx::PatternLayout>("%m%n"),
            this->path.string(),
            false)) {
    this->logger->addAppender(this->appender);
  }
  ~LogCapture() {
    this->logger->removeAppender(this->appender);
    this->appender->close();
    std::filesystem::remove(this->path);
  }
  LogCapture(const LogCapture&) = delete;
  LogCapture& operator=(const LogCapture&) = delete;

  /// The log lines about one request.
  std::vector<nlohmann::json> LinesFor(const std::string& attempt) const {
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

/// In-memory shared store whose replies are delivered by `DeliverReplies`.
class FakeStore final : public SharedStore {
 public:
  void Read(const std::string&,
            std::function<void(StoreReply)> handler) override {
    ++this->reads;
    this->QueueReply([this, handler] {
      if (this->unavailable) {
        handler({StoreFault::kUnavailable, "down", {}});
        return;
      }
      handler(
          {StoreFault::kNone, {}, {this->AllRows(), this->version}, this->era});
    });
  }
  void Follow(const std::string&,
              std::uint64_t after,
              std::chrono::milliseconds wait,
              std::function<void(StoreReply)> handler) override {
    this->last_wait = wait;
    if (this->unavailable) {
      this->QueueReply([handler] {
        handler({StoreFault::kUnavailable, "down", {}});
      });
      return;
    }
    this->followers.push_back({after, wait, std::move(handler)});
    this->ReplyToFollowers();
  }
  void Write(const std::string&,
             const std::string& key,
             const std::optional<std::string>& value,
             std::uint64_t expected,
             std::function<void(WriteReply)> handler) override {
    ++this->writes;
    if (this->lost_replies_left > 0) {
      --this->lost_replies_left;
      this->delayed_writes.push_back(
          [this, key, value, expected] { this->Apply(key, value, expected); });
      this->QueueReply([handler] {
        handler({StoreFault::kUnknown, "lost", false, 0, std::nullopt});
      });
      return;
    }
    this->QueueReply([this, key, value, expected, handler] {
      const bool applied = this->Apply(key, value, expected);
      WriteReply reply;
      reply.era = this->era;
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
    this->ReplyToFollowers();
    return true;
  }

  void Put(const std::string& key, const std::string& value) {
    ++this->version;
    this->rows[key] = {key, value, this->version, false};
    this->ReplyToFollowers();
  }

  /// Replies to the pending `Follow` calls for which there are changes.
  void ReplyToFollowers() {
    if (this->hang_follows) {
      // The pending calls never get a reply.
      this->followers.clear();
      return;
    }
    auto waiting = std::move(this->followers);
    this->followers.clear();
    for (const auto& poll : waiting) {
      const auto after = poll.after;
      const auto handler = poll.handler;
      if (this->lose_history || after > this->version) {
        this->QueueReply([handler, era = this->era] {
          handler({StoreFault::kHistoryLost, "gone", {}, era});
        });
        continue;
      }
      RowSet changes{{}, this->version};
      for (const auto& [key, row] : this->rows) {
        if (row.version > after) {
          changes.rows.push_back(row);
        }
      }
      if (changes.rows.empty() && poll.wait > std::chrono::milliseconds(0)) {
        this->followers.push_back(poll);
      } else {
        this->QueueReply([handler, changes, era = this->era] {
          handler({StoreFault::kNone, {}, changes, era});
        });
      }
    }
    this->lose_history = false;
  }

  /// Comes back from `copy`: its rows and its version. Polls that hang get no
  /// reply before `CutPolls`.
  void ComeBackFrom(
      const std::pair<std::map<std::string, StoredRow>, std::uint64_t>& copy) {
    this->rows = copy.first;
    this->version = copy.second;
    if (this->era) {
      this->era = StoreEra(this->era->Value() + 1);
    }
  }

  /// The rows and the version, for `ComeBackFrom`.
  std::pair<std::map<std::string, StoredRow>, std::uint64_t> Copy() const {
    return {this->rows, this->version};
  }

  /// Ends the connections of the polls that hang.
  void CutPolls() {
    for (const auto& poll : std::exchange(this->followers, {})) {
      this->QueueReply([handler = poll.handler] {
        handler({StoreFault::kUnknown, "connection reset", {}});
      });
    }
  }

  /// Answers the polls that hang as if their time was up.
  void EndPolls() {
    for (const auto& poll : std::exchange(this->followers, {})) {
      this->QueueReply([this, handler = poll.handler] {
        handler({StoreFault::kNone, {}, {{}, this->version}, this->era});
      });
    }
  }

  /// Shortest wait of the polls that hang.
  std::chrono::milliseconds ShortestWait() const {
    auto shortest = std::chrono::milliseconds::max();
    for (const auto& poll : this->followers) {
      shortest = std::min(shortest, poll.wait);
    }
    return shortest;
  }

  /// Delivers all pending replies, including those caused by other replies.
  void DeliverReplies() {
    while (!this->pending_replies.empty()) {
      const auto reply = std::move(this->pending_replies.front());
      this->pending_replies.pop_front();
      reply();
    }
  }

  std::map<std::string, StoredRow> rows;
  std::uint64_t version = 0;
  int reads = 0;
  int writes = 0;
  int lost_replies_left = 0;
  bool unavailable = false;
  bool hang_follows = false;
  bool lose_history = false;
  /// Shown in all replies of the store; nothing for a store that names none.
  std::optional<StoreEra> era = StoreEra(1);
  /// Wait of the latest poll.
  std::chrono::milliseconds last_wait{0};
  std::vector<std::function<void()>> delayed_writes;

 private:
  std::vector<StoredRow> AllRows() const {
    std::vector<StoredRow> all;
    for (const auto& [key, row] : this->rows) {
      all.push_back(row);
    }
    return all;
  }
  void QueueReply(std::function<void()> reply) {
    this->pending_replies.push_back(std::move(reply));
  }

  std::deque<std::function<void()>> pending_replies;
  struct Poll {
    std::uint64_t after;
    std::chrono::milliseconds wait;
    std::function<void(StoreReply)> handler;
  };

  std::vector<Poll> followers;
};

}  // namespace cassiakeel::mesh
