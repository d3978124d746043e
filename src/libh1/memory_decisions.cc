#include "memory_decisions.h"

#include <algorithm>

namespace cassiakeel::h1::pvt {

bool RequestFits(const MemoryUse& memory, std::size_t held, std::size_t size) {
  const std::size_t others = memory.used - std::min(held, memory.used);
  if (size <= kSmallRequestBytes) {
    return others + size <= memory.limit;
  }
  const std::size_t reserve = memory.limit / kReservedDivisor;
  if (others <= reserve / 2) {
    return others + size <= memory.limit - reserve / 2;
  }
  return others + size <= memory.limit / kSharedDivisor;
}

bool ShouldReadAhead(std::size_t read_ahead) {
  return read_ahead < kMaxReadAheadBytes;
}

CloseRank RankToClose(const ConnectionUse& use, SteadyTime now) {
  if (use.holding == Holding::kServed || use.held == 0) {
    return CloseRank::kNever;
  }
  const auto idle = now - use.last_progress;
  if (idle >= kStalledTime) {
    return CloseRank::kStalled;
  }
  if (use.holding == Holding::kRequest) {
    return CloseRank::kUnfinished;
  }
  return idle >= kSlowTime ? CloseRank::kSlow : CloseRank::kProgressing;
}

std::optional<std::size_t> ConnectionToClose(
    const std::vector<ConnectionUse>& connections,
    CloseRank min_rank,
    SteadyTime now) {
  std::optional<std::size_t> best;
  auto best_rank = CloseRank::kNever;
  for (std::size_t i = 0; i < connections.size(); ++i) {
    const auto rank = RankToClose(connections[i], now);
    if (rank < min_rank || rank == CloseRank::kNever || rank < best_rank) {
      continue;
    }
    if (rank > best_rank || connections[i].held > connections[*best].held) {
      best = i;
      best_rank = rank;
    }
  }
  return best;
}

}  // namespace cassiakeel::h1::pvt
