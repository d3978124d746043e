#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <utility>

#include "cassiakeel/h1/timer_queue.h"
#include "cassiakeel/mesh/backend_watch.h"
#include "cassiakeel/mesh/control.h"
#include "cassiakeel/mesh/node.h"
#include "cassiakeel/mesh/registrar.h"
#include "cassiakeel/mesh/settings.h"
#include "decision_log.h"
#include "row_announcer.h"

namespace cassiakeel::mesh::pvt {

/// What an `OwnBackend` uses. All references must outlive it.
struct OwnBackendContext {
  asio::io_context& io_context;
  const MeshSettings& settings;
  const Clock& clock;
  MeshNode& node;
  Registrar& registrar;
  RowAnnouncer& announcer;
  DecisionLog& log;
};

/// The backend server on this machine: what its reports and, after a restart of
/// this node, its directory row say of it, and what the gate and the other
/// nodes are told. Runs on the control thread.
class OwnBackend {
 public:
  /// Called with each entry for the server that gets work or has departed. The
  /// handler announces it if the other nodes cannot have it yet, by a job that
  /// it posts to the control thread.
  using EntryHandler = std::function<void(const DirectoryEntry& entry)>;

  /// `report_timeout`: without a report for this time the server is considered
  /// gone.
  static std::unique_ptr<OwnBackend> Create(
      const OwnBackendContext& context,
      std::shared_ptr<h1::TimerQueue> timers,
      std::chrono::milliseconds report_timeout,
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
  OwnBackend(const OwnBackendContext& context, EntryHandler on_entry)
      : context(context), on_entry(std::move(on_entry)) {}
  // Confirms a departure that the gate applies only when the store has it and
  // the other nodes were told, because a restarted node knows no other.
  std::function<void()> ConfirmWhenStored(ConfirmHandler confirm);
  void OnStored(bool stored, const ConfirmHandler& confirm);
  // Confirms a report at once if it changed nothing. Otherwise OnChange has
  // passed the callback to the node.
  void ConfirmUnchanged();
  void OnChange(const LocalBackend& backend);
  void PassEntry(const DirectoryEntry& entry);
  void RestoreDeparture(const DirectoryEntry& own);
  // Takes up the server before its next report. A row of a server that is gone
  // is harmless, because each request names the expected instance.
  void RestoreServer(const DirectoryEntry& own);

  OwnBackendContext context;
  EntryHandler on_entry;
  std::unique_ptr<BackendWatch> watch;
  bool own_row_known = false;
  /// Confirms the report that is being processed.
  std::function<void()> pending_confirm;
};

}  // namespace cassiakeel::mesh::pvt
