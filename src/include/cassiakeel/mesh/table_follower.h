#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cassiakeel/base/random.h"
#include "cassiakeel/h1/timer_queue.h"
#include "cassiakeel/mesh/shared_store.h"

namespace cassiakeel::mesh {

using RowMap = std::map<std::string, StoredRow>;

/// Keeps a copy of one table: reads it, then follows its changes, and reads it
/// anew when the store has forgotten them. Runs on the control thread.
class TableFollower : public std::enable_shared_from_this<TableFollower> {
 public:
  /// `on_change` gets all rows after each change and once after each read.
  using ChangeHandler = std::function<void(const RowMap& rows)>;
  /// `on_link` tells when the store is lost and regained.
  using LinkHandler = std::function<void(bool up, const std::string& cause)>;

  /// `pause` is the least time between two answers with changes, so that a
  /// series of changes costs few calls.
  static std::shared_ptr<TableFollower> Create(
      SharedStore& store,
      std::shared_ptr<h1::TimerQueue> timers,
      std::string table,
      std::chrono::milliseconds pause,
      ChangeHandler on_change,
      LinkHandler on_link);

  void Start();
  /// Another node has seen a row version of this table that this copy may lack.
  /// Unless it arrives shortly, the table is read anew on another connection.
  void Expect(std::function<bool()> behind);
  bool loaded() const { return this->has_loaded; }
  /// All rows as last read.
  const RowMap& rows() const { return this->copy; }
  std::uint64_t version() const { return this->seen_version; }

 private:
  TableFollower() = default;
  void Read();
  void Follow();
  void OnRead(StoreReply reply);
  void OnChanges(StoreReply reply);
  void OnFault(const StoreReply& reply);
  void NoteUp();
  // Does not keep this follower alive: the queue of timers would then keep
  // itself.
  void After(std::chrono::milliseconds wait, std::function<void()> action);

  SharedStore* store = nullptr;
  std::shared_ptr<h1::TimerQueue> timers;
  std::string table;
  std::chrono::milliseconds pause{0};
  ChangeHandler on_change;
  LinkHandler on_link;
  RowMap copy;
  std::uint64_t seen_version = 0;
  bool has_loaded = false;
  bool link_up = true;
  int faults = 0;
  /// Answers to calls of an earlier generation are dropped.
  int generation = 0;
  bool expecting = false;
  Rng rng;
};

}  // namespace cassiakeel::mesh
