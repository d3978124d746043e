#pragma once

#include <kj/async-io.h>

#include "cassiakeel/control/blackboard.h"

namespace cassiakeel::control::pvt {

/// Size limit of a message from a peer in words of 8 bytes. 8 MiB exceed the
/// largest policy sheet and a full member list.
inline constexpr std::uint64_t kMaxRpcWords = std::uint64_t{1} << 20;

/// Adds the bytes that the kernel counted on a TCP connection to `stats`.
void CountBytes(kj::AsyncIoStream& stream, ControlStats& stats);

}  // namespace cassiakeel::control::pvt
