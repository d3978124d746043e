#include "cassiakeel/policy/records.h"

#include <array>
#include <ctime>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include "json_fields.h"

namespace cassiakeel::policy {
namespace {

constexpr std::array<std::string_view, 3> kStateNames = {"open", "approved",
                                                         "rejected"};
constexpr std::int64_t kMsPerSecond = 1000;

std::tm UtcTime(std::int64_t time_ms) {
  const auto seconds = static_cast<std::time_t>(time_ms / kMsPerSecond);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  return utc;
}

ProposalState ParseState(const std::string& name) {
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (kStateNames[i] == name) {
      return static_cast<ProposalState>(i);
    }
  }
  throw Exception(Error{"read JSON", {}, "unknown state " + name});
}

Proposal ProposalFromJson(const nlohmann::json& object) {
  Proposal proposal;
  proposal.digest = object.at("digest").get<std::string>();
  proposal.proposer = object.at("proposer").get<std::string>();
  proposal.comment = object.at("comment").get<std::string>();
  proposal.time_ms = object.at("time_ms").get<std::int64_t>();
  proposal.state = ParseState(object.at("state").get<std::string>());
  proposal.decided_by = object.at("decided_by").get<std::string>();
  proposal.decided_ms = object.at("decided_ms").get<std::int64_t>();
  proposal.decision_comment = object.at("decision_comment").get<std::string>();
  proposal.version = pvt::ReadVersion(object, "version");
  return proposal;
}

AuditRecord AuditFromJson(const nlohmann::json& object) {
  AuditRecord record;
  record.action = object.at("action").get<std::string>();
  record.time_ms = object.at("time_ms").get<std::int64_t>();
  record.change_id = object.at("change_id").get<std::string>();
  record.digest = object.at("digest").get<std::string>();
  record.actor = object.at("actor").get<std::string>();
  record.comment = object.at("comment").get<std::string>();
  if (object.contains("approval")) {
    record.approval = pvt::ApprovalFromJson(object.at("approval"));
  }
  return record;
}

// Comments come from operators; bytes that are not UTF-8 are replaced.
std::string Dump(const nlohmann::json& object) {
  return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

std::string SheetKey(std::string_view digest) {
  return fmt::format("sheets/{}", digest);
}

std::string ProposalKey(std::string_view digest) {
  return fmt::format("proposal/{}", digest);
}

std::string AuditKey(std::int64_t time_ms, std::string_view change_id) {
  return fmt::format("{}{:%Y%m%dT%H%M%S}.{:03}Z-{}", kAuditPrefix,
                     UtcTime(time_ms), time_ms % kMsPerSecond, change_id);
}

std::int64_t UnixMs(WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

std::string FormatTime(std::int64_t time_ms) {
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", UtcTime(time_ms),
                     time_ms % kMsPerSecond);
}

std::string_view ProposalStateName(ProposalState state) {
  return kStateNames.at(static_cast<std::size_t>(state));
}

std::string EncodeProposal(const Proposal& proposal) {
  return Dump({
      {"digest", proposal.digest},
      {"proposer", proposal.proposer},
      {"comment", proposal.comment},
      {"time_ms", proposal.time_ms},
      {"state", ProposalStateName(proposal.state)},
      {"decided_by", proposal.decided_by},
      {"decided_ms", proposal.decided_ms},
      {"decision_comment", proposal.decision_comment},
      {"version", proposal.version.Value()},
  });
}

Result<Proposal> DecodeProposal(std::string_view json) {
  return pvt::DecodeJson<Proposal>("read proposal", json, ProposalFromJson);
}

std::string EncodeAudit(const AuditRecord& record) {
  nlohmann::json object = {
      {"action", record.action},       {"time_ms", record.time_ms},
      {"change_id", record.change_id}, {"digest", record.digest},
      {"actor", record.actor},         {"comment", record.comment},
  };
  if (record.approval) {
    object["approval"] = pvt::ApprovalToJson(*record.approval);
  }
  return Dump(object);
}

Result<AuditRecord> DecodeAudit(std::string_view json) {
  return pvt::DecodeJson<AuditRecord>("read audit record", json, AuditFromJson);
}

}  // namespace cassiakeel::policy
