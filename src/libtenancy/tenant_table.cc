#include "cassiakeel/tenancy/tenant_table.h"

#include <openssl/evp.h>

#include <algorithm>
#include <new>
#include <set>

namespace cassiakeel::tenancy {
namespace {

// The product has four request classes; later priorities share the last one.
constexpr int kLastPriority = 3;
// Keeps ranks below 1, the lower end of the next request class.
constexpr double kMaxRank = 0.999999;

}  // namespace

KeyDigest DigestOf(std::string_view key) {
  KeyDigest digest{};
  if (EVP_Digest(key.data(), key.size(), digest.data(), nullptr, EVP_sha256(),
                 nullptr) != 1) {
    throw std::bad_alloc();
  }
  return digest;
}

Result<TenantTable> TenantTable::Create(std::vector<Tenant> tenants) {
  TenantTable table;
  std::set<TenantName> names;
  for (std::size_t i = 0; i < tenants.size(); ++i) {
    if (!names.insert(tenants[i].name).second) {
      return Fail("read tenants",
                  "two tenants are named " + tenants[i].name.Value());
    }
    for (const auto& key : tenants[i].keys) {
      const auto [found, added] = table.by_key.emplace(key, i);
      if (!added && found->second != i) {
        return Fail("read tenants",
                    "tenants " + tenants[found->second].name.Value() + " and " +
                        tenants[i].name.Value() + " share a key");
      }
    }
  }
  table.tenants = std::move(tenants);
  return table;
}

const Tenant* TenantTable::Find(const KeyDigest& digest) const {
  const auto found = this->by_key.find(digest);
  return found == this->by_key.end() ? nullptr : &this->tenants[found->second];
}

int EffectivePriority(const Tenant* tenant, int route_priority) {
  if (tenant == nullptr || !tenant->priority) {
    return route_priority;
  }
  if (*tenant->priority <= 0) {
    return 0;
  }
  return std::min(kLastPriority, *tenant->priority + route_priority);
}

double FairRank(double tree_hash, double use, double mean_use) {
  if (use <= 0 || mean_use <= 0) {
    return tree_hash;
  }
  return std::clamp(1 - (1 - tree_hash) * use / mean_use, 0.0, kMaxRank);
}

}  // namespace cassiakeel::tenancy
