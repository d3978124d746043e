#include <filesystem>

#include <fmt/format.h>

#include "cassiakeel/policy/workflow.h"
#include "output.h"

namespace cassiakeel::cli {
namespace {

constexpr std::size_t kMaxKeyFileBytes = 16'384;

policy::PrivateKey ReadKey(const std::string& name) {
  using std::filesystem::perms;
  std::error_code error;
  const auto permissions = std::filesystem::status(name, error).permissions();
  if (!error && (permissions & perms::others_all) != perms::none) {
    throw Exception(Error{"read key file",
                          {},
                          name + " is accessible to all users; restrict it to "
                                 "its owner (mode 0600)"});
  }
  return OrThrow(policy::PrivateKey::FromPem(ReadFile(name, kMaxKeyFileBytes)));
}

int Approve(const Arguments& arguments, Context& context) {
  policy::ApproveRequest request;
  request.digest = DigestArgument(arguments);
  request.approver = arguments.Text("approver");
  request.comment = arguments.TextOr("comment", "");
  if (arguments.Has("replaces")) {
    request.replaces = PolicyVersion(
        static_cast<std::uint64_t>(arguments.Number("replaces", 0, INT64_MAX)));
  }
  const auto key = ReadKey(arguments.Text("key-file"));
  const auto platform = OpenPlatform(arguments, context);
  auto workspace = ToWorkspace(platform, context);
  const auto change = OrThrow(policy::Approve(workspace, request, key));
  if (!change.done) {
    return ReportConflict(change.conflict, arguments, context);
  }
  if (arguments.Has("json")) {
    context.out << ToJsonLine(
        {{"applied", true}, {"in_force", ToJson(*change.done)}});
  } else {
    context.out << fmt::format(
        "Version {} is approved. Nodes apply it within 20 s; to wait for this, "
        "run\n  cassiakeel sheet wait {}\n",
        change.done->version.Value(), change.done->version.Value());
  }
  return kOk;
}

int Reject(const Arguments& arguments, Context& context) {
  const std::string digest = DigestArgument(arguments);
  const std::string actor = arguments.Text("actor");
  const auto platform = OpenPlatform(arguments, context);
  auto workspace = ToWorkspace(platform, context);
  const auto change = OrThrow(policy::Reject(workspace, digest, actor,
                                             arguments.TextOr("comment", "")));
  if (!change.done) {
    return ReportConflict(change.conflict, arguments, context);
  }
  if (arguments.Has("json")) {
    context.out << ToJsonLine(
        {{"applied", true}, {"proposal", ToJson(*change.done)}});
  } else {
    context.out << "Proposal rejected. The policy in force is unchanged.\n";
  }
  return kOk;
}

}  // namespace

std::vector<Command> DecisionCommands() {
  return {
      {"sheet approve",
       "Sign a proposed or previously approved sheet and put it in force",
       {"DIGEST"},
       WithPlatform(
           {{"approver", "NAME",
             "name of the approver, who must not be the proposer"},
            {"key-file", "FILE", "private key of the approver"},
            {"replaces", "VERSION",
             "version that the sheet was compared with; if another one is in "
             "force, the approval fails as a conflict"},
            {"comment", "TEXT", "reason, recorded in the audit log"}}),
       Approve},
      {"sheet reject",
       "Close a proposal without putting it in force",
       {"DIGEST"},
       WithPlatform(
           {{"actor", "NAME", "name of the person who rejects or withdraws it"},
            {"comment", "TEXT", "reason, recorded in the audit log"}}),
       Reject},
  };
}

}  // namespace cassiakeel::cli
