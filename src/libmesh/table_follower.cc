#include "cassiakeel/mesh/table_follower.h"

#include <algorithm>
#include <random>
#include <utility>

namespace cassiakeel::mesh {
namespace {

using std::chrono::milliseconds;

// Longest wait of a poll. A dead connection is detected by keep-alive probes,
// not by this time.
constexpr milliseconds kMaxPollWait{25000};
constexpr milliseconds kMinPollWait{100};
// Whole reads lag behind for some seconds after the history was dropped.
constexpr milliseconds kMaxStaleTime{6000};
// All followers of a table normally receive a change within this time of each
// other.
constexpr milliseconds kPropagationDelay{500};
constexpr milliseconds kFirstBackoff{60};
constexpr int kMaxDoublings = 5;
constexpr milliseconds kMaxBackoff{1000};
// Longer, because a node with a local copy can work without the store. Nodes
// are allowed three seconds after an outage to meet their bounds again, and
// calls refused by the store cost as much as successful ones.
constexpr milliseconds kMaxBackoffWithCopy{1500};

}  // namespace

std::shared_ptr<TableFollower> TableFollower::Create(
    SharedStore& store,
    std::shared_ptr<StoreHistory> history,
    std::shared_ptr<h1::TimerQueue> timers,
    std::string table,
    milliseconds min_poll_interval,
    ChangeHandler on_change,
    ConnectionHandler on_connection,
    ReadHandler on_read) {
  std::shared_ptr<TableFollower> follower(new TableFollower());
  follower->store = &store;
  follower->history = std::move(history);
  follower->timers = std::move(timers);
  follower->table = std::move(table);
  follower->min_poll_interval = min_poll_interval;
  follower->on_change = std::move(on_change);
  follower->on_connection = std::move(on_connection);
  follower->on_read = std::move(on_read);
  follower->rng.seed(std::random_device()());
  return follower;
}

void TableFollower::Start() {
  this->Read();
}

std::function<void(StoreReply)> TableFollower::MakeHandler(
    ReplyHandler handler) {
  this->version_at_call = this->history->newest_version();
  return [self = this->shared_from_this(), handler,
          call_generation = this->generation,
          call_epoch = this->history->epoch()](StoreReply reply) {
    // A failed call without a reply of the store says nothing about its era.
    const bool names_place = reply.fault == StoreFault::kNone || reply.era;
    const auto place = names_place
                           ? self->history->Observe(reply.era, call_epoch)
                           : ReplyPlace::kUnplaced;
    if (reply.fault == StoreFault::kNone &&
        call_epoch == self->history->epoch()) {
      self->history->RecordVersion(reply.content.version);
    }
    if (call_generation == self->generation) {
      ((*self).*handler)(std::move(reply), place == ReplyPlace::kSame);
    }
  };
}

void TableFollower::SetMeanPollWait(milliseconds wait) {
  this->mean_poll_wait = wait;
  const auto now = this->timers->Now();
  if (this->poll_end && *this->poll_end > now + 2 * wait) {
    this->poll_end = now + wait;
    this->CheckWithin(wait);
  }
}

void TableFollower::Read() {
  this->is_reading = true;
  this->poll_end.reset();
  this->store->Read(this->table, this->MakeHandler(&TableFollower::OnRead));
}

void TableFollower::Follow() {
  auto wait = kMaxPollWait;
  if (this->mean_poll_wait) {
    wait = std::clamp(FullJitter(2 * *this->mean_poll_wait, this->rng),
                      kMinPollWait, kMaxPollWait);
  }
  this->Poll(wait);
}

void TableFollower::Verify() {
  const bool lacks_era = !this->is_placed || this->history->lacks_era();
  if (lacks_era && this->has_position && this->connected && !this->is_reading &&
      this->read_version < this->history->newest_version()) {
    ++this->generation;
    this->Read();
  }
}

void TableFollower::Check() {
  this->Poll(milliseconds(0));
}

void TableFollower::Poll(milliseconds wait) {
  this->is_reading = false;
  this->poll_end = this->timers->Now() + wait;
  this->store->Follow(this->table, this->table_version, wait,
                      this->MakeHandler(&TableFollower::OnChanges));
}

void TableFollower::ReloadIfBehind(std::function<bool()> is_behind) {
  if (this->reload_pending) {
    return;
  }
  this->reload_pending = true;
  this->RunAfter(kPropagationDelay + this->min_poll_interval,
                 [this, is_behind = std::move(is_behind)] {
                   this->reload_pending = false;
                   // While the store is unreachable, the regular retries
                   // continue instead.
                   if (this->is_loaded && this->connected && is_behind()) {
                     ++this->generation;
                     this->Read();
                   }
                 });
}

void TableFollower::RunAfter(milliseconds wait, std::function<void()> action) {
  this->timers->Add(
      this->timers->Now() + wait,
      [follower = this->weak_from_this(), action = std::move(action)] {
        if (const auto alive = follower.lock()) {
          action();
        }
      });
}

void TableFollower::CheckWithin(milliseconds spread) {
  this->RunAfter(FullJitter(spread, this->rng), [this,
                                                 current = this->generation] {
    if (current == this->generation && this->has_position && this->connected) {
      ++this->generation;
      this->Retry();
    }
  });
}

void TableFollower::OnStoreReturned(milliseconds spread) {
  this->poll_end.reset();
  this->has_position = false;
  this->is_placed = false;
  this->must_read = true;
  this->was_away = false;
  this->stale_since.reset();
  this->RunAfter(FullJitter(spread, this->rng),
                 [this, current = ++this->generation] {
                   if (current == this->generation) {
                     this->Read();
                   }
                 });
}

void TableFollower::OnRead(StoreReply reply, bool placed) {
  this->is_reading = false;
  if (reply.fault != StoreFault::kNone) {
    this->OnFailure(reply);
    return;
  }
  this->MarkConnected();
  const bool is_older =
      this->has_position && reply.content.version < this->table_version;
  if (is_older && placed && !this->IsStaleForLong()) {
    this->ReportRead(reply, "stale");
    this->must_read = true;
    this->ScheduleRetry(this->rereads);
    return;
  }
  const bool lacks_era = this->has_position && !placed;
  // The poll of another table may outlive a return that this read shows.
  const bool has_fallen =
      is_older || (!placed && reply.content.version < this->version_at_call);
  // Without an era, numbers that rose while the store was away show nothing.
  if (has_fallen || (lacks_era && this->was_away)) {
    this->ReportRead(reply, "returned");
    this->history->RecordReturn(has_fallen ? "table version fell"
                                           : "store was away and names no era");
    return;
  }
  const bool lacks_written_row =
      !placed && this->history->LacksWrittenRow(this->table, reply.content,
                                                this->version_at_call);
  if (lacks_written_row ||
      (lacks_era && this->HasMissedChange(reply.content))) {
    this->ReportRead(reply, "returned");
    this->history->RecordReturn("rows differ without a later version");
    return;
  }
  this->ReportRead(reply, "taken");
  this->local_rows.clear();
  for (auto& row : reply.content.rows) {
    this->local_rows[row.key] = std::move(row);
  }
  this->table_version = reply.content.version;
  this->read_version = reply.content.version;
  this->is_loaded = true;
  this->has_position = true;
  this->is_placed = placed;
  this->must_read = false;
  this->was_away = false;
  this->stale_since.reset();
  this->on_change(this->local_rows);
  this->Follow();
}

void TableFollower::OnChanges(StoreReply reply, bool placed) {
  this->poll_end.reset();
  if (reply.fault == StoreFault::kHistoryLost) {
    this->ReportRead(reply, "history_lost");
    this->MarkConnected();
    this->must_read = true;
    if (std::exchange(this->has_polled, false)) {
      this->Read();
    } else {
      // The table that was just read is older than the history.
      this->ScheduleRetry(this->rereads);
    }
    return;
  }
  if (reply.fault != StoreFault::kNone) {
    this->OnFailure(reply);
    return;
  }
  this->MarkConnected();
  this->was_away = this->was_away && !placed;
  if (this->is_placed && !placed) {
    this->Read();
    return;
  }
  if (!placed && reply.content.version < this->table_version) {
    this->history->RecordReturn("table version fell");
    return;
  }
  this->has_polled = true;
  this->rereads = 0;
  const bool changed = !reply.content.rows.empty();
  for (auto& row : reply.content.rows) {
    if (row.removed) {
      this->local_rows.erase(row.key);
    } else {
      this->local_rows[row.key] = std::move(row);
    }
  }
  this->table_version = std::max(this->table_version, reply.content.version);
  if (!changed) {
    // Without an era, a poll does not show a return after which the numbers
    // have passed the known one.
    placed ? this->Follow() : this->Read();
    return;
  }
  this->on_change(this->local_rows);
  this->RunAfter(this->min_poll_interval, [this, current = this->generation] {
    if (current == this->generation) {
      this->Follow();
    }
  });
}

void TableFollower::MarkConnected() {
  this->failures = 0;
  if (!this->connected) {
    this->connected = true;
    this->on_connection(true, {});
  }
}

bool TableFollower::HasMissedChange(const RowSet& content) const {
  std::size_t found = 0;
  for (const auto& row : content.rows) {
    const auto known = this->local_rows.find(row.key);
    const bool is_known = known != this->local_rows.end();
    found += is_known ? 1 : 0;
    if (row.version <= this->table_version &&
        (!is_known || known->second.version != row.version ||
         known->second.value != row.value)) {
      return true;
    }
  }
  // Nodes do not remove rows.
  return found < this->local_rows.size();
}

bool TableFollower::IsStaleForLong() {
  const auto now = this->timers->Now();
  if (!this->stale_since) {
    this->stale_since = now;
  }
  return now - *this->stale_since >= kMaxStaleTime;
}

void TableFollower::ReportRead(const StoreReply& reply,
                               std::string_view outcome) {
  if (this->on_read) {
    this->on_read({this->has_position ? this->table_version : 0,
                   reply.content.version, reply.content.rows.size(), reply.era,
                   outcome});
  }
}

void TableFollower::OnFailure(const StoreReply& reply) {
  this->was_away = true;
  if (this->connected) {
    this->connected = false;
    this->on_connection(false, reply.message);
  }
  this->ScheduleRetry(this->failures);
}

void TableFollower::ScheduleRetry(int& attempts) {
  const auto doublings = std::min(attempts++, kMaxDoublings);
  const auto bound =
      std::min(this->is_loaded ? kMaxBackoffWithCopy : kMaxBackoff,
               kFirstBackoff * (1 << doublings));
  const auto wait = bound / 2 + FullJitter(bound / 2, this->rng);
  this->RunAfter(wait, [this, current = this->generation] {
    if (current == this->generation) {
      this->Retry();
    }
  });
}

void TableFollower::Retry() {
  // The store may have come back from an older copy meanwhile. A long poll
  // would not show that before the next change.
  if (this->must_read || !this->is_placed) {
    this->Read();
  } else {
    this->Check();
  }
}

}  // namespace cassiakeel::mesh
