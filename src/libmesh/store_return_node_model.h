// The nodes of the model, see store_return_model.h.

#pragma once

#include <set>
#include <tuple>

#include "cassiakeel/mesh/directory_view.h"
#include "peer_versions.h"
#include "store_return_model.h"

namespace cassiakeel::mesh {

// What a node knows of one table, as in TableFollower.
struct ModelFollower {
  std::uint64_t version = 0;
  bool has_position = false;
  bool was_away = false;
  int generation = 0;
};

// The memory of a node, which a restart loses, and what the checker knows of
// this run.
struct ModelMemory {
  DirectoryView view;
  std::uint64_t policy = 0;
  ModelFollower followers[2];
  pvt::PeerVersions versions;
  std::optional<DirectoryEntry> own;
  // `own` comes from the stored row, and no report has confirmed it.
  bool is_restored = false;
  bool own_row_known = false;
  int last_report = 0;
  std::set<NodeId> keeping;
  std::set<std::tuple<NodeId, InstanceId, std::int64_t>> seen_departures;
  std::map<NodeId, std::int64_t> seen_starts;
  std::uint64_t used_era[2] = {0, 0};
  std::uint64_t used_epoch[2] = {0, 0};
};

// The timers of registrars, which do not run: writes in this file do not fail.
struct IdleTimers {
  asio::io_context io_context;
  ManualClock clock;
  std::shared_ptr<h1::TimerQueue> queue =
      h1::TimerQueue::Create(this->io_context, this->clock);
};

class ModelNode {
 public:
  ModelNode(ModelWorld& world, IdleTimers& timers, int number)
      : world(world),
        timers(timers),
        name(std::string(1, static_cast<char>('a' + number))),
        store(world, this->run) {}

  void Start() {
    ++this->run;
    this->memory = {};
    this->history = StoreHistory::Create(
        [this, run = this->run](const StoreHistory::Return&) {
          if (run == this->run) {
            this->OnReturn();
          }
        },
        [](StoreEra) {});
    this->registrar = Registrar::Create(this->store, this->history,
                                        this->timers.queue, "t", this->name);
    this->registrar->OnConflict([this, run = this->run](const StoredRow& row) {
      if (run == this->run) {
        this->RestoreFrom(*DecodeDirectoryEntry(row.key, row.value));
      }
    });
    this->Read(kPolicyTable, 0);
    this->Read(kDirectoryTable, 0);
  }

  void Restart() {
    if (!this->ended) {
      this->Start();
    }
  }

  void End() {
    ++this->run;
    this->ended = true;
    this->server.reset();
  }

  // A call of each follower fails.
  void LoseConnections() {
    for (auto& follower : this->memory.followers) {
      follower.was_away = true;
    }
  }

  void Pause(int time) { this->paused_until = this->world.now + time; }

  // Starts the next server process.
  void StartServer() {
    if (this->ended) {
      return;
    }
    auto entry = MakeEntry("i" + std::to_string(this->world.Random(1, 2)));
    entry.node = this->name;
    entry.started_at_ms = this->world.now + 1;
    this->server = entry;
  }

  // The server announces its departure to its node and ends. Its successor
  // starts later.
  void DepartServer() {
    auto& own = this->memory.own;
    if (this->ended || !this->server || !own ||
        this->world.now < this->paused_until || !this->IsServer(*own)) {
      return;
    }
    this->server.reset();
    this->MarkDeparted();
    if (this->world.Chance(70)) {
      this->world.After(this->world.Random(500, 5000),
                        [this] { this->StartServer(); });
    }
  }

  // A report of the server arrives, or does not.
  void Report() {
    auto& own = this->memory.own;
    if (!this->ended && this->memory.own_row_known &&
        this->world.now >= this->paused_until) {
      if (this->server && (!own || !this->IsServer(*own))) {
        own = this->server;
        this->registrar->Publish(own);
      }
      if (this->server) {
        this->memory.is_restored = false;
        this->memory.last_report = this->world.now;
      } else if (own && !own->leaving &&
                 this->world.now - this->memory.last_report >
                     kReportTimeoutMs) {
        own->leaving = true;
        this->registrar->Publish(own);
      }
    }
    // Also when no rows arrive, the end of a grace changes what is shown.
    this->CheckShown();
    this->world.After(this->world.Random(400, 900), [this] { this->Report(); });
  }

  void HearPeer(const ModelNode& peer) {
    if (this->ended || peer.ended) {
      return;
    }
    auto& versions = this->memory.versions;
    const auto told = peer.memory.versions.own;
    const auto known =
        std::max(versions.own.directory, versions.newest.directory);
    const bool is_news =
        pvt::RecordPeerVersions(versions, told, this->world.Now());
    if (told.directory > known && !is_news) {
      this->world.Fail("a later position of a peer is ignored");
    }
  }

