#include "cassiakeel/tenancy/authenticate.h"

#include "cassiakeel/tenancy/credential.h"

namespace cassiakeel::tenancy {

std::optional<Caller> Authenticate(const TenantTable& table,
                                   const http::HeaderList& headers) {
  const auto credential = ReadCredential(headers);
  if (credential.state != Credential::State::kPresent) {
    return std::nullopt;
  }
  const auto digest = DigestOf(credential.key);
  const auto* tenant = table.Find(digest);
  if (tenant == nullptr) {
    return std::nullopt;
  }
  return Caller{digest, tenant->name, tenant->priority};
}

bool IsHeld(const TenantTable& table, const Caller& caller) {
  const auto* tenant = table.Find(caller.key);
  return tenant != nullptr && tenant->name == caller.tenant;
}

void ReplaceCredential(http::HeaderList& headers,
                       const std::string& tenant_field,
                       const std::optional<Caller>& caller) {
  std::erase_if(headers, [&tenant_field](const auto& field) {
    return http::EqualsIgnoreCase(field.first, kCredentialField) ||
           http::EqualsIgnoreCase(field.first, tenant_field);
  });
  if (caller) {
    headers.emplace_back(tenant_field, caller->tenant.Value());
  }
}

}  // namespace cassiakeel::tenancy
