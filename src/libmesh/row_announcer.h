#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "cassiakeel/h1/client.h"
#include "cassiakeel/h1/timer_queue.h"
#include "cassiakeel/mesh/backend.h"

namespace cassiakeel::mesh::pvt {

/// How the other nodes have received an announcement.
struct AnnouncementReport {
  std::size_t nodes = 0;
  std::size_t acknowledged = 0;
  /// From the start of the sending to the end of the last exchange.
  std::chrono::milliseconds time{0};
};

/// Sends this node's directory row to the other nodes, which otherwise learn of
/// it from the store: later, or not at all while the store is away. Runs on the
/// control thread.
class RowAnnouncer {
 public:
  /// Called when all exchanges of an announcement have ended.
  using ReportHandler = std::function<void(const AnnouncementReport& report)>;

  static std::unique_ptr<RowAnnouncer> Create(
      asio::io_context& io_context,
      std::shared_ptr<h1::TimerQueue> timers,
      ReportHandler on_sent);

  /// Sends `row` once to each other node of `directory`. Nodes that do not
  /// acknowledge it learn of it from the store.
  void Send(const DirectoryEntry& row, const Directory& directory);
  /// Calls `handler` when all exchanges under way have ended, but no later than
  /// 200 ms after the last call of `Send`; at once if there are none.
  void WhenSent(std::function<void()> handler);

 private:
  struct Announcement;

  RowAnnouncer(asio::io_context& io_context,
               std::shared_ptr<h1::TimerQueue> timers,
               ReportHandler on_sent);
  void OnExchangeEnd(Announcement& announcement, const h1::FetchResult& result);
  void NotifyWaiters();

  std::shared_ptr<h1::TimerQueue> timers;
  std::unique_ptr<h1::Client> client;
  ReportHandler on_sent;
  /// Exchanges under way, of all announcements.
  std::size_t pending = 0;
  /// Until then, waiters wait for the exchanges.
  SteadyTime wait_end;
  std::vector<std::function<void()>> waiters;
  h1::Timer wait_timer;
};

}  // namespace cassiakeel::mesh::pvt
