#pragma once

#include <memory>
#include <optional>
#include <string>

#include "cassiakeel/h1/timer_queue.h"
#include "cassiakeel/mesh/backend.h"
#include "cassiakeel/mesh/shared_store.h"
#include "cassiakeel/mesh/table_follower.h"

namespace cassiakeel::mesh {

/// Rows of the directory as this project writes them. A row that cannot be read
/// names no backend server.
std::string EncodeEntry(const DirectoryEntry& entry);
Result<DirectoryEntry> DecodeEntry(const std::string& key,
                                   const std::string& value);
Directory DecodeDirectory(const RowMap& rows);

/// Keeps this node's row of the directory as it should be. Writes are bound to
/// the row's version, so that one that takes effect late changes nothing.
/// Runs on the control thread.
class Registrar : public std::enable_shared_from_this<Registrar> {
 public:
  static std::shared_ptr<Registrar> Create(
      SharedStore& store,
      std::shared_ptr<h1::TimerQueue> timers,
      std::string table,
      NodeId node);

  /// The row that this node wants; nothing removes it.
  void Publish(std::optional<DirectoryEntry> wanted);
  /// What the store has now.
  void OnRows(const RowMap& rows);

 private:
  Registrar() = default;
  void Reconcile();
  void OnWritten(const WriteReply& reply);
  void RetryLater();

  SharedStore* store = nullptr;
  std::shared_ptr<h1::TimerQueue> timers;
  std::string table;
  NodeId node;
  bool has_wish = false;
  std::optional<std::string> wanted;
  bool known = false;
  std::optional<std::string> stored;
  std::uint64_t stored_version = 0;
  bool writing = false;
  bool retry_pending = false;
  int failures = 0;
};

}  // namespace cassiakeel::mesh
