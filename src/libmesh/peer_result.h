#pragma once

#include "cassiakeel/h1/client.h"
#include "cassiakeel/mesh/call.h"

namespace cassiakeel::mesh::pvt {

/// Decodes the result of a call from the response of the node that serves the
/// backend server. Without a complete, valid response the outcome is unknown,
/// unless no byte of the request was sent.
ServeResult DecodePeerResult(h1::FetchResult fetch);

/// Result of a request to a backend server or its node without a valid
/// response: `kNotRun` if no byte of the request was sent, `kUnknown`
/// otherwise.
ServeResult ResultWithoutResponse(h1::FetchEnd end);

}  // namespace cassiakeel::mesh::pvt
