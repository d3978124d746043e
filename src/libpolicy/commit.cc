#include "commit.h"

#include <fmt/format.h>

namespace cassiakeel::policy::pvt {
namespace {

using std::chrono::milliseconds;

/// With the waits below and the client's timeout of 2 s, an operator waits
/// at most about 25 s for an answer.
constexpr int kMaxAttempts = 5;
constexpr milliseconds kFirstBackoff{200};

bool WasApplied(Workspace& workspace,
                const std::string& audit_key,
                const std::string& audit_value) {
  const auto row = workspace.table.Get(audit_key);
  return row && row->value == audit_value;
}

platform::PlatformException StillUnknown(const Error& last,
                                         const std::string& change_id) {
  return {Error{"commit change", last.peer,
                fmt::format("it is unknown whether change {} took effect; look "
                            "for it in the history before you repeat it ({})",
                            change_id, last.message)},
          true};
}

}  // namespace

bool CommitWithAudit(Workspace& workspace,
                     std::vector<platform::Write> writes,
                     const AuditRecord& record) {
  const std::string key = AuditKey(record.time_ms, record.change_id);
  const std::string value = EncodeAudit(record);
  writes.push_back({key, value, 0});
  bool sent = false;
  milliseconds backoff = kFirstBackoff;
  Error last;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    try {
      if (sent) {
        workspace.sleep(FullJitter(backoff, workspace.rng));
        backoff *= 2;
        if (WasApplied(workspace, key, value)) {
          return true;
        }
      }
      const bool applied = workspace.table.Transact(writes).applied;
      sent = true;
      // The platform's client may have sent the transaction twice.
      return applied || WasApplied(workspace, key, value);
    } catch (const platform::PlatformException& error) {
      if (!sent && !error.may_have_applied()) {
        throw;
      }
      sent = true;
      last = error.error();
    }
  }
  throw StillUnknown(last, record.change_id);
}

void StoreSheet(platform::ObjectStore& objects,
                const std::string& digest,
                std::string_view sheet) {
  const std::string key = SheetKey(digest);
  // Other bytes under this digest are damage, which writing again repairs.
  if (objects.Get(key) == sheet) {
    return;
  }
  try {
    objects.Put(key, std::string(sheet));
  } catch (const platform::PlatformException& error) {
    if (!error.may_have_applied() || objects.Get(key) != sheet) {
      throw;
    }
  }
}

}  // namespace cassiakeel::policy::pvt
