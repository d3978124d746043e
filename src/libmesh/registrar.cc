#include "cassiakeel/mesh/registrar.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "cassiakeel/h1/client.h"

namespace cassiakeel::mesh {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Far more calls than one server runs at the same time.
constexpr std::int64_t kMaxSlots = 1'000'000;
// The year 5138, in ms since the Unix epoch.
constexpr std::int64_t kMaxStartTimeMs = 100'000'000'000'000;
constexpr milliseconds kFirstRetryDelay{150};
constexpr milliseconds kMaxRetryDelay{1500};
// A backend server takes a confirmation that arrives within a second.
constexpr milliseconds kMaxStoreWait{900};

std::int64_t WholeNumber(const json& row,
                         const char* field,
                         std::int64_t min,
                         std::int64_t max) {
  const auto& value = row.at(field);
  // A number beyond 64 bits is not an integer here; one beyond 63 bits becomes
  // negative below.
  if (!value.is_number_integer()) {
    throw std::out_of_range(std::string(field) + " is not a whole number");
  }
  const auto number = value.get<std::int64_t>();
  if (number < min || number > max) {
    throw std::out_of_range(std::string(field) + " is out of range");
  }
  return number;
}

}  // namespace

DirectoryEntry MakeDirectoryEntry(const MeshSettings& settings,
                                  const LocalBackend& backend) {
  const auto& report = backend.report;
  DirectoryEntry entry;
  entry.node = settings.node;
  entry.address = settings.advertised_address.Value().empty()
                      ? settings.inbound_address
                      : settings.advertised_address;
  entry.zone = settings.zone;
  // A server that left before its first report has not named its service.
  entry.service =
      report.service.Value().empty() ? settings.service : report.service;
  entry.instance = report.instance;
  entry.slots = report.slots;
  entry.started_at_ms = report.started_at_ms;
  entry.leaving = report.leaving || !backend.present;
  entry.departed = report.leaving;
  return entry;
}

