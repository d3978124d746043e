#include "cassiakeel/platform/memory_platform.h"

#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "transaction_rules.h"

namespace cassiakeel::platform {

namespace {

/// A row, or the trace of a deleted one (no value). The version goes on
/// growing when a row is created again, so that a writer that remembers the
/// old row conflicts.
struct StoredRow {
  std::optional<std::string> value;
  std::uint64_t version = 0;
};

std::uint64_t VisibleVersion(const std::map<std::string, StoredRow>& rows,
                             const std::string& key) {
  const auto found = rows.find(key);
  return found == rows.end() || !found->second.value ? 0
                                                     : found->second.version;
}

/// Switches and counters shared by table and objects.
struct Gate {
  std::mutex mutex;
  bool down = false;
  std::chrono::milliseconds slow{0};
  int lose_answers = 0;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;

  /// Waits out the delay, then refuses or counts the call.
  void Enter(const char* step, bool is_write) {
    std::unique_lock lock(this->mutex);
    const auto delay = this->slow;
    if (delay.count() > 0) {
      lock.unlock();
      std::this_thread::sleep_for(delay);
      lock.lock();
    }
    if (this->down) {
      throw PlatformException(Error{step, {}, "the platform is down"}, false);
    }
    ++(is_write ? this->writes : this->reads);
  }

  /// Call after the write took effect.
  void LoseAnswerIfAsked(const char* step) {
    const std::lock_guard lock(this->mutex);
    if (this->lose_answers > 0) {
      --this->lose_answers;
      throw PlatformException(Error{step, {}, "the answer was lost"}, true);
    }
  }
};

class MemoryTable final : public Table {
 public:
  explicit MemoryTable(Gate& gate) : gate(gate) {}

  std::optional<Row> Get(const std::string& key) override {
    this->gate.Enter("read row", false);
    const std::lock_guard lock(this->mutex);
    const auto found = this->rows.find(key);
    if (found == this->rows.end() || !found->second.value) {
      return std::nullopt;
    }
    return Row{key, *found->second.value, found->second.version};
  }

  Commit Transact(const std::vector<Write>& writes) override {
    pvt::CheckTransaction(writes);
    this->gate.Enter("transact", true);
    Commit commit = this->Apply(writes);
    this->gate.LoseAnswerIfAsked("transact");
    return commit;
  }

  std::vector<Row> Scan(const std::string& prefix,
                        const std::string& after,
                        int limit) override {
    this->gate.Enter("scan rows", false);
    const std::lock_guard lock(this->mutex);
    std::vector<Row> found;
    auto row = after < prefix ? this->rows.lower_bound(prefix)
                              : this->rows.upper_bound(after);
    for (; row != this->rows.end() && row->first.starts_with(prefix) &&
           std::cmp_less(found.size(), limit);
         ++row) {
      if (row->second.value) {
        found.push_back(
            Row{row->first, *row->second.value, row->second.version});
      }
    }
    return found;
  }

 private:
  Commit Apply(const std::vector<Write>& writes) {
    const std::lock_guard lock(this->mutex);
    for (const Write& write : writes) {
      if (write.expected_version &&
          VisibleVersion(this->rows, write.key) != *write.expected_version) {
        return Commit{false, {}, write.key};
      }
    }
    Commit commit{true, {}, {}};
    for (const Write& write : writes) {
      StoredRow& row = this->rows[write.key];
      row.value = write.value;
      ++row.version;
      commit.versions.push_back(row.version);
    }
    return commit;
  }

  Gate& gate;
  std::mutex mutex;
  std::map<std::string, StoredRow> rows;
};

class MemoryObjects final : public ObjectStore {
 public:
  explicit MemoryObjects(Gate& gate) : gate(gate) {}

  std::optional<std::string> Get(const std::string& key) override {
    this->gate.Enter("read object", false);
    const std::lock_guard lock(this->mutex);
    const auto found = this->objects.find(key);
    return found == this->objects.end() ? std::nullopt
                                        : std::optional(found->second);
  }

  void Put(const std::string& key, const std::string& bytes) override {
    this->gate.Enter("write object", true);
    {
      const std::lock_guard lock(this->mutex);
      this->objects[key] = bytes;
    }
    this->gate.LoseAnswerIfAsked("write object");
  }

 private:
  Gate& gate;
  std::mutex mutex;
  std::map<std::string, std::string> objects;
};

}  // namespace

struct MemoryPlatform::State {
  Gate gate;
  MemoryTable table{gate};
  MemoryObjects objects{gate};
};

MemoryPlatform::MemoryPlatform() : state(std::make_unique<State>()) {}
MemoryPlatform::~MemoryPlatform() = default;

Table& MemoryPlatform::table() {
  return this->state->table;
}

ObjectStore& MemoryPlatform::objects() {
  return this->state->objects;
}

void MemoryPlatform::SetDown(bool down) {
  const std::lock_guard lock(this->state->gate.mutex);
  this->state->gate.down = down;
}

void MemoryPlatform::SetSlow(std::chrono::milliseconds delay) {
  const std::lock_guard lock(this->state->gate.mutex);
  this->state->gate.slow = delay;
}

void MemoryPlatform::LoseNextWriteAnswers(int count) {
  const std::lock_guard lock(this->state->gate.mutex);
  this->state->gate.lose_answers = count;
}

std::uint64_t MemoryPlatform::reads() const {
  const std::lock_guard lock(this->state->gate.mutex);
  return this->state->gate.reads;
}

std::uint64_t MemoryPlatform::writes() const {
  const std::lock_guard lock(this->state->gate.mutex);
  return this->state->gate.writes;
}

}  // namespace cassiakeel::platform
