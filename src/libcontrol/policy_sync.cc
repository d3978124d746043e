#include "policy_sync.h"

#include <algorithm>
#include <charconv>
#include <tuple>

namespace cassiakeel::control::pvt {

std::vector<membership::Member> PolicySources(
    const membership::MembershipState& state,
    const RefusedOffers& refused,
    Rng& rng) {
  std::vector<membership::Member> sources;
  for (const auto& [node, record] : state.records) {
    const auto& member = record.member;
    const auto before = refused.find(node);
    const bool was_refused =
        before != refused.end() && before->second >= member.policy_version;
    if (membership::IsPresent(member.status) && !was_refused &&
        member.policy_version > state.policy.version) {
      sources.push_back(member);
    }
  }
  std::shuffle(sources.begin(), sources.end(), rng);
  const auto rank = [&state](const membership::Member& member) {
    return std::tuple(~member.policy_version.Value(),
                      member.zone != state.self.zone);
  };
  std::stable_sort(
      sources.begin(), sources.end(),
      [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); });
  return sources;
}

SheetDelta ComputeSheetDelta(const PolicyDocument& base,
                             const PolicyDocument& next) {
  const auto& a = base.sheet_bytes;
  const auto& b = next.sheet_bytes;
  const auto shorter = std::min(a.size(), b.size());
  SheetDelta delta{base.version};
  while (delta.prefix < shorter && a[delta.prefix] == b[delta.prefix]) {
    ++delta.prefix;
  }
  while (delta.suffix < shorter - delta.prefix &&
         a[a.size() - 1 - delta.suffix] == b[b.size() - 1 - delta.suffix]) {
    ++delta.suffix;
  }
  return delta;
}

std::optional<std::string> ApplySheetDelta(const PolicyDocument& base,
                                           const SheetDelta& delta,
                                           const std::string& middle) {
  const auto& sheet = base.sheet_bytes;
  if (delta.base != base.version || delta.prefix > sheet.size() ||
      delta.suffix > sheet.size() - delta.prefix) {
    return std::nullopt;
  }
  return sheet.substr(0, delta.prefix) + middle +
         sheet.substr(sheet.size() - delta.suffix);
}

std::uint64_t DigestPrefix(const std::string& digest) {
  constexpr std::size_t kPrefixDigits = 16;
  constexpr int kHexBase = 16;
  std::uint64_t prefix = 0;
  const auto size = std::min(digest.size(), kPrefixDigits);
  std::from_chars(digest.data(), digest.data() + size, prefix, kHexBase);
  return prefix;
}

}  // namespace cassiakeel::control::pvt
