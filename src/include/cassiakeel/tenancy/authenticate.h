#pragma once

#include <optional>
#include <string>

#include "cassiakeel/http/message.h"
#include "cassiakeel/tenancy/tenant_table.h"

namespace cassiakeel::tenancy {

/// The tenant for which a request was accepted.
struct Caller {
  KeyDigest key{};
  TenantName tenant;
  std::optional<int> priority;
};

/// The caller whose key the request shows; nothing if the key is missing,
/// malformed or not held by a tenant of `table`.
std::optional<Caller> Authenticate(const TenantTable& table,
                                   const http::HeaderList& headers);

/// Whether the key is still held by the caller's tenant. A policy that came
/// into force since may have withdrawn it.
bool IsHeld(const TenantTable& table, const Caller& caller);

/// Removes the key and what the client sent as `tenant_field`, and sets that
/// field to the caller's tenant, if there is one.
void ReplaceCredential(http::HeaderList& headers,
                       const std::string& tenant_field,
                       const std::optional<Caller>& caller);

}  // namespace cassiakeel::tenancy
