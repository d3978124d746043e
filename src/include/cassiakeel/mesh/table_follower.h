#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "cassiakeel/base/random.h"
#include "cassiakeel/h1/timer_queue.h"
#include "cassiakeel/mesh/shared_store.h"

namespace cassiakeel::mesh {

using RowMap = std::map<std::string, StoredRow>;

/// A reply of the store about a whole table, or a poll that it could not answer
/// from its history, beside what the follower knew.
struct TableReadReport {
  /// Version of the local copy; 0 before the first read.
  std::uint64_t known_version = 0;
  /// Version of the table in the reply; 0 if it has none.
  std::uint64_t version = 0;
  std::size_t rows = 0;
  std::optional<StoreEra> era;
  /// Outcome: "taken", "older" (dropped) or "history_lost".
  std::string_view outcome;
};

/// Maintains a local copy of one table: reads the whole table, then follows its
/// changes, and reads the table again if the store no longer has the changes.
/// Runs on the control thread.
class TableFollower : public std::enable_shared_from_this<TableFollower> {
 public:
  /// Called with all rows after each full read and after each change.
  using ChangeHandler = std::function<void(const RowMap& rows)>;
  /// Called when the connection to the store is lost or restored.
  using ConnectionHandler =
      std::function<void(bool up, const std::string& cause)>;
  using ReadHandler = std::function<void(const TableReadReport& report)>;

  /// `min_poll_interval` is the minimum time between a reply with changes and
  /// the next poll. It batches a series of changes into few calls to the store.
  static std::shared_ptr<TableFollower> Create(
      SharedStore& store,
      std::shared_ptr<h1::TimerQueue> timers,
      std::string table,
      std::chrono::milliseconds min_poll_interval,
      ChangeHandler on_change,
      ConnectionHandler on_connection,
      ReadHandler on_read = {});

  void Start();
  /// Called when a peer has seen a newer row version than this copy may
  /// contain. If `is_behind` still holds after a short delay, the table is read
  /// again on a new connection.
  void ReloadIfBehind(std::function<bool()> is_behind);
  bool loaded() const { return this->is_loaded; }
  /// All rows of the local copy.
  const RowMap& rows() const { return this->local_rows; }
  std::uint64_t version() const { return this->table_version; }

 private:
  TableFollower() = default;
  void Read();
  void Follow();
  void OnRead(StoreReply reply);
  void OnChanges(StoreReply reply);
  void OnFailure(const StoreReply& reply);
  void MarkConnected();
  void ReportRead(const StoreReply& reply, std::string_view outcome);
  // Holds only a weak reference to this follower: the follower owns the timer
  // queue, so a strong reference would be a cycle.
  void RunAfter(std::chrono::milliseconds wait, std::function<void()> action);

  SharedStore* store = nullptr;
  std::shared_ptr<h1::TimerQueue> timers;
  std::string table;
  std::chrono::milliseconds min_poll_interval{0};
  ChangeHandler on_change;
  ConnectionHandler on_connection;
  ReadHandler on_read;
  RowMap local_rows;
  std::uint64_t table_version = 0;
  bool is_loaded = false;
  bool connected = true;
  int failures = 0;
  /// Incremented by a forced reload; replies to calls of an earlier generation
  /// are dropped.
  int generation = 0;
  bool reload_pending = false;
  Rng rng;
};

}  // namespace cassiakeel::mesh
