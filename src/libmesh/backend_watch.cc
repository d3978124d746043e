#include "cassiakeel/mesh/backend_watch.h"

namespace cassiakeel::mesh {
namespace {

// True if the change has to be reported, that is, if more than the sequence
// number or the remaining warm-up time differs.
bool IsVisibleChange(const BackendReport& a, const BackendReport& b) {
  return a.instance != b.instance || a.service != b.service ||
         a.address != b.address || a.slots != b.slots ||
         a.leaving != b.leaving || a.started_at_ms != b.started_at_ms;
}

}  // namespace

std::unique_ptr<BackendWatch> BackendWatch::Create(
    std::shared_ptr<h1::TimerQueue> timers,
    const Clock& clock,
    std::chrono::milliseconds report_timeout,
    ChangeHandler on_change) {
  std::unique_ptr<BackendWatch> watch(
      new BackendWatch(clock, std::move(timers)));
  watch->report_timeout = report_timeout;
  watch->on_change = std::move(on_change);
  return watch;
}

bool BackendWatch::IsNewer(const BackendReport& report) const {
  const auto& known = this->backend.report;
  if (known.instance.Value().empty()) {
    return true;
  }
  if (report.started_at_ms != known.started_at_ms) {
    return report.started_at_ms > known.started_at_ms;
  }
  return report.instance != known.instance || report.sequence > known.sequence;
}

void BackendWatch::OnReport(const BackendReport& report) {
  if (!this->IsNewer(report)) {
    // A server does not become active again, so that this holds even if later
    // reports have arrived before.
    if (report.leaving) {
      this->RestoreDeparture(report.instance, report.started_at_ms);
    }
    return;
  }
  auto next = report;
  const bool same_start =
      report.instance == this->backend.report.instance &&
      report.started_at_ms == this->backend.report.started_at_ms;
  // A server that has left cannot become active again without a restart.
  next.leaving = report.leaving ||
                 (same_start && this->backend.report.leaving) ||
                 this->HasDeparted(report);
  if (next.leaving) {
    this->RecordDeparture(next.instance, next.started_at_ms);
  }
  const bool changed =
      !this->backend.present || IsVisibleChange(next, this->backend.report);
  this->backend = {true, next};
  this->is_restored = false;
  this->RestartTimer();
  if (changed) {
    this->on_change(this->backend);
  }
}

void BackendWatch::Restore(const BackendReport& report) {
  const auto& known = this->backend.report;
  if (known.instance.Value().empty() ||
      (this->is_restored && report.started_at_ms > known.started_at_ms)) {
    this->OnReport(report);
    this->is_restored = true;
  }
}

bool BackendWatch::RestoreDeparture(const InstanceId& instance,
                                    std::int64_t started_at_ms) {
  if (this->departed_instance == instance &&
      this->departed_start_ms >= started_at_ms) {
    return false;
  }
  this->RecordDeparture(instance, started_at_ms);
  const auto& known = this->backend.report;
  const bool may_replace = this->is_restored || known.instance == instance;
  if (may_replace && started_at_ms > known.started_at_ms) {
    this->ReplaceByDeparted(instance, started_at_ms);
  } else {
    this->ApplyDeparture();
  }
  return true;
}

void BackendWatch::OnDeparture(const InstanceId& instance,
                               std::int64_t started_at_ms) {
  const auto& known = this->backend.report;
  if (started_at_ms > known.started_at_ms) {
    this->RecordDeparture(instance, started_at_ms);
    this->ReplaceByDeparted(instance, started_at_ms);
    return;
  }
  if (started_at_ms <= 0) {
    const auto now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->clock.WallNow().time_since_epoch());
    // Without a known start time: the server runs on this machine and uses the
    // same clock, so that it must have started before now.
    started_at_ms = known.instance == instance && known.started_at_ms > 0
                        ? known.started_at_ms
                        : now_ms.count();
  }
  this->RecordDeparture(instance, started_at_ms);
  this->ApplyDeparture();
}

void BackendWatch::RecordDeparture(const InstanceId& instance,
                                   std::int64_t started_at_ms) {
  // A late copy of an earlier departure does not replace a later one.
  if (started_at_ms >= this->departed_start_ms) {
    this->departed_instance = instance;
    this->departed_start_ms = started_at_ms;
  }
}

void BackendWatch::ApplyDeparture() {
  if (!this->HasDeparted(this->backend.report) ||
      this->backend.report.leaving) {
    return;
  }
  this->backend.report.leaving = true;
  this->on_change(this->backend);
}

void BackendWatch::ReplaceByDeparted(const InstanceId& instance,
                                     std::int64_t started_at_ms) {
  this->backend = {};
  this->is_restored = false;
  this->backend.report.instance = instance;
  this->backend.report.started_at_ms = started_at_ms;
  this->backend.report.leaving = true;
  this->on_change(this->backend);
}

bool BackendWatch::HasDeparted(const BackendReport& report) const {
  return !this->departed_instance.Value().empty() &&
         report.instance == this->departed_instance &&
         report.started_at_ms <= this->departed_start_ms;
}

void BackendWatch::RestartTimer() {
  this->timer.Set(this->timers->Now() + this->report_timeout, [this] {
    this->backend.present = false;
    this->on_change(this->backend);
  });
}

}  // namespace cassiakeel::mesh
