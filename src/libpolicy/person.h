#pragma once

#include <string_view>

namespace cassiakeel::policy::pvt {

/// Names are compared without case: "Legal" must not approve what "legal"
/// proposed.
bool SamePerson(std::string_view a, std::string_view b);

}  // namespace cassiakeel::policy::pvt
