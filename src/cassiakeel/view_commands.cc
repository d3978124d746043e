#include <fmt/format.h>

#include "cassiakeel/policy/sheet.h"
#include "cassiakeel/policy/workflow.h"
#include "output.h"

namespace cassiakeel::cli {
namespace {

constexpr std::int64_t kMsPerHour = 3'600'000;
constexpr std::int64_t kMaxHistoryHours = 100'000;

int History(const Arguments& arguments, Context& context) {
  const auto hours = arguments.Number("since-hours", 1, kMaxHistoryHours);
  const auto limit = arguments.Number("limit", 1, 100'000);
  const auto platform = OpenPlatform(arguments, context);
  const auto since =
      policy::UnixMs(context.clock.WallNow()) - hours * kMsPerHour;
  const auto records =
      policy::History(*platform.table, since, static_cast<std::size_t>(limit));
  if (arguments.Has("json")) {
    auto list = nlohmann::json::array();
    for (const auto& record : records) {
      list.push_back(ToJson(record));
    }
    context.out << ToJsonLine({{"history", list}});
    return kOk;
  }
  std::vector<std::vector<std::string>> rows = {
      {"TIME", "ACTION", "VERSION", "ACTOR", "SHEET", "CHANGE", "COMMENT"}};
  for (const auto& record : records) {
    rows.push_back(
        {policy::FormatTime(record.time_ms), record.action,
         record.approval ? std::to_string(record.approval->version.Value())
                         : "-",
         record.actor, record.digest, record.change_id, record.comment});
  }
  PrintTable(rows, context.out);
  return kOk;
}

void PrintHead(const std::optional<policy::Approval>& head, std::ostream& out) {
  if (!head) {
    out << "No policy is in force.\n";
    return;
  }
  out << fmt::format(
      "In force: version {}, sheet {}\n  proposed by {}, approved by {} at "
      "{}\n",
      head->version.Value(), head->digest, head->proposer, head->approver,
      policy::FormatTime(head->time_ms));
}

int ShowOverview(const Arguments& arguments, Context& context) {
  const auto platform = OpenPlatform(arguments, context);
  const auto head = OrThrow(policy::ReadHead(*platform.table));
  const auto open_proposals = policy::OpenProposals(*platform.table);
  if (arguments.Has("json")) {
    auto proposals = nlohmann::json::array();
    for (const auto& proposal : open_proposals) {
      proposals.push_back(ToJson(proposal));
    }
    context.out << ToJsonLine(
        {{"in_force", head ? ToJson(*head) : nlohmann::json()},
         {"open", proposals}});
    return kOk;
  }
  PrintHead(head, context.out);
  if (open_proposals.empty()) {
    context.out << "No proposal is waiting for legal.\n";
    return kOk;
  }
  std::vector<std::vector<std::string>> rows = {
      {"WAITING FOR LEGAL", "PROPOSER", "SINCE", "COMMENT"}};
  for (const auto& proposal : open_proposals) {
    rows.push_back({proposal.digest, proposal.proposer,
                    policy::FormatTime(proposal.time_ms), proposal.comment});
  }
  PrintTable(rows, context.out);
  return kOk;
}

void PrintKinds(const policy::Policy& policy, std::ostream& out) {
  std::vector<std::vector<std::string>> rows = {
      {"SERVICE", "KIND", "METHOD", "PATH", "CLASS", "LENGTH", "IDEMPOTENT",
       "DEADLINE", "RETRIES", "SHARE", "WAIT", "OBJECTIVE"}};
  for (const auto& [name, service] : policy.services) {
    for (const auto& kind : service.kinds) {
      rows.push_back({name.Value(), kind.kind.Value(), kind.method, kind.path,
                      std::string(RequestClassName(kind.request_class)),
                      std::string(WorkLengthName(kind.length)),
                      kind.idempotent ? "yes" : "no",
                      fmt::format("{} ms", kind.deadline.count()),
                      std::to_string(kind.retries),
                      fmt::format("{}%", kind.slot_share.Value()),
                      fmt::format("{} ms", kind.max_wait.count()),
                      fmt::format("{}% in {} ms", kind.objective.percent,
                                  kind.objective.latency.count())});
    }
  }
  PrintTable(rows, out);
  rows = {{"SERVICE", "IN FLIGHT PER ENDPOINT", "KEPT FOR SHORT WORK"}};
  for (const auto& [name, service] : policy.services) {
    rows.push_back({name.Value(), std::to_string(service.max_in_flight),
                    std::to_string(service.short_reserved.Value())});
  }
  PrintTable(rows, out);
}

void PrintProposal(const policy::Proposal& proposal, std::ostream& out) {
  out << fmt::format(
      "Sheet {}\n  proposed by {} at {}: {}\n  {}", proposal.digest,
      Printable(proposal.proposer), policy::FormatTime(proposal.time_ms),
      Printable(proposal.comment), policy::ProposalStateName(proposal.state));
  if (proposal.state != policy::ProposalState::kOpen) {
    out << fmt::format(" by {} at {}: {}", Printable(proposal.decided_by),
                       policy::FormatTime(proposal.decided_ms),
                       Printable(proposal.decision_comment));
  }
  out << "\n\n";
}

int ShowSheet(const Arguments& arguments, Context& context) {
  const std::string digest = DigestArgument(arguments);
  const auto platform = OpenPlatform(arguments, context);
  const auto sheet = OrThrow(policy::ReadSheet(*platform.objects, digest));
  if (arguments.Has("csv")) {
    context.out << sheet;
    return kOk;
  }
  const auto proposal = OrThrow(policy::ReadProposal(*platform.table, digest));
  const auto report = policy::CheckSheet(sheet);
  if (arguments.Has("json")) {
    context.out << ToJsonLine(
        {{"proposal", proposal ? ToJson(*proposal) : nlohmann::json()},
         {"check", ToJson(report)},
         {"csv", sheet}});
    return kOk;
  }
  if (proposal) {
    PrintProposal(*proposal, context.out);
  }
  PrintReport(report, context.out);
  PrintKinds(report.policy, context.out);
  return kOk;
}

int Show(const Arguments& arguments, Context& context) {
  return arguments.Has("DIGEST") ? ShowSheet(arguments, context)
                                 : ShowOverview(arguments, context);
}

}  // namespace

std::vector<Command> ViewCommands() {
  return {
      {"sheet history",
       "List proposals, approvals and rejections, oldest first",
       {},
       WithPlatform(
           {{"since-hours", "HOURS", "how far back to look", "168"},
            {"limit", "COUNT", "list at most the last COUNT entries", "50"}}),
       History},
      {"sheet show",
       "Show the policy in force and open proposals, or one sheet",
       {"[DIGEST]"},
       WithPlatform({{"csv", "", "print the stored bytes of the sheet"}}),
       Show},
  };
}

}  // namespace cassiakeel::cli
