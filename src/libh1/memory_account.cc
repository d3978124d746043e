#include "memory_account.h"

#include <array>
#include <vector>

namespace cassiakeel::h1 {

std::string_view ServerLimitName(ServerLimit limit) {
  static constexpr std::array<std::string_view, kServerLimitCount> kNames = {
      "connections", "request-memory", "stalled-peer", "memory"};
  return kNames[static_cast<std::size_t>(limit)];
}

std::shared_ptr<ServerMemory> ServerMemory::Create(
    std::size_t max_bytes,
    std::function<void(const LimitReport&)> on_limit) {
  return std::shared_ptr<ServerMemory>(new ServerMemory(
      std::make_shared<pvt::MemoryAccount>(max_bytes, std::move(on_limit))));
}

ServerMemory::ServerMemory(std::shared_ptr<pvt::MemoryAccount> account)
    : shared(std::move(account)) {}

ServerMemory::~ServerMemory() = default;

std::size_t ServerMemory::used_bytes() const {
  return this->shared->use().used;
}

namespace pvt {

void MemoryAccount::Report(const LimitReport& report) const {
  if (this->on_limit) {
    this->on_limit(report);
  }
}

bool MemoryAccount::MakeRoomForRequest(std::size_t held,
                                       std::size_t size,
                                       SteadyTime now) {
  while (!RequestFits(this->use(), held, size)) {
    if (!this->CloseOne(CloseRank::kStalled, now)) {
      return false;
    }
  }
  return true;
}

void MemoryAccount::KeepLimit(SteadyTime now) {
  while (this->used > this->max_bytes &&
         this->CloseOne(CloseRank::kProgressing, now)) {
  }
}

bool MemoryAccount::CloseOne(CloseRank min_rank, SteadyTime now) {
  const std::vector<MemoryHolder*> all(this->holders.begin(),
                                       this->holders.end());
  std::vector<ConnectionUse> uses;
  uses.reserve(all.size());
  for (const auto* holder : all) {
    uses.push_back(holder->Use());
  }
  const auto chosen = ConnectionToClose(uses, min_rank, now);
  if (!chosen) {
    return false;
  }
  const bool stalled = RankToClose(uses[*chosen], now) == CloseRank::kStalled;
  all[*chosen]->CloseForMemory(stalled ? ServerLimit::kStalledPeer
                                       : ServerLimit::kMemory);
  return true;
}

}  // namespace pvt
}  // namespace cassiakeel::h1
