// A model of nodes and of a store that comes back from older copies, in
// simulated time. The follower and the departure keeper are modelled, because
// their timers run in real time; the placing of replies, the view, the
// registrar and the positions of peers are the real ones.

#pragma once

#include <algorithm>
#include <random>

#include "control_test_support.h"

namespace cassiakeel::mesh {

using std::chrono::milliseconds;

// Faults that the checker has to find.
enum class ModelFault {
  kNone,
  // Row versions stay in force when the era rises.
  kKeepVersion,
  kForgetDeparture,
  kTakeOlderPolicy,
  // Older rows of the copy are used when the grace ends.
  kUseCopyAfterGrace,
  kUseLateReply,
};

inline constexpr int kNodes = 3;
inline constexpr int kDisturbedMs = 12000;
// Longer than the slowest poll, the grace and the turns of the peers together.
inline constexpr int kEndMs = 26000;
inline constexpr int kReportTimeoutMs = 3700;

enum ModelTable { kPolicyTable, kDirectoryTable };

struct ModelRows {
  RowMap directory;
  std::uint64_t policy = 0;
  std::uint64_t version = 0;
  // Known to the model alone if the store names no era.
  std::uint64_t era = 1;
};

struct ModelReply {
  bool failed = false;
  ModelRows rows;
  std::optional<StoreEra> era;
};

// Simulated time, random numbers, the store and the operator.
struct ModelWorld {
  ModelWorld(std::uint32_t seed, bool names_era, ModelFault fault)
      : rng(seed), names_era(names_era), fault(fault) {}

  int Random(int min, int max) {
    return std::uniform_int_distribution<int>(min, max)(this->rng);
  }
  bool Chance(int percent) { return this->Random(1, 100) <= percent; }
  void After(int wait, std::function<void()> action) {
    this->events.emplace(this->now + wait, std::move(action));
  }
  SteadyTime Now() const { return SteadyTime(milliseconds(this->now)); }
  bool IsDisturbed() const { return this->now < kDisturbedMs; }
  void Fail(const std::string& violation) {
    if (this->violation.empty()) {
      this->violation = violation;
    }
  }
  std::optional<StoreEra> NamedEra(std::uint64_t era) const {
    return this->names_era ? std::optional(StoreEra(era)) : std::nullopt;
  }

  // Passes what the store replies, at the end of `wait`, to `handler`.
  void Call(int wait, std::function<void(const ModelReply&)> handler) {
    this->After(wait + this->Random(1, 40), [this, handler] {
      ModelReply reply;
      reply.failed = this->now < this->away_until;
      reply.rows = this->store;
      if (this->Chance(5) && this->recent.era == this->store.era) {
        reply.rows = this->recent;
      }
      reply.era = this->NamedEra(reply.rows.era);
      const auto delay =
          this->Chance(10) ? this->Random(50, 1500) : this->Random(1, 40);
      this->After(delay, [this, handler, reply] { handler(reply); });
    });
  }

  // A call that was sent before a return is not performed after it: its
  // condition could hold again by chance, which its owner then has to correct.
  void Write(const std::string& key,
             const std::string& value,
             std::uint64_t expected,
             std::function<void(WriteReply)> handler) {
    this->After(this->Random(1, 60), [this, key, value, expected, handler,
                                      era = this->store.era] {
      if (era != this->store.era) {
        return;
      }
      if (this->now < this->away_until) {
        // Sent once more when the store is back; the sender waits.
        this->After(200, [this, key, value, expected, handler] {
          this->Write(key, value, expected, handler);
        });
        return;
      }
      WriteReply reply;
      reply.era = this->NamedEra(era);
      auto& rows = this->store.directory;
      const auto found = rows.find(key);
      reply.applied =
          (found == rows.end() ? 0 : found->second.version) == expected;
      if (reply.applied) {
        reply.version = ++this->store.version;
        rows[key] = {key, value, reply.version, false};
      } else if (found != rows.end()) {
        reply.current = found->second;
      }
      this->After(this->Random(1, 60), [this, handler, reply, era] {
        if (this->names_era || era == this->store.era) {
          handler(reply);
        }
      });
    });
  }

  void WritePolicy(std::uint64_t policy) {
    if (this->now < this->away_until) {
      this->After(100, [this, policy] { this->WritePolicy(policy); });
    } else if (policy > this->store.policy) {
      this->store.policy = policy;
      ++this->store.version;
    }
  }

  void TakeCopies() {
    this->recent = this->store;
    if (this->Chance(30)) {
      this->copies.push_back(this->store);
      if (this->copies.size() > 6) {
        this->copies.erase(this->copies.begin());
      }
    }
    this->After(150, [this] { this->TakeCopies(); });
  }

  void Return() {
    const auto era = this->store.era + 1;
    this->store = this->copies.at(static_cast<std::size_t>(
        this->Random(0, static_cast<int>(this->copies.size()) - 1)));
    this->store.era = era;
    this->on_return();
    this->away_until = this->now + this->Random(0, 400);
    if (this->Chance(50)) {
      // The numbers have passed all known ones before anybody reads.
      this->store.version += 60;
    }
    this->After(this->Random(300, 1500),
                [this] { this->WritePolicy(this->newest_policy); });
    if (this->Chance(40)) {
      this->After(this->Random(1, 800), [this] { this->Return(); });
    }
  }

  void Operate() {
    this->newest_policy += static_cast<std::uint64_t>(this->Random(1, 3));
    this->WritePolicy(this->newest_policy);
    if (this->IsDisturbed()) {
      this->After(this->Random(700, 2500), [this] { this->Operate(); });
    }
  }

  std::mt19937 rng;
  bool names_era;
  ModelFault fault;
  int now = 0;
  std::multimap<int, std::function<void()>> events;
  ModelRows store;
  ModelRows recent;
  std::vector<ModelRows> copies{ModelRows{}};
  int away_until = 0;
  std::function<void()> on_return;
  std::uint64_t newest_policy = 0;
  std::string violation;
};

// The store as a registrar sees it. Replies to a run that has ended are
// dropped.
class RegistrarStore final : public SharedStore {
 public:
  RegistrarStore(ModelWorld& world, const int& run) : world(world), run(run) {}
  void Read(const std::string&, std::function<void(StoreReply)>) override {}
  void Follow(const std::string&,
              std::uint64_t,
              milliseconds,
              std::function<void(StoreReply)>) override {}
  void Write(const std::string&,
             const std::string& key,
             const std::optional<std::string>& value,
             std::uint64_t expected_version,
             std::function<void(WriteReply)> handler) override {
    this->world.Write(key, *value, expected_version,
                      [this, call_run = this->run,
                       handler = std::move(handler)](const WriteReply& reply) {
                        if (call_run == this->run) {
                          handler(reply);
                        }
                      });
  }

 private:
  ModelWorld& world;
  const int& run;
};

}  // namespace cassiakeel::mesh
