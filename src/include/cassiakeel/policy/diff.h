#pragma once

#include <string>
#include <vector>

#include "cassiakeel/policy/policy.h"

namespace cassiakeel::policy {

/// One difference between two policies. `kind` is empty for a change to the
/// whole service. `meaning` says in a sentence what changes for customers.
struct PolicyChange {
  ServiceName service;
  KindName kind;
  /// Column of the sheet, or "service" or "kind" for an added or removed one.
  std::string field;
  std::string before;
  std::string after;
  std::string meaning;
};

/// All differences, by service, then in sheet order of `after`. Legal approves
/// a sheet on this list, so no field of the policy is left out.
std::vector<PolicyChange> DiffPolicies(const Policy& before,
                                       const Policy& after);

}  // namespace cassiakeel::policy
