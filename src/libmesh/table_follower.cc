#include "cassiakeel/mesh/table_follower.h"

#include <algorithm>
#include <random>

namespace cassiakeel::mesh {
namespace {

using std::chrono::milliseconds;

// Maximum duration of one long poll. A dead connection is detected by
// keep-alive probes, not by this timeout.
constexpr milliseconds kFollowWait{25000};
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
    std::shared_ptr<h1::TimerQueue> timers,
    std::string table,
    milliseconds min_poll_interval,
    ChangeHandler on_change,
    ConnectionHandler on_connection,
    ReadHandler on_read) {
  std::shared_ptr<TableFollower> follower(new TableFollower());
  follower->store = &store;
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

void TableFollower::Read() {
  this->store->Read(this->table,
                    [self = this->shared_from_this(),
                     current = this->generation](StoreReply reply) {
                      if (current == self->generation) {
                        self->OnRead(std::move(reply));
                      }
                    });
}

void TableFollower::Follow() {
  this->store->Follow(this->table, this->table_version, kFollowWait,
                      [self = this->shared_from_this(),
                       current = this->generation](StoreReply reply) {
                        if (current == self->generation) {
                          self->OnChanges(std::move(reply));
                        }
                      });
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

void TableFollower::OnRead(StoreReply reply) {
  if (reply.fault != StoreFault::kNone) {
    this->OnFailure(reply);
    return;
  }
  this->MarkConnected();
  // An older copy would revert changes that were already applied.
  const bool is_older =
      this->is_loaded && reply.content.version < this->table_version;
  this->ReportRead(reply, is_older ? "older" : "taken");
  if (is_older) {
    this->OnFailure({StoreFault::kUnavailable,
                     "store returned an older table version than before",
                     {}});
    return;
  }
  this->local_rows.clear();
  for (auto& row : reply.content.rows) {
    this->local_rows[row.key] = std::move(row);
  }
  this->table_version = reply.content.version;
  this->is_loaded = true;
  this->on_change(this->local_rows);
  this->Follow();
}

void TableFollower::OnChanges(StoreReply reply) {
  if (reply.fault == StoreFault::kHistoryLost) {
    this->ReportRead(reply, "history_lost");
    this->MarkConnected();
    this->Read();
    return;
  }
  if (reply.fault != StoreFault::kNone) {
    this->OnFailure(reply);
    return;
  }
  this->MarkConnected();
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
    this->Follow();
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

void TableFollower::ReportRead(const StoreReply& reply,
                               std::string_view outcome) {
  if (this->on_read) {
    this->on_read({this->table_version, reply.content.version,
                   reply.content.rows.size(), reply.era, outcome});
  }
}

void TableFollower::OnFailure(const StoreReply& reply) {
  if (this->connected) {
    this->connected = false;
    this->on_connection(false, reply.message);
  }
  const auto doublings = std::min(this->failures++, kMaxDoublings);
  const auto bound =
      std::min(this->is_loaded ? kMaxBackoffWithCopy : kMaxBackoff,
               kFirstBackoff * (1 << doublings));
  const auto wait = bound / 2 + FullJitter(bound / 2, this->rng);
  this->RunAfter(wait, [this, current = this->generation] {
    if (current != this->generation) {
      return;
    }
    if (this->is_loaded) {
      this->Follow();
    } else {
      this->Read();
    }
  });
}

}  // namespace cassiakeel::mesh
