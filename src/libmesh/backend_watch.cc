#include "cassiakeel/mesh/backend_watch.h"

namespace cassiakeel::mesh {
namespace {

// Whether the change matters to anybody but the watch.
bool Differs(const BackendReport& a, const BackendReport& b) {
  return a.instance != b.instance || a.service != b.service ||
         a.address != b.address || a.slots != b.slots ||
         a.leaving != b.leaving || a.started_at_ms != b.started_at_ms;
}

}  // namespace

std::unique_ptr<BackendWatch> BackendWatch::Create(
    std::shared_ptr<h1::TimerQueue> timers,
    const Clock& clock,
    std::chrono::milliseconds silence,
    ChangeHandler on_change) {
  std::unique_ptr<BackendWatch> watch(
      new BackendWatch(clock, std::move(timers)));
  watch->silence = silence;
  watch->on_change = std::move(on_change);
  return watch;
}

bool BackendWatch::IsNews(const BackendReport& report) const {
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
  if (!this->IsNews(report)) {
    return;
  }
  auto next = report;
  const bool same_start =
      report.instance == this->backend.report.instance &&
      report.started_at_ms == this->backend.report.started_at_ms;
  // A server that left does not come back without a new start.
  next.leaving = report.leaving ||
                 (same_start && this->backend.report.leaving) ||
                 this->HasDeparted(report);
  const bool changed =
      !this->backend.present || Differs(next, this->backend.report);
  this->backend = {true, next};
  this->Arm();
  if (changed) {
    this->on_change(this->backend);
  }
}

void BackendWatch::Restore(const BackendReport& report) {
  if (this->backend.report.instance.Value().empty()) {
    this->OnReport(report);
  }
}

void BackendWatch::OnDeparture(const InstanceId& instance,
                               std::int64_t started_at_ms) {
  const auto& known = this->backend.report;
  const auto wall_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->clock.WallNow().time_since_epoch());
  this->departed = instance;
  if (started_at_ms > 0) {
    this->departed_start_ms = started_at_ms;
  } else if (known.instance == instance && known.started_at_ms > 0) {
    this->departed_start_ms = known.started_at_ms;
  } else {
    // The server runs on this machine, by the same clock.
    this->departed_start_ms = wall_ms.count();
  }
  if (!this->HasDeparted(known) || known.leaving) {
    return;
  }
  this->backend.report.leaving = true;
  this->on_change(this->backend);
}

bool BackendWatch::HasDeparted(const BackendReport& report) const {
  return !this->departed.Value().empty() && report.instance == this->departed &&
         report.started_at_ms <= this->departed_start_ms;
}

void BackendWatch::Arm() {
  this->timer.Set(this->timers->Now() + this->silence, [this] {
    this->backend.present = false;
    this->on_change(this->backend);
  });
}

}  // namespace cassiakeel::mesh
