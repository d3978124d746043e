#include "cassiakeel/membership/member.h"

namespace cassiakeel::membership {

std::string_view MemberStatusName(MemberStatus status) {
  switch (status) {
    case MemberStatus::kAlive:
      return "alive";
    case MemberStatus::kSuspected:
      return "suspected";
    case MemberStatus::kLeaving:
      return "leaving";
    case MemberStatus::kDead:
      return "dead";
    case MemberStatus::kLeft:
      return "left";
  }
  return "";
}

bool IsPresent(MemberStatus status) {
  return status != MemberStatus::kDead && status != MemberStatus::kLeft;
}

const std::vector<Endpoint>& EndpointsOf(const MembersView& view,
                                         const ServiceName& service) {
  static constexpr std::vector<Endpoint> kNone;
  const auto found = view.endpoints.find(service);
  return found == view.endpoints.end() ? kNone : found->second;
}

}  // namespace cassiakeel::membership
