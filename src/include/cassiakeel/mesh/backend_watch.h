#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "cassiakeel/h1/timer_queue.h"
#include "cassiakeel/mesh/backend.h"

namespace cassiakeel::mesh {

/// Follows the backend server beside this node by its reports. Reports may come
/// late and out of order, and a successor may use the same address or id.
/// Runs on the control thread.
class BackendWatch {
 public:
  using ChangeHandler = std::function<void(const LocalBackend&)>;

  /// `silence` is the time without a report after which the server is taken as
  /// gone.
  static std::unique_ptr<BackendWatch> Create(
      std::shared_ptr<h1::TimerQueue> timers,
      const Clock& clock,
      std::chrono::milliseconds silence,
      ChangeHandler on_change);

  /// Takes a report; one that is older than what is known changes nothing.
  void OnReport(const BackendReport& report);
  /// Takes what a predecessor of this process wrote down, unless the server has
  /// reported already.
  void Restore(const BackendReport& report);
  /// The server says that it is gone or goes at once. Holds also for one that
  /// this node does not know yet, whose reports may still come late.
  /// `started_at_ms` is 0 where the server did not say it.
  void OnDeparture(const InstanceId& instance, std::int64_t started_at_ms);
  const LocalBackend& current() const { return this->backend; }

 private:
  BackendWatch(const Clock& clock, std::shared_ptr<h1::TimerQueue> timers)
      : clock(clock), timers(std::move(timers)), timer(this->timers) {}
  bool IsNews(const BackendReport& report) const;
  bool HasDeparted(const BackendReport& report) const;
  void Arm();

  const Clock& clock;
  std::shared_ptr<h1::TimerQueue> timers;
  std::chrono::milliseconds silence{0};
  ChangeHandler on_change;
  LocalBackend backend;
  /// The instance that departed last, with the latest start that this covers.
  InstanceId departed;
  std::int64_t departed_start_ms = 0;
  h1::Timer timer;
};

}  // namespace cassiakeel::mesh
