#pragma once

#include <cstddef>

namespace cassiakeel::mesh::pvt {

// Bounds on the messages that a node receives at the same time, in bytes. The
// two clients and two servers of the traffic thread hold at most 80 MiB
// together, about half of the memory of the smallest instance (160 MB).

/// Responses of the backend server, and responses of other nodes.
inline constexpr std::size_t kMaxBufferedResponses = 24U << 20U;
/// Requests of clients, and calls of other nodes. The limits of a policy that
/// allows larger requests go first.
inline constexpr std::size_t kMaxBufferedRequests = 16U << 20U;
/// Largest request body for which the bounds above are raised.
inline constexpr std::size_t kMaxRequestBody = 64U << 20U;
/// Header fields that a node adds to a request for another node.
inline constexpr std::size_t kMaxCallFieldBytes = 4U << 10U;
/// Body of one response.
inline constexpr std::size_t kMaxResponseBody = kMaxBufferedResponses / 2;
/// Header of one response.
inline constexpr std::size_t kMaxResponseHeader = 16U << 10U;

}  // namespace cassiakeel::mesh::pvt
