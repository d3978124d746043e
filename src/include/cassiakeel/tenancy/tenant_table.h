#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cassiakeel/base/error.h"
#include "cassiakeel/base/strong.h"

namespace cassiakeel::tenancy {

/// SHA-256 digest of a key. Keys themselves are not kept.
using KeyDigest = std::array<std::uint8_t, 32>;

KeyDigest DigestOf(std::string_view key);

/// Digest as 64 lower-case hex digits, and its inverse; nothing for other text.
std::string FormatDigest(const KeyDigest& digest);
std::optional<KeyDigest> ParseDigest(std::string_view text);

/// A party whose callers show one of its keys.
struct Tenant {
  TenantName name;
  /// Priority of the tenant's requests, 0 for the most important; none leaves
  /// the order to the routes.
  std::optional<int> priority;
  std::vector<KeyDigest> keys;
  /// Allotment over all nodes together: requests per second, 0 for no limit,
  /// and requests that may exceed the rate for a short time.
  double rate_per_s = 0;
  double burst = 0;
};

/// The tenants of one policy. Immutable.
class TenantTable {
 public:
  /// A table without tenants: no request needs a key.
  TenantTable() = default;

  /// Fails if two tenants have the same name or share a key.
  static Result<TenantTable> Create(std::vector<Tenant> tenants);

  const std::vector<Tenant>& all() const { return this->tenants; }
  bool empty() const { return this->tenants.empty(); }
  /// The tenant that holds the key, or null.
  const Tenant* Find(const KeyDigest& digest) const;

 private:
  std::vector<Tenant> tenants;
  /// Indexes into `tenants`.
  std::map<KeyDigest, std::size_t> by_key;
};

/// Priority of a request on a route with `route_priority`, 0 for the most
/// important. The tenant's priority takes precedence: tenants of priority 0 are
/// served before all others, whatever the route, and the route orders the
/// requests of the others.
int EffectivePriority(std::optional<int> tenant_priority, int route_priority);

/// Shedding rank of a call tree in [0, 1), lower is shed first, by weighted
/// max-min fairness over the tenants with their allotments as weights.
/// `tree_hash`: hash of the tree in [0, 1), the rank among equal tenants.
/// `use`: demand of the tenant over its allotment, on all nodes together.
/// `mean_use`: the same for all tenants with an allotment; 0 if unknown.
///
/// The load this answers: one tenant sends several times its usual while
/// servers are short of room. With a shed level that admits ranks above
/// 1 - L, a tenant keeps min(1, L * mean_use / use) of its requests, so the
/// room given to each tenant is the smaller of its demand and a common share of
/// its allotment.
double FairRank(double tree_hash, double use, double mean_use);

}  // namespace cassiakeel::tenancy
