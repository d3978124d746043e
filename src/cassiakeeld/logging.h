#pragma once

#include "cassiakeel/node/settings.h"

namespace cassiakeel::node {

/// Configures logging to standard error with one JSON object per line. Fields
/// such as step, peer and request come from the mapped diagnostic context.
void SetUpLogging(const NodeSettings& settings);

}  // namespace cassiakeel::node
