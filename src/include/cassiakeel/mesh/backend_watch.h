#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "cassiakeel/h1/timer_queue.h"
#include "cassiakeel/mesh/backend.h"

namespace cassiakeel::mesh {

/// Tracks the state of the backend server on this machine from its reports.
/// Reports may arrive late and out of order, and a restarted server may reuse
/// the address or the id. Not thread-safe; runs on the control thread.
class BackendWatch {
 public:
  using ChangeHandler = std::function<void(const LocalBackend&)>;

  /// `report_timeout`: without a report for this time the server is considered
  /// gone.
  static std::unique_ptr<BackendWatch> Create(
      std::shared_ptr<h1::TimerQueue> timers,
      const Clock& clock,
      std::chrono::milliseconds report_timeout,
      ChangeHandler on_change);

  /// Processes a report. A report older than the latest one is ignored, except
  /// that the server is leaving.
  void OnReport(const BackendReport& report);
  /// Restores the state that this node published before it restarted, unless
  /// the server has already sent a report. A server that started later replaces
  /// a restored one, because the first row may be out of an older copy.
  void Restore(const BackendReport& report);
  /// Restores a departure that this node published before it restarted. Applies
  /// to a report that has arrived since, and to those that still arrive late.
  /// Replaces an earlier server that was restored or that has the same id, so
  /// that its row is not written over the departure. Returns false if it was
  /// known.
  bool RestoreDeparture(const InstanceId& instance, std::int64_t started_at_ms);
  /// Processes a deregistration: the server has stopped or is about to. Also
  /// applies to a server that this node does not know yet, because reports sent
  /// before the deregistration may still arrive; a server that started later
  /// than the known one becomes the current one, so that its departure is
  /// published. `started_at_ms` is 0 if the server did not send it.
  void OnDeparture(const InstanceId& instance, std::int64_t started_at_ms);
  const LocalBackend& current() const { return this->backend; }

 private:
  BackendWatch(const Clock& clock, std::shared_ptr<h1::TimerQueue> timers)
      : clock(clock), timers(std::move(timers)), timer(this->timers) {}
  bool IsNewer(const BackendReport& report) const;
  bool HasDeparted(const BackendReport& report) const;
  void RecordDeparture(const InstanceId& instance, std::int64_t started_at_ms);
  void ApplyDeparture();
  void ReplaceByDeparted(const InstanceId& instance,
                         std::int64_t started_at_ms);
  void RestartTimer();

  const Clock& clock;
  std::shared_ptr<h1::TimerQueue> timers;
  std::chrono::milliseconds report_timeout{0};
  ChangeHandler on_change;
  LocalBackend backend;
  /// `backend` comes from `Restore`, and no report has confirmed it.
  bool is_restored = false;
  /// The last instance that deregistered. The deregistration covers all server
  /// processes with this id that started at or before `departed_start_ms`.
  InstanceId departed_instance;
  std::int64_t departed_start_ms = 0;
  h1::Timer timer;
};

}  // namespace cassiakeel::mesh
