#include <deque>

#include "cassiakeel/policy/workflow.h"

namespace cassiakeel::policy {
namespace {

constexpr int kPageRows = 500;
/// Bounds a scan at 500,000 rows, the changes of about four months.
constexpr int kMaxPages = 1000;

template <typename Visit>
void ScanAll(platform::Table& table,
             const std::string& prefix,
             std::string after,
             Visit visit) {
  for (int page = 0; page < kMaxPages; ++page) {
    const auto rows = table.Scan(prefix, after, kPageRows);
    for (const auto& row : rows) {
      visit(row);
    }
    if (rows.size() < kPageRows) {
      return;
    }
    after = rows.back().key;
  }
}

// One damaged row must not hide the rest of the history.
AuditRecord ReadRecord(const platform::Row& row) {
  auto record = DecodeAudit(row.value);
  if (record) {
    return std::move(*record);
  }
  AuditRecord unreadable;
  unreadable.action = "unreadable";
  unreadable.comment = row.key;
  return unreadable;
}

}  // namespace

std::vector<Proposal> OpenProposals(platform::Table& table) {
  std::vector<Proposal> open;
  ScanAll(table, ProposalKey(""), "", [&](const platform::Row& row) {
    const auto proposal = DecodeProposal(row.value);
    if (proposal && proposal->state == ProposalState::kOpen) {
      open.push_back(*proposal);
    }
  });
  return open;
}

Result<std::string> ReadSheet(platform::ObjectStore& objects,
                              const std::string& digest) {
  auto sheet = objects.Get(SheetKey(digest));
  if (!sheet) {
    return Fail("read sheet", "no sheet " + digest + " is stored");
  }
  if (Sha256Hex(*sheet) != digest) {
    return Fail("read sheet", "the stored sheet " + digest +
                                  " was altered or damaged; propose it again");
  }
  return std::move(*sheet);
}

std::vector<AuditRecord> History(platform::Table& table,
                                 std::int64_t since_ms,
                                 std::size_t limit) {
  std::deque<AuditRecord> records;
  ScanAll(table, std::string(kAuditPrefix), AuditKey(since_ms, ""),
          [&](const platform::Row& row) {
            records.push_back(ReadRecord(row));
            if (records.size() > limit) {
              records.pop_front();
            }
          });
  return {records.begin(), records.end()};
}

}  // namespace cassiakeel::policy
