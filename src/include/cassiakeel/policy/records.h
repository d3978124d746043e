#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cassiakeel/base/clock.h"
#include "cassiakeel/base/error.h"
#include "cassiakeel/policy/approval.h"

namespace cassiakeel::policy {

/// Row that names the policy in force; its value is an `Approval` as JSON.
inline constexpr std::string_view kHeadKey = "policy/head";
/// Prefix of the audit rows, which are never changed or deleted.
inline constexpr std::string_view kAuditPrefix = "audit/";

/// Object that holds a sheet.
std::string SheetKey(std::string_view digest);
/// Row of the proposal of a sheet.
std::string ProposalKey(std::string_view digest);
/// Row of one step of the workflow. Keys sort by time.
std::string AuditKey(std::int64_t time_ms, std::string_view change_id);

std::int64_t UnixMs(WallTime time);
/// "2026-01-31T08:15:00.250Z" (RFC 3339).
std::string FormatTime(std::int64_t time_ms);

enum class ProposalState { kOpen, kApproved, kRejected };

std::string_view ProposalStateName(ProposalState state);

/// A sheet that waits for legal, or what legal decided.
struct Proposal {
  std::string digest;
  std::string proposer;
  std::string comment;
  std::int64_t time_ms = 0;
  ProposalState state = ProposalState::kOpen;
  /// Who approved or rejected, when and why; empty while open.
  std::string decided_by;
  std::int64_t decided_ms = 0;
  std::string decision_comment;
  /// Version of the last approval, 0 before.
  PolicyVersion version;
};

/// One step of the workflow.
struct AuditRecord {
  /// "propose", "approve" or "reject"; "unreadable" for a row that is no
  /// record, whose key is then in `comment`.
  std::string action;
  std::int64_t time_ms = 0;
  std::string change_id;
  std::string digest;
  std::string actor;
  std::string comment;
  /// The approval, with its signature, of an "approve" step.
  std::optional<Approval> approval;
};

/// JSON of the rows. Decoding fails on malformed JSON or missing fields.
std::string EncodeProposal(const Proposal& proposal);
Result<Proposal> DecodeProposal(std::string_view json);
std::string EncodeAudit(const AuditRecord& record);
Result<AuditRecord> DecodeAudit(std::string_view json);

}  // namespace cassiakeel::policy
