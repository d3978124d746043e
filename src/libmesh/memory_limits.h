#pragma once

#include <algorithm>
#include <cstddef>

namespace cassiakeel::mesh::pvt {

// Bounds on what a node holds for its peers at the same time, in bytes. The
// traffic thread holds at most 120 MiB together; with 15 MB of the process
// itself this leaves room in the smallest instance (160 MB).

/// Responses of the backend server, and responses of other nodes, that are
/// being received.
inline constexpr std::size_t kMaxBufferedResponses = 24U << 20U;
/// Requests and unwritten responses of clients and of other nodes together.
/// One request with the largest body (64 MiB) fits if little else is held.
inline constexpr std::size_t kMaxServerMemory = 72U << 20U;
/// Header fields that a node adds to a request for another node.
inline constexpr std::size_t kMaxCallFieldBytes = 4U << 10U;
/// Body of one response.
inline constexpr std::size_t kMaxResponseBody = kMaxBufferedResponses / 2;
/// Header of one response.
inline constexpr std::size_t kMaxResponseHeader = 16U << 10U;
/// Connections to the readiness address. The platform's probe needs one.
inline constexpr std::size_t kMaxReadyConnections = 64;
/// Connections of clients, and of other nodes, if there are descriptors enough.
inline constexpr std::size_t kMaxConnections = 3000;
/// Part of the descriptors, as a divisor, for connections of clients, and for
/// those of other nodes. The other third is for outgoing connections, the other
/// addresses and the store.
inline constexpr std::size_t kDescriptorDivisor = 3;

/// Connections that an address for clients or nodes accepts in a process with
/// `descriptors` file descriptors.
constexpr std::size_t MaxConnections(std::size_t descriptors) {
  return std::min(kMaxConnections, descriptors / kDescriptorDivisor);
}

}  // namespace cassiakeel::mesh::pvt
