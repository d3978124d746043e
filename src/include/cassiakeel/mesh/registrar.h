#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "cassiakeel/h1/timer_queue.h"
#include "cassiakeel/mesh/backend.h"
#include "cassiakeel/mesh/shared_store.h"
#include "cassiakeel/mesh/store_history.h"
#include "cassiakeel/mesh/table_follower.h"

namespace cassiakeel::mesh {

/// Encodes and decodes directory rows as JSON objects. `DecodeDirectory` skips
/// rows that cannot be decoded.
std::string EncodeDirectoryEntry(const DirectoryEntry& entry);
Result<DirectoryEntry> DecodeDirectoryEntry(const std::string& key,
                                            const std::string& value);
Directory DecodeDirectory(const RowMap& rows);

/// Publishes this node's row in the directory and rewrites it whenever the
/// stored row differs. Writes are conditional on the row's version, so that a
/// delayed write cannot overwrite a newer one. Runs on the control thread.
class Registrar : public std::enable_shared_from_this<Registrar> {
 public:
  static std::shared_ptr<Registrar> Create(
      SharedStore& store,
      std::shared_ptr<StoreHistory> history,
      std::shared_ptr<h1::TimerQueue> timers,
      std::string table,
      NodeId node);

  /// Sets the row to publish; `std::nullopt` removes the row.
  void Publish(std::optional<DirectoryEntry> desired);
  /// Sets a handler that gets the version of each row that the store has
  /// acknowledged.
  void OnStored(std::function<void(std::uint64_t version)> handler) {
    this->on_stored = std::move(handler);
  }
  /// Sets a handler that gets the row of this node that another writer has
  /// stored, before this node writes its own over it. It may call `Publish`.
  void OnConflict(std::function<void(const StoredRow& row)> handler) {
    this->on_conflict = std::move(handler);
  }
  /// Voids what is known of the stored row until the next call of `OnRows`, and
  /// abandons a write that is under way. Called by the handler of StoreHistory.
  void OnStoreReturned();
  /// Processes the current rows of the directory table.
  void OnRows(const RowMap& rows);
  /// Calls `handler` with true once the store has acknowledged the row to
  /// publish, at once if there is none, or with false if that takes longer than
  /// a backend server waits for a confirmation.
  void WhenStored(std::function<void(bool stored)> handler);
  /// Whether the store has the row to publish, as far as is known.
  bool IsStored() const;

 private:
  Registrar() = default;
  void Reconcile();
  void Write();
  void OnWritten(const WriteReply& reply);
  void ScheduleRetry();
  void NotifyWaiters();
  void GiveUpWaiter(std::uint64_t id);

  SharedStore* store = nullptr;
  std::shared_ptr<StoreHistory> history;
  std::shared_ptr<h1::TimerQueue> timers;
  std::string table;
  NodeId node;
  bool has_desired = false;
  std::optional<std::string> desired;
  bool stored_known = false;
  std::optional<std::string> stored_value;
  std::uint64_t stored_version = 0;
  bool writing = false;
  bool retry_pending = false;
  int failures = 0;
  std::function<void(std::uint64_t version)> on_stored;
  std::function<void(const StoredRow& row)> on_conflict;
  std::map<std::uint64_t, std::function<void(bool stored)>> waiters;
  std::uint64_t next_waiter_id = 1;
};

}  // namespace cassiakeel::mesh
