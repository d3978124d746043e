#include "cassiakeel/policy/policy.h"

#include <algorithm>

#include "path_pattern.h"

namespace cassiakeel::policy {

const KindPolicy* FindKind(const ServicePolicy& service,
                           std::string_view method,
                           std::string_view path) {
  if (pvt::HasDotSegment(path)) {
    return nullptr;
  }
  for (const KindPolicy& kind : service.kinds) {
    if ((kind.method == "*" || kind.method == method) &&
        pvt::PathMatches(kind.path, path)) {
      return &kind;
    }
  }
  return nullptr;
}

const ServicePolicy* FindService(const Policy& policy,
                                 const ServiceName& service) {
  const auto found = policy.services.find(service);
  return found == policy.services.end() ? nullptr : &found->second;
}

}  // namespace cassiakeel::policy