std::string EncodeDirectoryEntry(const DirectoryEntry& entry) {
  return json{
      {"address", entry.address.Value()}, {"zone", entry.zone.Value()},
      {"service", entry.service.Value()}, {"instance", entry.instance.Value()},
      {"slots", entry.slots.Value()},     {"started", entry.started_at_ms},
      {"leaving", entry.leaving},         {"departed", entry.departed}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<DirectoryEntry> DecodeDirectoryEntry(const std::string& key,
                                            const std::string& value) {
  try {
    const auto row = json::parse(value);
    DirectoryEntry entry;
    entry.node = NodeId(key);
    entry.address = PeerAddress(row.at("address").get<std::string>());
    entry.zone = ZoneName(row.at("zone").get<std::string>());
    entry.service = ServiceName(row.at("service").get<std::string>());
    entry.instance = InstanceId(row.at("instance").get<std::string>());
    entry.slots =
        Slots(static_cast<int>(WholeNumber(row, "slots", 1, kMaxSlots)));
    entry.started_at_ms = WholeNumber(row, "started", 0, kMaxStartTimeMs);
    entry.leaving = row.at("leaving").get<bool>();
    // Rows of earlier releases lack the field.
    entry.departed = row.value("departed", false);
    if (!IsName(entry.service.Value()) || !IsName(entry.instance.Value()) ||
        !IsName(entry.zone.Value())) {
      return Fail("decode directory row " + key,
                  "service, instance or zone is not a valid name");
    }
    if (!h1::IsPeerAddress(entry.address)) {
      return Fail("decode directory row " + key,
                  "address is not an IP address and port");
    }
    return entry;
  } catch (const std::exception& error) {
    return Fail("decode directory row " + key, error.what());
  }
}

Directory DecodeDirectory(const RowMap& rows) {
  Directory directory;
  for (const auto& [key, row] : rows) {
    if (const auto entry = DecodeDirectoryEntry(key, row.value)) {
      directory.emplace(entry->node, *entry);
    }
  }
  return directory;
}

std::shared_ptr<Registrar> Registrar::Create(
    SharedStore& store,
    std::shared_ptr<StoreHistory> history,
    std::shared_ptr<h1::TimerQueue> timers,
    std::string table,
    NodeId node) {
  std::shared_ptr<Registrar> registrar(new Registrar());
  registrar->store = &store;
  registrar->history = std::move(history);
  registrar->timers = std::move(timers);
  registrar->table = std::move(table);
  registrar->node = std::move(node);
  return registrar;
}

void Registrar::Publish(std::optional<DirectoryEntry> entry) {
  this->has_desired = true;
  this->desired.reset();
  if (entry) {
    this->desired = EncodeDirectoryEntry(*entry);
  }
  this->Reconcile();
}

void Registrar::OnStoreReturned() {
  this->stored_known = false;
  this->stored_value.reset();
  this->stored_version = 0;
  this->writing = false;
  this->retry_pending = false;
  this->failures = 0;
}

void Registrar::OnRows(const RowMap& rows) {
  this->stored_known = true;
  const auto found = rows.find(this->node.Value());
  if (found == rows.end()) {
    this->stored_value.reset();
    this->stored_version = 0;
  } else if (found->second.version >= this->stored_version) {
    this->stored_value = found->second.value;
    this->stored_version = found->second.version;
  }
  this->Reconcile();
}

void Registrar::WhenStored(std::function<void(bool stored)> handler) {
  if (this->IsStored()) {
    handler(true);
    return;
  }
  const auto id = this->next_waiter_id++;
  this->waiters.emplace(id, std::move(handler));
  this->timers->Add(this->timers->Now() + kMaxStoreWait,
                    [registrar = this->weak_from_this(), id] {
                      if (const auto self = registrar.lock()) {
                        self->GiveUpWaiter(id);
                      }
                    });
  // Somebody waits for this write, so it does not wait for the next retry.
  if (this->retry_pending && this->stored_known && !this->writing) {
    this->Write();
  }
}

bool Registrar::IsStored() const {
  return this->stored_known && !this->writing &&
         (!this->has_desired || this->desired == this->stored_value);
}

void Registrar::NotifyWaiters() {
  for (const auto& [id, handler] : std::exchange(this->waiters, {})) {
    handler(true);
  }
}

void Registrar::GiveUpWaiter(std::uint64_t id) {
  const auto found = this->waiters.find(id);
  if (found == this->waiters.end()) {
    return;
  }
  const auto handler = std::move(found->second);
  this->waiters.erase(found);
  handler(false);
}

void Registrar::Reconcile() {
  if (this->IsStored()) {
    this->NotifyWaiters();
    return;
  }
  if (this->has_desired && this->stored_known && !this->writing &&
      !this->retry_pending) {
    this->Write();
  }
}

void Registrar::Write() {
  this->writing = true;
  this->store->Write(
      this->table, this->node.Value(), this->desired, this->stored_version,
      [self = this->shared_from_this(), value = this->desired,
       write = SentWrite{this->table, this->node.Value(), !this->desired,
                         this->history->epoch()}](const WriteReply& reply) {
        // A write of an earlier epoch was conditional on a version that is
        // void, and its reply does not tell what the store contains now.
        if (!self->history->ObserveWrite(write, reply)) {
          return;
        }
        self->writing = false;
        if (reply.fault == StoreFault::kNone && reply.applied) {
          self->stored_value = value;
          self->stored_version = value ? reply.version : 0;
          if (self->on_stored) {
            self->on_stored(reply.version);
          }
        }
        self->OnWritten(reply);
      });
}

void Registrar::OnWritten(const WriteReply& reply) {
  if (reply.fault != StoreFault::kNone) {
    this->ScheduleRetry();
    return;
  }
  this->failures = 0;
  if (!reply.applied) {
    // An earlier write of this node that seemed to have failed took effect, or
    // another process has written the row.
    this->stored_value.reset();
    this->stored_version = 0;
    if (reply.current) {
      this->stored_value = reply.current->value;
      this->stored_version = reply.current->version;
      if (this->on_conflict) {
        this->on_conflict(*reply.current);
      }
    }
  }
  this->Reconcile();
}

void Registrar::ScheduleRetry() {
  if (std::exchange(this->retry_pending, true)) {
    return;
  }
  const auto wait = std::min(
      kMaxRetryDelay, kFirstRetryDelay * (1 << std::min(this->failures++, 4)));
  this->timers->Add(this->timers->Now() + wait,
                    [registrar = this->weak_from_this()] {
                      // Weak, because the registrar owns the timer queue.
                      if (const auto self = registrar.lock()) {
                        self->retry_pending = false;
                        self->Reconcile();
                      }
                    });
}

}  // namespace cassiakeel::mesh
