#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "cassiakeel/base/random.h"
#include "cassiakeel/h1/timer_queue.h"
#include "cassiakeel/mesh/shared_store.h"
#include "cassiakeel/mesh/store_history.h"

namespace cassiakeel::mesh {

using RowMap = std::map<std::string, StoredRow>;

/// A reply of the store about a whole table, or a poll that it could not answer
/// from its history, beside what the follower knew.
struct TableReadReport {
  /// Version of the local copy; 0 before the first read and after a return of
  /// the store.
  std::uint64_t known_version = 0;
  /// Version of the table in the reply; 0 if it has none.
  std::uint64_t version = 0;
  std::size_t rows = 0;
  std::optional<StoreEra> era;
  /// Outcome: "taken", "stale" (older than the local copy, read again),
  /// "returned" (taken for a sign that the store has come back from an older
  /// copy, read again) or "history_lost".
  std::string_view outcome;
};

/// Maintains a local copy of one table: reads the whole table, then follows its
/// changes, and reads the table again if the store no longer has the changes or
/// has come back from an older copy. Runs on the control thread.
class TableFollower : public std::enable_shared_from_this<TableFollower> {
 public:
  /// Called with all rows after each full read and after each change. The
  /// first call after a return of the store has the rows of its copy.
  using ChangeHandler = std::function<void(const RowMap& rows)>;
  /// Called when the connection to the store is lost or restored.
  using ConnectionHandler =
      std::function<void(bool up, const std::string& cause)>;
  using ReadHandler = std::function<void(const TableReadReport& report)>;

  /// `min_poll_interval` is the minimum time between a reply with changes and
  /// the next poll. It batches a series of changes into few calls to the store.
  static std::shared_ptr<TableFollower> Create(
      SharedStore& store,
      std::shared_ptr<StoreHistory> history,
      std::shared_ptr<h1::TimerQueue> timers,
      std::string table,
      std::chrono::milliseconds min_poll_interval,
      ChangeHandler on_change,
      ConnectionHandler on_connection,
      ReadHandler on_read = {});

  void Start();
  /// Voids all versions known and reads the table again after a random time of
  /// at most `spread`, so that not all nodes do so at once. Called by the
  /// handler of StoreHistory.
  void OnStoreReturned(std::chrono::milliseconds spread);
  /// Sets the mean wait of a poll from the next one on. The waits are random,
  /// because all nodes poll again at the same moment after a change. A poll
  /// under way that lasts longer than the new waits is replaced within `wait`.
  void SetMeanPollWait(std::chrono::milliseconds wait);
  /// Reads the whole table if the store names no era and has written to any
  /// table since the last such read. A poll would not show a return after which
  /// the numbers have passed the known one.
  void Verify();
  /// Called when a peer has seen a later era. Asks the store for its era within
  /// `spread`.
  void CheckWithin(std::chrono::milliseconds spread);
  /// Called when a peer has seen a newer row version than this copy may
  /// contain. If `is_behind` still holds after a short delay, the table is read
  /// again on a new connection.
  void ReloadIfBehind(std::function<bool()> is_behind);
  bool loaded() const { return this->is_loaded; }
  /// The latest call was answered, or none has ended yet.
  bool is_connected() const { return this->connected; }
  /// The table was read since the latest return of the store.
  bool is_current() const { return this->has_position; }
  /// All rows of the local copy.
  const RowMap& rows() const { return this->local_rows; }

 private:
  // `placed`: the reply names the store's era, and it is the known one.
  using ReplyHandler = void (TableFollower::*)(StoreReply reply, bool placed);

  TableFollower() = default;
  void Read();
  void Follow();
  // Asks for changes without waiting for any, which shows the store's era.
  void Check();
  void Poll(std::chrono::milliseconds wait);
  // Passes the reply to a call that is sent now to `handler`, unless the call
  // is abandoned meanwhile.
  std::function<void(StoreReply)> MakeHandler(ReplyHandler handler);
  void OnRead(StoreReply reply, bool placed);
  void OnChanges(StoreReply reply, bool placed);
  void OnFailure(const StoreReply& reply);
  // Tries again after a time that grows with `attempts`, which is incremented.
  void ScheduleRetry(int& attempts);
  void Retry();
  void MarkConnected();
  // Whether rows differ from the local copy although their versions are not
  // later than its own, or are missing.
  bool HasMissedChange(const RowSet& content) const;
  // Called for each read that is older than the local copy.
  bool IsStaleForLong();
  void ReportRead(const StoreReply& reply, std::string_view outcome);
  // Holds only a weak reference to this follower: the follower owns the timer
  // queue, so a strong reference would be a cycle.
  void RunAfter(std::chrono::milliseconds wait, std::function<void()> action);

  SharedStore* store = nullptr;
  std::shared_ptr<StoreHistory> history;
  std::shared_ptr<h1::TimerQueue> timers;
  std::string table;
  std::chrono::milliseconds min_poll_interval{0};
  /// Nothing for the longest wait.
  std::optional<std::chrono::milliseconds> mean_poll_wait;
  /// When the poll under way ends without a change.
  std::optional<SteadyTime> poll_end;
  ChangeHandler on_change;
  ConnectionHandler on_connection;
  ReadHandler on_read;
  RowMap local_rows;
  /// Meaningless unless `has_position`.
  std::uint64_t table_version = 0;
  /// Version of the last read of the whole table.
  std::uint64_t read_version = 0;
  /// Newest version of any table that was known when the last call was sent.
  std::uint64_t version_at_call = 0;
  /// The call under way is a read of the whole table.
  bool is_reading = false;
  bool is_loaded = false;
  /// The table was read since the latest return of the store.
  bool has_position = false;
  /// The replies of which the local copy consists named the store's era.
  bool is_placed = false;
  /// The local copy cannot be brought up to date by a poll.
  bool must_read = true;
  /// A poll was answered since the store last lacked the history for one.
  bool has_polled = true;
  bool connected = true;
  /// A call has failed since the last reply that named the known era.
  bool was_away = false;
  /// When the reads began that are older than the local copy.
  std::optional<SteadyTime> stale_since;
  /// Failed calls in a row.
  int failures = 0;
  /// Whole reads since the last poll that was answered.
  int rereads = 0;
  /// Incremented when the calls under way are abandoned; their replies are
  /// dropped.
  int generation = 0;
  bool reload_pending = false;
  Rng rng;
};

}  // namespace cassiakeel::mesh
