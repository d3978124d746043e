#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

#include "cassiakeel/base/clock.h"

namespace cassiakeel::h1::pvt {

/// A peer that has moved fewer than `kProgressBytes` for this time is stalled;
/// longer than TCP takes to recover from the loss of several segments.
inline constexpr std::chrono::milliseconds kStalledTime{3000};
/// A peer is slow after this time; many round trips between zones.
inline constexpr std::chrono::milliseconds kSlowTime{500};
/// Fewer bytes than this are no progress, so that a peer can't hold memory by
/// moving single bytes. 5 KB/s over `kStalledTime`.
inline constexpr std::size_t kProgressBytes = 16U << 10U;
/// A request of this size is small: a header of the usual limit, and a short
/// body.
inline constexpr std::size_t kSmallRequestBytes = 64U << 10U;
/// Part of the memory, as a divisor, that only responses and small requests
/// use.
inline constexpr std::size_t kReservedDivisor = 16;
/// Part of the memory, as a divisor, up to which several large requests are
/// read. The rest is for responses, whose work has already run.
inline constexpr std::size_t kSharedDivisor = 2;
/// Pipelined bytes that are read while an earlier request of the connection is
/// served or its response waits to be written. Bytes are read at all then,
/// because this detects a peer that has gone.
inline constexpr std::size_t kMaxReadAheadBytes = 4U << 10U;

/// Bytes held for the clients of a thread, and their limit.
struct MemoryUse {
  std::size_t used = 0;
  std::size_t limit = 0;
};

/// Whether a request that will hold `size` bytes, of which `held` are already
/// counted in `memory.used`, may be read on. One large request gets nearly the
/// whole memory if the others together leave it; several share half.
bool RequestFits(const MemoryUse& memory, std::size_t held, std::size_t size);

/// Whether further bytes are read on a connection that is busy with an earlier
/// request and holds `read_ahead` bytes of later ones.
bool ShouldReadAhead(std::size_t read_ahead);

/// What a connection is doing that holds memory.
enum class Holding {
  /// Nothing that closing it would free: its request is being served.
  kServed,
  /// A request that is being read; it has not run.
  kRequest,
  /// A response that is being written.
  kResponse,
};

struct ConnectionUse {
  Holding holding = Holding::kServed;
  std::size_t held = 0;
  SteadyTime last_progress;
};

/// Order in which connections are closed to free memory.
enum class CloseRank { kNever, kProgressing, kSlow, kUnfinished, kStalled };

CloseRank RankToClose(const ConnectionUse& use, SteadyTime now);

/// Index of the connection to close next: of those with the highest rank, at
/// least `min_rank`, the one that holds most. None if no connection qualifies.
std::optional<std::size_t> ConnectionToClose(
    const std::vector<ConnectionUse>& connections,
    CloseRank min_rank,
    SteadyTime now);

}  // namespace cassiakeel::h1::pvt
