#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cassiakeel/base/clock.h"
#include "cassiakeel/base/error.h"
#include "cassiakeel/base/random.h"
#include "cassiakeel/platform/platform.h"
#include "cassiakeel/policy/records.h"

namespace cassiakeel::policy {

/// What the steps of the workflow work on. All throw
/// `platform::PlatformException` when the platform does not answer; if it then
/// stays unknown whether a change took effect, the message names its change
/// id, by which `History` shows it.
struct Workspace {
  platform::Table& table;
  platform::ObjectStore& objects;
  const Clock& clock;
  Rng& rng;
  /// Waits between attempts.
  std::function<void(std::chrono::milliseconds)> sleep;
};

/// Who came first when a change did not take effect.
struct Conflict {
  std::string message;
  /// The policy in force at that time.
  std::optional<Approval> head;
};

/// A change that took effect (`done`), or the conflict that prevented it.
template <typename T>
struct Change {
  std::optional<T> done;
  Conflict conflict;
};

/// Stores the sheet as an immutable object and a row that asks legal to decide.
/// Fails on a sheet with faults. Proposing the same sheet again while its
/// proposal is open changes nothing; after a decision it opens a new proposal.
Result<Change<Proposal>> Propose(Workspace& workspace,
                                 std::string_view sheet,
                                 const std::string& proposer,
                                 const std::string& comment);

struct ApproveRequest {
  std::string digest;
  std::string approver;
  std::string comment;
  /// Version that the approver compared the sheet with; empty for whichever is
  /// in force. Any other version in force is a conflict.
  std::optional<PolicyVersion> replaces;
};

/// Signs the sheet as the next version and puts it in force, together with the
/// audit row. An older sheet is approved the same way, which is a rollback.
/// Fails when the approver proposed the sheet, when the proposal was rejected,
/// or when the stored sheet is missing, altered or faulty.
Result<Change<Approval>> Approve(Workspace& workspace,
                                 const ApproveRequest& request,
                                 const PrivateKey& key);

/// Closes an open proposal without effect. The proposer may withdraw it so.
Result<Change<Proposal>> Reject(Workspace& workspace,
                                const std::string& digest,
                                const std::string& actor,
                                const std::string& comment);

/// The approval in `policy/head`, unverified; empty before the first one.
Result<std::optional<Approval>> ReadHead(platform::Table& table);

Result<std::optional<Proposal>> ReadProposal(platform::Table& table,
                                             const std::string& digest);

/// All proposals without a decision, by digest.
std::vector<Proposal> OpenProposals(platform::Table& table);

/// The stored sheet; fails when it is missing or is not what `digest` says.
Result<std::string> ReadSheet(platform::ObjectStore& objects,
                              const std::string& digest);

/// The last `limit` audit records since `since_ms`, oldest first.
std::vector<AuditRecord> History(platform::Table& table,
                                 std::int64_t since_ms,
                                 std::size_t limit);

}  // namespace cassiakeel::policy
