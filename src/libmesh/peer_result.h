#pragma once

#include "cassiakeel/h1/client.h"
#include "cassiakeel/mesh/call.h"

namespace cassiakeel::mesh::pvt {

/// Reads the result of a call from the exchange with the node beside the
/// backend server. Without a whole and readable response the outcome is
/// unknown, unless no byte was sent.
ServeResult DecodePeerResult(h1::FetchResult fetch);

/// Result of a request to a backend server or to the node beside it that
/// brought no response which counts: not run if no byte was sent, unknown
/// otherwise.
ServeResult ResultWithoutResponse(h1::FetchEnd end);

}  // namespace cassiakeel::mesh::pvt