  Directory Shown() const {
    auto shown = VisibleDirectory(this->memory.view, this->world.Now());
    if (this->world.fault == ModelFault::kUseCopyAfterGrace) {
      for (const auto& [node, kept] : this->memory.view.kept) {
        const auto row = this->memory.view.stored.find(node);
        if (kept.grace_end && *kept.grace_end <= this->world.Now() &&
            row != this->memory.view.stored.end()) {
          shown[node] = row->second;
        }
      }
    }
    return shown;
  }

  void CheckShown() {
    if (this->ended) {
      return;
    }
    for (const auto& [node, entry] : this->Shown()) {
      const std::tuple process(node, entry.instance, entry.started_at_ms);
      if (entry.departed) {
        this->memory.seen_departures.insert(process);
      } else if (!entry.leaving &&
                 this->memory.seen_departures.contains(process)) {
        this->world.Fail("a departed server is shown as live");
      }
      auto& start = this->memory.seen_starts[node];
      if (!entry.leaving && entry.started_at_ms < start) {
        this->world.Fail("a server is replaced by an earlier one");
      }
      start = std::max(start, entry.started_at_ms);
    }
  }

  void CheckEnd(const std::vector<std::unique_ptr<ModelNode>>& nodes) {
    if (this->ended) {
      return;
    }
    if (this->memory.policy != this->world.newest_policy) {
      this->world.Fail("a node has an older policy than the store");
    }
    const auto shown = this->Shown();
    const auto stored = DecodeDirectory(this->world.store.directory);
    for (const auto& node : nodes) {
      const auto seen = shown.find(node->name);
      const auto row = stored.find(node->name);
      // A server that gets no calls is as good as none.
      const bool is_shown = seen != shown.end() && !seen->second.leaving;
      const bool is_stored = row != stored.end() && !row->second.leaving;
      const bool is_same =
          is_shown == is_stored && (!is_shown || seen->second == row->second);
      if (seen != shown.end() && seen->second.departed &&
          (row == stored.end() ||
           !CoversDeparture(row->second, seen->second))) {
        this->world.Fail("the store lacks a departure");
      }
      // The row of a node that has ended may be one that is not used.
      if (!is_same && (!node->ended || is_shown)) {
        this->world.Fail("a node and the store differ on " +
                         node->name.Value());
      }
      if (!node->ended && node->server &&
          (!is_shown || !(seen->second == *node->server))) {
        this->world.Fail("a live server is not shown");
      }
    }
  }

 private:
  bool IsServer(const DirectoryEntry& entry) const {
    return entry.instance == this->server->instance &&
           entry.started_at_ms == this->server->started_at_ms;
  }

  void MarkDeparted() {
    this->memory.own->leaving = true;
    this->memory.own->departed = true;
    this->registrar->Publish(this->memory.own);
  }

  // Runs `action` when the node is not paused, unless it restarts before.
  void Run(std::function<void()> action) {
    if (this->world.now < this->paused_until) {
      this->world.After(this->paused_until - this->world.now,
                        [this, run = this->run, action] {
                          if (run == this->run) {
                            this->Run(action);
                          }
                        });
      return;
    }
    action();
  }

  void Read(ModelTable table, int wait) {
    const auto generation = this->memory.followers[table].generation;
    this->world.Call(wait,
                     [this, table, generation, run = this->run,
                      epoch = this->history->epoch()](const ModelReply& r) {
                       if (run == this->run) {
                         this->Run([this, table, generation, epoch, r] {
                           this->OnReply(table, generation, epoch, r);
                         });
                       }
                     });
  }

  void ReadAfter(ModelTable table, int delay, int wait) {
    this->world.After(
        delay, [this, table, wait, run = this->run,
                generation = this->memory.followers[table].generation] {
          if (run == this->run &&
              generation == this->memory.followers[table].generation) {
            this->Read(table, wait);
          }
        });
  }

  void OnReturn() {
    BeginReturn(this->memory.view, this->world.Now());
    if (this->world.fault == ModelFault::kForgetDeparture) {
      std::erase_if(this->memory.view.kept, [](const auto& item) {
        return item.second.entry.departed;
      });
    }
    this->registrar->OnStoreReturned();
    this->memory.keeping.clear();
    for (const auto table : {kPolicyTable, kDirectoryTable}) {
      auto& follower = this->memory.followers[table];
      ++follower.generation;
      if (this->world.fault != ModelFault::kKeepVersion) {
        follower.has_position = false;
      }
      this->ReadAfter(table, this->world.Random(0, 30), 0);
    }
  }

