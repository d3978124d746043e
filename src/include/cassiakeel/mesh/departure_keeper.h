#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cassiakeel/h1/timer_queue.h"
#include "cassiakeel/mesh/backend.h"
#include "cassiakeel/mesh/shared_store.h"
#include "cassiakeel/mesh/store_history.h"
#include "cassiakeel/mesh/table_follower.h"

namespace cassiakeel::mesh {

/// Writes departures of backend servers into the directory again that a return
/// of the store has lost, in case their nodes have ended or restarted. The
/// nodes that know a departure take turns, so that one write is the rule. Runs
/// on the control thread.
class DepartureKeeper : public std::enable_shared_from_this<DepartureKeeper> {
 public:
  /// Called with each departure that was written.
  using WrittenHandler = std::function<void(const DirectoryEntry& entry)>;

  static std::shared_ptr<DepartureKeeper> Create(
      SharedStore& store,
      std::shared_ptr<StoreHistory> history,
      std::shared_ptr<h1::TimerQueue> timers,
      std::string table,
      NodeId own_node,
      WrittenHandler on_written);

  /// Sets the departures that the store lacks. `rows` is the directory as
  /// stored, `visible` the nodes that take turns.
  void Update(const std::vector<DirectoryEntry>& departures,
              const RowMap& rows,
              const Directory& visible);
  /// Abandons all writes until the next call of `Update`. Called by the handler
  /// of StoreHistory.
  void OnStoreReturned();

 private:
  struct Pending {
    DirectoryEntry entry;
    /// Version of the stored row, 0 if there is none.
    std::uint64_t stored_version = 0;
    bool scheduled = false;
    bool done = false;
    int failures = 0;
  };

  DepartureKeeper() = default;
  void Schedule(const NodeId& node, std::chrono::milliseconds wait);
  void Write(const NodeId& node);
  void OnWritten(const NodeId& node, const WriteReply& reply);

  SharedStore* store = nullptr;
  std::shared_ptr<StoreHistory> history;
  std::shared_ptr<h1::TimerQueue> timers;
  std::string table;
  NodeId own_node;
  WrittenHandler on_written;
  std::map<NodeId, Pending> pending;
};

}  // namespace cassiakeel::mesh
