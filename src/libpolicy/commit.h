#pragma once

#include <string>
#include <vector>

#include "cassiakeel/policy/workflow.h"

namespace cassiakeel::policy::pvt {

/// Applies `writes` together with the audit row of `record`. Returns false on a
/// conflict. A lost response is resolved through the audit row: it exists
/// exactly if the change took effect, also when others have since changed the
/// same rows. While it does not exist, the same transaction is sent again,
/// which can take effect once only, because the audit row must not exist.
bool CommitWithAudit(Workspace& workspace,
                     std::vector<platform::Write> writes,
                     const AuditRecord& record);

/// Stores a sheet under its digest and makes sure that it can be read back.
void StoreSheet(platform::ObjectStore& objects,
                const std::string& digest,
                std::string_view sheet);

}  // namespace cassiakeel::policy::pvt
