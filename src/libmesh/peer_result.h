#pragma once

#include "cassiakeel/h1/client.h"
#include "cassiakeel/mesh/call.h"

namespace cassiakeel::mesh::pvt {

/// Reads the result of a call from the exchange with the node beside the
/// backend server. Without a whole and readable response the outcome is
/// unknown, unless no byte was sent.
ServeResult DecodePeerResult(h1::FetchResult fetch);

}  // namespace cassiakeel::mesh::pvt
