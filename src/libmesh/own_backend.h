#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>

#include "cassiakeel/h1/timer_queue.h"
#include "cassiakeel/mesh/backend_watch.h"
#include "cassiakeel/mesh/control.h"
#include "cassiakeel/mesh/node.h"
#include "cassiakeel/mesh/registrar.h"
#include "cassiakeel/mesh/settings.h"
#include "decision_log.h"
#include "row_announcer.h"

namespace cassiakeel::mesh::pvt {

/// The backend server on this machine: what its reports and, after a restart of
/// this node, its directory row say of it, and what the gate and the other
/// nodes are told. Runs on the control thread.
class OwnBackend {
 public:
  /// Called with each entry for the server that gets work or has departed. The
  /// handler announces it if the other nodes cannot have it yet, by a job that
  /// it posts to the control thread.
  using EntryHandler = std::function<void(const DirectoryEntry& entry)>;

  /// All references must outlive the object.
  static std::unique_ptr<OwnBackend> Create(
      asio::io_context& io_context,
      const MeshSettings& settings,
      std::chrono::milliseconds report_timeout,
      std::shared_ptr<h1::TimerQueue> timers,
      const Clock& clock,
      MeshNode& node,
      std::shared_ptr<Registrar> registrar,
      RowAnnouncer& announcer,
      DecisionLog& log,
      EntryHandler on_entry);

  /// See MeshControl.
  void OnReport(const BackendReport& report, ConfirmHandler confirm);
  void OnDeparture(const InstanceId& instance,
                   std::int64_t started_at_ms,
                   ConfirmHandler confirm);

  /// Takes what the directory says of the server. Reports that arrived before
  /// this node's row was known take effect here. `from_store`: the store was
  /// read, and not only a peer.
  void OnDirectory(const Directory& directory, bool from_store);
  /// Takes this node's row as stored by another writer, which may be a peer
  /// that wrote a departure.
  void OnStoredRow(const DirectoryEntry& own);
  /// Passes the entry to the handler once more if the store does not have it.
  void OnStoreLost();
  /// The directory, and with it this node's row, was read from the store or
  /// received from a peer. Until then, reports of the backend server are held
  /// back: a late one may be of a server whose departure is in the row.
  bool row_is_known() const { return this->own_row_known; }

 private:
  OwnBackend(asio::io_context& io_context,
             const MeshSettings& settings,
             MeshNode& node,
             std::shared_ptr<Registrar> registrar,
             RowAnnouncer& announcer,
             DecisionLog& log,
             EntryHandler on_entry);
  std::function<void()> ConfirmWhenStored(ConfirmHandler confirm);
  void ConfirmUnchanged();
  void OnChange(const LocalBackend& backend);
  void PassEntry(const DirectoryEntry& entry);
  void RestoreDeparture(const DirectoryEntry& own);
  void RestoreServer(const DirectoryEntry& own);

  asio::io_context& io_context;
  const MeshSettings& settings;
  MeshNode& node;
  std::shared_ptr<Registrar> registrar;
  RowAnnouncer& announcer;
  DecisionLog& log;
  EntryHandler on_entry;
  std::unique_ptr<BackendWatch> watch;
  bool own_row_known = false;
  std::function<void()> pending_confirm;
};

}  // namespace cassiakeel::mesh::pvt
