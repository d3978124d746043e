#include <fmt/format.h>

#include "cassiakeel/policy/diff.h"
#include "cassiakeel/policy/sheet.h"
#include "output.h"

namespace cassiakeel::cli {
namespace {

std::string ReadSheetFile(const std::string& name) {
  // Reads up to one byte more than allowed, so that the sheet check reports a
  // sheet that is too large.
  return ReadFile(name, policy::kMaxSheetBytes + 1);
}

int Check(const Arguments& arguments, Context& context) {
  const auto report = policy::CheckSheet(ReadSheetFile(arguments.Text("FILE")));
  if (arguments.Has("json")) {
    context.out << ToJsonLine(ToJson(report));
  } else {
    PrintReport(report, context.out);
    context.out << fmt::format(
        "{}: {} faults, {} warnings, {} services\ndigest {}\n",
        report.ok() ? "accepted" : "not accepted", report.faults.size(),
        report.warnings.size(), report.policy.services.size(),
        report.policy.digest);
  }
  return report.ok() ? kOk : kFailed;
}

int Propose(const Arguments& arguments, Context& context) {
  const std::string sheet = ReadSheetFile(arguments.Text("FILE"));
  const std::string proposer = arguments.Text("proposer");
  const auto platform = OpenPlatform(arguments, context);
  auto workspace = ToWorkspace(platform, context);
  const auto change = OrThrow(policy::Propose(workspace, sheet, proposer,
                                              arguments.TextOr("comment", "")));
  if (!change.done) {
    return ReportConflict(change.conflict, arguments, context);
  }
  if (arguments.Has("json")) {
    context.out << ToJsonLine(
        {{"applied", true}, {"proposal", ToJson(*change.done)}});
  } else {
    PrintReport(policy::CheckSheet(sheet), context.out);
    context.out << "Proposed. To review the changes, legal runs\n  cassiakeel "
                   "sheet diff "
                << change.done->digest << '\n';
  }
  return kOk;
}

// Loads the policy from a sheet file or a digest, or the policy in force if
// `name` is empty. Before the first approval the policy in force is empty.
policy::Policy LoadPolicy(const std::string& name,
                          const Arguments& arguments,
                          Context& context) {
  if (!name.empty() && !policy::IsDigest(name)) {
    return OrThrow(policy::ParseSheet(ReadSheetFile(name)));
  }
  const auto platform = OpenPlatform(arguments, context);
  std::string digest = name;
  PolicyVersion version;
  if (name.empty()) {
    const auto head = OrThrow(policy::ReadHead(*platform.table));
    if (!head) {
      return {};
    }
    digest = head->digest;
    version = head->version;
  }
  auto policy = OrThrow(policy::ParseSheet(
      OrThrow(policy::ReadSheet(*platform.objects, digest))));
  policy.version = version;
  return policy;
}

void PrintChanges(const std::vector<policy::PolicyChange>& changes,
                  std::ostream& out) {
  for (const auto& change : changes) {
    out << change.service.Value();
    if (!change.kind.Value().empty()) {
      out << " / " << change.kind.Value();
    }
    out << fmt::format(": {} {} -> {}\n    {}\n", change.field,
                       change.before.empty() ? "(none)" : change.before,
                       change.after.empty() ? "(none)" : change.after,
                       change.meaning);
  }
}

nlohmann::json ChangesToJson(const std::vector<policy::PolicyChange>& changes) {
  auto list = nlohmann::json::array();
  for (const auto& change : changes) {
    list.push_back({{"service", change.service.Value()},
                    {"kind", change.kind.Value()},
                    {"field", change.field},
                    {"before", change.before},
                    {"after", change.after},
                    {"meaning", change.meaning}});
  }
  return list;
}

int Diff(const Arguments& arguments, Context& context) {
  const std::string against = arguments.TextOr("against", "");
  const auto before = LoadPolicy(against, arguments, context);
  const auto after = LoadPolicy(arguments.Text("SHEET"), arguments, context);
  const auto changes = policy::DiffPolicies(before, after);
  if (arguments.Has("json")) {
    context.out << ToJsonLine({{"from_version", before.version.Value()},
                               {"from_digest", before.digest},
                               {"to_digest", after.digest},
                               {"changes", ChangesToJson(changes)}});
    return kOk;
  }
  PrintChanges(changes, context.out);
  context.out << changes.size() << " changes";
  if (against.empty()) {
    context.out << fmt::format(
        " against {}. To approve them:\n"
        "  cassiakeel sheet approve {} --replaces {}",
        before.version.Value() == 0
            ? "no policy, as none is in force yet"
            : fmt::format("version {}, which is in force",
                          before.version.Value()),
        after.digest, before.version.Value());
  }
  context.out << '\n';
  return kOk;
}

}  // namespace

std::vector<Command> SheetFileCommands() {
  return {
      {"sheet check",
       "Check a CSV sheet and print all faults and warnings",
       {"FILE"},
       {JsonOption()},
       Check},
      {"sheet propose",
       "Store a sheet and submit it to legal for a decision",
       {"FILE"},
       WithPlatform({{"proposer", "NAME", "name of the proposer"},
                     {"comment", "TEXT", "reason, shown to legal"}}),
       Propose},
      {"sheet diff",
       "Describe what a sheet (file or digest) changes for customers",
       {"SHEET"},
       WithPlatform({{"against", "SHEET",
                      "file or digest to compare with, instead of the policy "
                      "in force"}}),
       Diff},
  };
}

}  // namespace cassiakeel::cli
