#pragma once

#include <functional>
#include <string>

#include "cassiakeel/base/error.h"
#include "serving_endpoint.h"

namespace cassiakeel::node {

/// Parses the JSON body of PUT /cassiakeel/v1/announce with the fields
/// "service", "address", "slots" and "connections" (ignored). An error names
/// the invalid field.
Result<Announcement> ParseAnnouncement(const std::string& json);

}  // namespace cassiakeel::node
