#include "own_backend.h"

#include <asio/post.hpp>
#include <utility>

#include "control_log.h"

namespace cassiakeel::mesh::pvt {

std::unique_ptr<OwnBackend> OwnBackend::Create(
    const OwnBackendContext& context,
    std::shared_ptr<h1::TimerQueue> timers,
    std::chrono::milliseconds report_timeout,
    EntryHandler on_entry) {
  std::unique_ptr<OwnBackend> own(new OwnBackend(context, std::move(on_entry)));
  own->watch =
      BackendWatch::Create(std::move(timers), context.clock, report_timeout,
                           [raw = own.get()](const LocalBackend& backend) {
                             raw->OnChange(backend);
                           });
  return own;
}

void OwnBackend::OnReport(const BackendReport& report, ConfirmHandler confirm) {
  this->pending_confirm =
      report.leaving ? this->ConfirmWhenStored(std::move(confirm))
                     : [confirm = std::move(confirm)] { confirm(true); };
  this->watch->OnReport(report);
  this->ConfirmUnchanged();
}

void OwnBackend::OnDeparture(const InstanceId& instance,
                             std::int64_t started_at_ms,
                             ConfirmHandler confirm) {
  this->pending_confirm = this->ConfirmWhenStored(std::move(confirm));
  this->watch->OnDeparture(instance, started_at_ms);
  this->ConfirmUnchanged();
}

std::function<void()> OwnBackend::ConfirmWhenStored(ConfirmHandler confirm) {
  return [this, confirm = std::move(confirm)] {
    asio::post(this->context.io_context, [this, confirm] {
      this->context.registrar.WhenStored(
          [this, confirm](bool stored) { this->OnStored(stored, confirm); });
    });
  };
}

void OwnBackend::OnStored(bool stored, const ConfirmHandler& confirm) {
  if (!stored) {
    this->context.log.Write(
        "departure_not_stored",
        JsonString("instance", this->watch->current().report.instance.Value()));
    confirm(false);
    return;
  }
  // Behind the announcement, which may wait to be run.
  asio::post(this->context.io_context, [this, confirm] {
    this->context.announcer.WhenSent([confirm] { confirm(true); });
  });
}

void OwnBackend::ConfirmUnchanged() {
  if (const auto applied = std::exchange(this->pending_confirm, nullptr)) {
    applied();
  }
}

void OwnBackend::OnChange(const LocalBackend& backend) {
  if (!this->own_row_known) {
    return;
  }
  LogBackend(this->context.log, backend);
  this->context.node.SetBackend(backend,
                                std::exchange(this->pending_confirm, nullptr));
  const auto entry = MakeDirectoryEntry(this->context.settings, backend);
  this->context.registrar.Publish(entry);
  this->PassEntry(entry);
}

void OwnBackend::PassEntry(const DirectoryEntry& entry) {
  if (entry.departed || !entry.leaving) {
    this->on_entry(entry);
  }
}

void OwnBackend::OnStoreLost() {
  const auto& current = this->watch->current();
  if (this->own_row_known && !current.report.instance.Value().empty() &&
      !this->context.registrar.IsStored()) {
    this->PassEntry(MakeDirectoryEntry(this->context.settings, current));
  }
}

void OwnBackend::OnDirectory(const Directory& directory, bool from_store) {
  const auto found = directory.find(this->context.settings.node);
  if (found != directory.end()) {
    this->RestoreDeparture(found->second);
    // A peer may not have read the departure of this server yet. Its next
    // report shows that it has not left.
    if (from_store) {
      this->RestoreServer(found->second);
    }
  }
  if (!std::exchange(this->own_row_known, true) &&
      !this->watch->current().report.instance.Value().empty()) {
    this->OnChange(this->watch->current());
  }
}

void OwnBackend::OnStoredRow(const DirectoryEntry& own) {
  this->RestoreDeparture(own);
  this->RestoreServer(own);
}

void OwnBackend::RestoreDeparture(const DirectoryEntry& own) {
  if (own.departed &&
      this->watch->RestoreDeparture(own.instance, own.started_at_ms)) {
    this->context.log.Write("departure_restored",
                            JsonString("instance", own.instance.Value()) + "," +
                                JsonNumber("started_at_ms", own.started_at_ms));
  }
}

void OwnBackend::RestoreServer(const DirectoryEntry& own) {
  if (own.departed || own.leaving ||
      own.service != this->context.settings.service ||
      this->context.settings.backend_address.Value().empty()) {
    return;
  }
  BackendReport report;
  report.instance = own.instance;
  report.service = own.service;
  report.address = this->context.settings.backend_address;
  report.slots = own.slots;
  report.started_at_ms = own.started_at_ms;
  this->watch->Restore(report);
}

}  // namespace cassiakeel::mesh::pvt
