#pragma once

#include <functional>
#include <memory>
#include <set>

#include "cassiakeel/h1/server_memory.h"
#include "memory_decisions.h"

namespace cassiakeel::h1::pvt {

/// A connection as the account sees it.
class MemoryHolder {
 public:
  virtual ~MemoryHolder() = default;
  virtual ConnectionUse Use() const = 0;
  /// Closes the connection because of `limit`.
  virtual void CloseForMemory(ServerLimit limit) = 0;
};

/// Counts the bytes that the servers of a thread hold and chooses connections
/// to close. Used on that thread only.
class MemoryAccount {
 public:
  MemoryAccount(std::size_t max_bytes,
                std::function<void(const LimitReport&)> on_limit)
      : max_bytes(max_bytes), on_limit(std::move(on_limit)) {}

  MemoryUse use() const { return {this->used, this->max_bytes}; }
  void Add(MemoryHolder* holder) { this->holders.insert(holder); }
  void Remove(MemoryHolder* holder) { this->holders.erase(holder); }
  void Report(const LimitReport& report) const;

  /// Closes stalled connections until a request fits. Returns whether it does.
  bool MakeRoomForRequest(std::size_t held, std::size_t size, SteadyTime now);
  /// Closes connections until the limit is kept, also by what has been counted
  /// already.
  void KeepLimit(SteadyTime now);

 private:
  friend class MemoryCharge;
  // Closes one connection; false if none of `min_rank` or above is left.
  bool CloseOne(CloseRank min_rank, SteadyTime now);

  std::size_t max_bytes;
  std::function<void(const LimitReport&)> on_limit;
  std::size_t used = 0;
  std::set<MemoryHolder*> holders;
};

/// Bytes counted in an account; returned on destruction.
class MemoryCharge {
 public:
  explicit MemoryCharge(std::shared_ptr<MemoryAccount> account)
      : account(std::move(account)) {}
  ~MemoryCharge() { this->Set(0); }
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  void Set(std::size_t bytes) {
    this->account->used += bytes;
    this->account->used -= this->held;
    this->held = bytes;
  }
  std::size_t bytes() const { return this->held; }

 private:
  std::shared_ptr<MemoryAccount> account;
  std::size_t held = 0;
};

}  // namespace cassiakeel::h1::pvt
