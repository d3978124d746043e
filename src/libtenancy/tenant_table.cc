#include "cassiakeel/tenancy/tenant_table.h"

#include <openssl/evp.h>

#include <algorithm>
#include <new>
#include <set>

namespace cassiakeel::tenancy {
namespace {

// The product has four request classes; later priorities share the last one.
constexpr int kLastPriority = 3;
constexpr std::string_view kHexDigits = "0123456789abcdef";
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

std::string FormatDigest(const KeyDigest& digest) {
  std::string text;
  text.reserve(2 * digest.size());
  for (const auto byte : digest) {
    text += kHexDigits[byte >> 4U];
    text += kHexDigits[byte & 0xFU];
  }
  return text;
}

std::optional<KeyDigest> ParseDigest(std::string_view text) {
  KeyDigest digest{};
  if (text.size() != 2 * digest.size()) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < digest.size(); ++i) {
    const auto high = kHexDigits.find(text[2 * i]);
    const auto low = kHexDigits.find(text[2 * i + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos) {
      return std::nullopt;
    }
    digest[i] = static_cast<std::uint8_t>(high << 4U | low);
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

int EffectivePriority(std::optional<int> tenant_priority, int route_priority) {
  if (!tenant_priority) {
    return route_priority;
  }
  if (*tenant_priority <= 0) {
    return 0;
  }
  return std::min(kLastPriority, *tenant_priority + route_priority);
}

double FairRank(double tree_hash, double use, double mean_use) {
  if (use <= 0 || mean_use <= 0) {
    return tree_hash;
  }
  return std::clamp(1 - (1 - tree_hash) * use / mean_use, 0.0, kMaxRank);
}

}  // namespace cassiakeel::tenancy