  void OnReply(ModelTable table,
               int generation,
               std::uint64_t epoch,
               const ModelReply& reply) {
    auto& follower = this->memory.followers[table];
    const bool uses_late = this->world.fault == ModelFault::kUseLateReply;
    // Without an era, no connection outlives a return: a reply from before it
    // could not be told from others.
    if (reply.failed ||
        (!this->world.names_era && reply.rows.era != this->world.store.era)) {
      if (generation == follower.generation) {
        follower.was_away = true;
        this->ReadAfter(table, this->world.Random(50, 500), 0);
      }
      return;
    }
    const auto place = this->history->Observe(reply.era, epoch);
    if (generation != follower.generation) {
      if (uses_late && place == ReplyPlace::kLate) {
        this->Use(table, reply.rows);
      }
      return;
    }
    const bool placed = place == ReplyPlace::kSame;
    const bool was_away = std::exchange(follower.was_away, false);
    const bool is_older =
        follower.has_position && reply.rows.version < follower.version;
    if (is_older && placed) {
      this->ReadAfter(table, this->world.Random(20, 80), 0);
      return;
    }
    if (follower.has_position && !placed && (is_older || was_away)) {
      this->history->RecordReturn("test");
      return;
    }
    const bool is_new =
        !follower.has_position || reply.rows.version != follower.version;
    follower.has_position = true;
    follower.version = reply.rows.version;
    if (is_new) {
      this->Use(table, reply.rows);
    }
    const bool is_slow = this->world.Chance(15);
    const int after =
        is_slow ? this->world.Random(1000, 4000) : this->world.Random(100, 500);
    const int before = this->world.Random(20, 300);
    this->ReadAfter(table, before, after);
  }

  void Use(ModelTable table, const ModelRows& rows) {
    auto& used_era = this->memory.used_era[table];
    auto& used_epoch = this->memory.used_epoch[table];
    const auto epoch = this->history->epoch();
    if (rows.era < used_era) {
      this->world.Fail("a reply of an earlier era is used");
    }
    if (used_era != 0 && rows.era > used_era && epoch == used_epoch) {
      this->world.Fail("a return is missed");
    }
    used_era = rows.era;
    used_epoch = epoch;
    if (table == kPolicyTable) {
      this->UsePolicy(rows.policy);
    } else {
      this->UseDirectory(rows.directory);
    }
  }

  void UsePolicy(std::uint64_t policy) {
    if (policy < this->memory.policy) {
      if (this->world.fault != ModelFault::kTakeOlderPolicy) {
        return;
      }
      this->world.Fail("an older policy is taken");
    }
    this->memory.policy = policy;
    pvt::SetOwnPolicy(this->memory.versions, policy);
  }

  void UseDirectory(const RowMap& rows) {
    auto& memory = this->memory;
    ApplyRows(memory.view, rows, this->world.Now());
    StorePosition position{this->history->era(), 0};
    for (const auto& [key, row] : rows) {
      position.version = std::max(position.version, row.version);
    }
    pvt::SetOwnDirectory(memory.versions, position);
    this->CheckShown();
    this->KeepDepartures();
    const auto shown = this->Shown();
    const auto own = shown.find(this->name);
    if (own != shown.end()) {
      this->RestoreFrom(own->second);
    }
    memory.own_row_known = true;
    this->registrar->OnRows(rows);
  }

  // As in BackendWatch.
  void RestoreFrom(const DirectoryEntry& entry) {
    auto& memory = this->memory;
    auto& own = memory.own;
    const bool is_later = own && entry.started_at_ms > own->started_at_ms;
    if (entry.departed) {
      if (own && is_later &&
          (memory.is_restored || own->instance == entry.instance)) {
        memory.is_restored = false;
        own = entry;
        this->registrar->Publish(own);
      } else if (own && CoversDeparture(entry, *own) && !own->departed) {
        this->MarkDeparted();
      }
    } else if (!entry.leaving && (!own || (memory.is_restored && is_later))) {
      own = entry;
      memory.is_restored = true;
      memory.last_report = this->world.now;
      this->registrar->Publish(own);
    }
  }

  void KeepDepartures() {
    for (const auto& entry : UnstoredDepartures(this->memory.view)) {
      if (!this->memory.keeping.insert(entry.node).second) {
        continue;
      }
      this->world.After(
          700 + this->world.Random(0, kNodes) * 300,
          [this, node = entry.node, run = this->run,
           epoch = this->history->epoch()] {
            if (run == this->run && epoch == this->history->epoch()) {
              this->Run([this, node] { this->WriteDeparture(node); });
            }
          });
    }
  }

  void WriteDeparture(const NodeId& node) {
    this->memory.keeping.erase(node);
    for (const auto& entry : UnstoredDepartures(this->memory.view)) {
      if (entry.node == node) {
        const auto& versions = this->memory.view.stored_versions;
        const auto version = versions.find(node);
        this->world.Write(node.Value(), EncodeDirectoryEntry(entry),
                          version == versions.end() ? 0 : version->second,
                          [](const WriteReply&) {});
      }
    }
  }

  ModelWorld& world;
  IdleTimers& timers;
  NodeId name;
  RegistrarStore store;
  std::shared_ptr<StoreHistory> history;
  std::shared_ptr<Registrar> registrar;
  ModelMemory memory;
  std::optional<DirectoryEntry> server;
  int run = 0;
  int paused_until = 0;
  bool ended = false;
};

}  // namespace cassiakeel::mesh
