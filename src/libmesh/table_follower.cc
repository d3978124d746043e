#include "cassiakeel/mesh/table_follower.h"

#include <algorithm>
#include <random>

namespace cassiakeel::mesh {
namespace {

using std::chrono::milliseconds;

// Longest wait of one call for changes. A connection that went silent is found
// by keep-alive probes, not by this.
constexpr milliseconds kFollowWait{25000};
// News spread through the store within this time of each other.
constexpr milliseconds kNewsDelay{500};
constexpr milliseconds kFirstBackoff{60};
constexpr int kMostDoublings = 5;
constexpr milliseconds kLongestBackoff{1000};
// With a copy at hand, there is time: nodes have three seconds after an outage
// until bounds hold for them again, and refused calls cost as much as others.
constexpr milliseconds kLongestBackoffWithCopy{1500};

}  // namespace

std::shared_ptr<TableFollower> TableFollower::Create(
    SharedStore& store,
    std::shared_ptr<h1::TimerQueue> timers,
    std::string table,
    milliseconds pause,
    ChangeHandler on_change,
    LinkHandler on_link) {
  std::shared_ptr<TableFollower> follower(new TableFollower());
  follower->store = &store;
  follower->timers = std::move(timers);
  follower->table = std::move(table);
  follower->pause = pause;
  follower->on_change = std::move(on_change);
  follower->on_link = std::move(on_link);
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
  this->store->Follow(this->table, this->seen_version, kFollowWait,
                      [self = this->shared_from_this(),
                       current = this->generation](StoreReply reply) {
                        if (current == self->generation) {
                          self->OnChanges(std::move(reply));
                        }
                      });
}

void TableFollower::Expect(std::function<bool()> behind) {
  if (this->expecting) {
    return;
  }
  this->expecting = true;
  this->After(kNewsDelay + this->pause, [this, behind = std::move(behind)] {
    this->expecting = false;
    // While the store is lost, the usual attempts go on.
    if (this->has_loaded && this->link_up && behind()) {
      ++this->generation;
      this->Read();
    }
  });
}

void TableFollower::After(milliseconds wait, std::function<void()> action) {
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
    this->OnFault(reply);
    return;
  }
  this->NoteUp();
  // An older copy would take back what was seen already.
  if (this->has_loaded && reply.content.version < this->seen_version) {
    this->OnFault({StoreFault::kUnavailable, "read is older than seen", {}});
    return;
  }
  this->copy.clear();
  for (auto& row : reply.content.rows) {
    this->copy[row.key] = std::move(row);
  }
  this->seen_version = reply.content.version;
  this->has_loaded = true;
  this->on_change(this->copy);
  this->Follow();
}

void TableFollower::OnChanges(StoreReply reply) {
  if (reply.fault == StoreFault::kHistoryLost) {
    this->NoteUp();
    this->Read();
    return;
  }
  if (reply.fault != StoreFault::kNone) {
    this->OnFault(reply);
    return;
  }
  this->NoteUp();
  const bool changed = !reply.content.rows.empty();
  for (auto& row : reply.content.rows) {
    if (row.removed) {
      this->copy.erase(row.key);
    } else {
      this->copy[row.key] = std::move(row);
    }
  }
  this->seen_version = std::max(this->seen_version, reply.content.version);
  if (!changed) {
    this->Follow();
    return;
  }
  this->on_change(this->copy);
  this->After(this->pause, [this, current = this->generation] {
    if (current == this->generation) {
      this->Follow();
    }
  });
}

void TableFollower::NoteUp() {
  this->faults = 0;
  if (!this->link_up) {
    this->link_up = true;
    this->on_link(true, {});
  }
}

void TableFollower::OnFault(const StoreReply& reply) {
  if (this->link_up) {
    this->link_up = false;
    this->on_link(false, reply.message);
  }
  const auto doublings = std::min(this->faults++, kMostDoublings);
  const auto bound =
      std::min(this->has_loaded ? kLongestBackoffWithCopy : kLongestBackoff,
               kFirstBackoff * (1 << doublings));
  const auto wait = bound / 2 + FullJitter(bound / 2, this->rng);
  this->After(wait, [this, current = this->generation] {
    if (current != this->generation) {
      return;
    }
    if (this->has_loaded) {
      this->Follow();
    } else {
      this->Read();
    }
  });
}

}  // namespace cassiakeel::mesh
