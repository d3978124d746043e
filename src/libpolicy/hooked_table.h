#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "cassiakeel/platform/platform.h"

namespace cassiakeel::policy {

/// Forwards to another table, with faults between reads and writes.
class HookedTable : public platform::Table {
 public:
  explicit HookedTable(platform::Table& table) : table(table) {}

  /// Runs once, before the next transaction.
  std::function<void()> before_transact;
  /// Transactions that are lost on the way, so that they never take effect.
  int lost_requests = 0;

  std::optional<platform::Row> Get(const std::string& key) override {
    return this->table.Get(key);
  }

  platform::Commit Transact(
      const std::vector<platform::Write>& writes) override {
    if (this->before_transact) {
      std::exchange(this->before_transact, nullptr)();
    }
    if (this->lost_requests > 0) {
      --this->lost_requests;
      throw platform::PlatformException(
          Error{"call platform", PeerAddress("127.0.0.1:1"), "no answer"},
          true);
    }
    return this->table.Transact(writes);
  }

  std::vector<platform::Row> Scan(const std::string& prefix,
                                  const std::string& after,
                                  int limit) override {
    return this->table.Scan(prefix, after, limit);
  }

 private:
  platform::Table& table;
};

}  // namespace cassiakeel::policy
