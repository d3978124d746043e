#include "cassiakeel/policy/workflow.h"

#include <fmt/format.h>

#include "cassiakeel/policy/sheet.h"
#include "commit.h"
#include "person.h"

namespace cassiakeel::policy {
namespace {

constexpr int kChangeIdBytes = 16;

template <typename T>
struct VersionedRow {
  /// Version of the row, 0 where it does not exist.
  std::uint64_t row_version = 0;
  std::optional<T> value;
};

template <typename T, typename Decode>
Result<VersionedRow<T>> ReadRow(platform::Table& table,
                                const std::string& key,
                                Decode decode) {
  const auto row = table.Get(key);
  if (!row) {
    return VersionedRow<T>{};
  }
  auto value = decode(row->value);
  if (!value) {
    return Fail("read row " + key, value.error().message);
  }
  return VersionedRow<T>{row->version, std::move(*value)};
}

Result<VersionedRow<Approval>> ReadHeadRow(platform::Table& table) {
  return ReadRow<Approval>(table, std::string(kHeadKey), DecodeApproval);
}

Result<VersionedRow<Proposal>> ReadProposalRow(platform::Table& table,
                                               const std::string& digest) {
  return ReadRow<Proposal>(table, ProposalKey(digest), DecodeProposal);
}

AuditRecord NewRecord(Workspace& workspace,
                      std::string action,
                      const std::string& digest,
                      const std::string& actor,
                      const std::string& comment) {
  return {std::move(action),
          UnixMs(workspace.clock.WallNow()),
          RandomHex(kChangeIdBytes, workspace.rng),
          digest,
          actor,
          comment,
          std::nullopt};
}

std::string Describe(const Approval& head) {
  return fmt::format("version {} (sheet {}) by {} at {}", head.version.Value(),
                     head.digest, head.approver, FormatTime(head.time_ms));
}

std::string Describe(const Proposal& proposal) {
  if (proposal.state == ProposalState::kOpen) {
    return fmt::format("proposed by {} at {}", proposal.proposer,
                       FormatTime(proposal.time_ms));
  }
  return fmt::format("{} by {} at {}", ProposalStateName(proposal.state),
                     proposal.decided_by, FormatTime(proposal.decided_ms));
}

Conflict HeadConflict(const Approval& head) {
  return {"in force is " + Describe(head), head};
}

// What another operator did to the proposal in the meantime.
Result<Conflict> ProposalConflict(Workspace& workspace,
                                  const std::string& digest) {
  return ReadProposalRow(workspace.table, digest).map([](const auto& row) {
    return Conflict{row.value
                        ? "meanwhile the sheet was " + Describe(*row.value)
                        : "meanwhile the proposal disappeared",
                    std::nullopt};
  });
}

template <typename T>
Result<Change<T>> Conflicted(Conflict conflict) {
  return Change<T>{std::nullopt, std::move(conflict)};
}

Result<void> CheckPerson(const std::string& role, const std::string& name) {
  if (IsPersonName(name)) {
    return {};
  }
  return Fail("check " + role,
              fmt::format("\"{}\" is not accepted; accepted: 1 to 64 letters, "
                          "digits or . _ @ -",
                          name));
}

Result<void> CheckMayApprove(const Proposal& proposal,
                             const std::string& approver) {
  if (pvt::SamePerson(proposal.proposer, approver)) {
    return Fail("approve sheet",
                fmt::format("{} proposed this sheet; someone else has to "
                            "approve it",
                            proposal.proposer));
  }
  if (proposal.state == ProposalState::kRejected) {
    return Fail("approve sheet",
                "the sheet was " + Describe(proposal) + "; propose it again");
  }
  return {};
}

Approval NextApproval(const std::optional<Approval>& head,
                      const Proposal& proposal,
                      const AuditRecord& record) {
  Approval approval;
  approval.previous = head ? head->version : PolicyVersion(0);
  approval.version = PolicyVersion(approval.previous.Value() + 1);
  approval.digest = proposal.digest;
  approval.approver = record.actor;
  approval.proposer = proposal.proposer;
  approval.time_ms = record.time_ms;
  approval.change_id = record.change_id;
  return approval;
}

// Nodes will apply the same checks; what they would refuse is not written.
Result<void> CheckAcceptable(Workspace& workspace,
                             const Approval& approval,
                             const PrivateKey& key) {
  const auto sheet = ReadSheet(workspace.objects, approval.digest);
  if (!sheet) {
    return tl::make_unexpected(sheet.error());
  }
  const TrustedKeys keys{{approval.approver, key.Public()}};
  const auto policy = AcceptPolicy(approval.previous, approval, *sheet, keys);
  if (!policy) {
    return tl::make_unexpected(policy.error());
  }
  return {};
}

Proposal Decided(Proposal proposal,
                 ProposalState state,
                 const AuditRecord& record) {
  proposal.state = state;
  proposal.decided_by = record.actor;
  proposal.decided_ms = record.time_ms;
  proposal.decision_comment = record.comment;
  return proposal;
}

Result<Change<Approval>> CommitApproval(Workspace& workspace,
                                        const VersionedRow<Approval>& head,
                                        const VersionedRow<Proposal>& proposal,
                                        AuditRecord record,
                                        const Approval& approval) {
  record.approval = approval;
  Proposal decided = Decided(*proposal.value, ProposalState::kApproved, record);
  decided.version = approval.version;
  if (pvt::CommitWithAudit(
          workspace,
          {{std::string(kHeadKey), EncodeApproval(approval), head.row_version},
           {ProposalKey(approval.digest), EncodeProposal(decided),
            proposal.row_version}},
          record)) {
    return Change<Approval>{approval, {}};
  }
  const auto now = ReadHeadRow(workspace.table);
  if (!now) {
    return tl::make_unexpected(now.error());
  }
  if (now->row_version != head.row_version && now->value) {
    return Conflicted<Approval>(HeadConflict(*now->value));
  }
  return ProposalConflict(workspace, approval.digest)
      .and_then(Conflicted<Approval>);
}

// Why `head` does not let the request go ahead, if so.
std::optional<Conflict> CheckHead(const std::optional<Approval>& head,
                                  const ApproveRequest& request) {
  const auto current = head ? head->version : PolicyVersion(0);
  if (request.replaces && *request.replaces != current) {
    if (!head) {
      return Conflict{"no policy is in force yet", std::nullopt};
    }
    return HeadConflict(*head);
  }
  if (head && head->digest == request.digest) {
    return HeadConflict(*head);
  }
  return std::nullopt;
}

}  // namespace

Result<Change<Proposal>> Propose(Workspace& workspace,
                                 std::string_view sheet,
                                 const std::string& proposer,
                                 const std::string& comment) {
  if (auto person = CheckPerson("proposer", proposer); !person) {
    return tl::make_unexpected(person.error());
  }
  const auto policy = ParseSheet(sheet);
  if (!policy) {
    return tl::make_unexpected(policy.error());
  }
  const auto row = ReadProposalRow(workspace.table, policy->digest);
  if (!row) {
    return tl::make_unexpected(row.error());
  }
  pvt::StoreSheet(workspace.objects, policy->digest, sheet);
  if (row->value && row->value->state == ProposalState::kOpen) {
    if (row->value->proposer == proposer) {
      return Change<Proposal>{*row->value, {}};
    }
    return Conflicted<Proposal>(
        {"this sheet was already " + Describe(*row->value), std::nullopt});
  }
  const AuditRecord record =
      NewRecord(workspace, "propose", policy->digest, proposer, comment);
  Proposal proposal;
  proposal.digest = policy->digest;
  proposal.proposer = proposer;
  proposal.comment = comment;
  proposal.time_ms = record.time_ms;
  proposal.version = row->value ? row->value->version : PolicyVersion(0);
  if (pvt::CommitWithAudit(workspace,
                           {{ProposalKey(policy->digest),
                             EncodeProposal(proposal), row->row_version}},
                           record)) {
    return Change<Proposal>{proposal, {}};
  }
  return ProposalConflict(workspace, policy->digest)
      .and_then(Conflicted<Proposal>);
}

Result<Change<Approval>> Approve(Workspace& workspace,
                                 const ApproveRequest& request,
                                 const PrivateKey& key) {
  if (auto person = CheckPerson("approver", request.approver); !person) {
    return tl::make_unexpected(person.error());
  }
  const auto head = ReadHeadRow(workspace.table);
  if (!head) {
    return tl::make_unexpected(head.error());
  }
  if (auto conflict = CheckHead(head->value, request)) {
    return Conflicted<Approval>(std::move(*conflict));
  }
  const auto proposal = ReadProposalRow(workspace.table, request.digest);
  if (!proposal) {
    return tl::make_unexpected(proposal.error());
  }
  if (!proposal->value) {
    return Fail("approve sheet", "no proposal of sheet " + request.digest);
  }
  if (auto may = CheckMayApprove(*proposal->value, request.approver); !may) {
    return tl::make_unexpected(may.error());
  }
  AuditRecord record = NewRecord(workspace, "approve", request.digest,
                                 request.approver, request.comment);
  Approval approval = NextApproval(head->value, *proposal->value, record);
  SignApproval(approval, key);
  if (auto acceptable = CheckAcceptable(workspace, approval, key);
      !acceptable) {
    return tl::make_unexpected(acceptable.error());
  }
  return CommitApproval(workspace, *head, *proposal, std::move(record),
                        approval);
}

Result<Change<Proposal>> Reject(Workspace& workspace,
                                const std::string& digest,
                                const std::string& actor,
                                const std::string& comment) {
  if (auto person = CheckPerson("actor", actor); !person) {
    return tl::make_unexpected(person.error());
  }
  const auto row = ReadProposalRow(workspace.table, digest);
  if (!row) {
    return tl::make_unexpected(row.error());
  }
  if (!row->value) {
    return Fail("reject sheet", "no proposal of sheet " + digest);
  }
  if (row->value->state != ProposalState::kOpen) {
    return Conflicted<Proposal>(
        {"the sheet was already " + Describe(*row->value), std::nullopt});
  }
  const AuditRecord record =
      NewRecord(workspace, "reject", digest, actor, comment);
  const Proposal rejected =
      Decided(*row->value, ProposalState::kRejected, record);
  if (pvt::CommitWithAudit(
          workspace,
          {{ProposalKey(digest), EncodeProposal(rejected), row->row_version}},
          record)) {
    return Change<Proposal>{rejected, {}};
  }
  return ProposalConflict(workspace, digest).and_then(Conflicted<Proposal>);
}

Result<std::optional<Approval>> ReadHead(platform::Table& table) {
  return ReadHeadRow(table).map([](const auto& row) { return row.value; });
}

Result<std::optional<Proposal>> ReadProposal(platform::Table& table,
                                             const std::string& digest) {
  return ReadProposalRow(table, digest).map([](const auto& row) {
    return row.value;
  });
}

}  // namespace cassiakeel::policy
