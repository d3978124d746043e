#include "output.h"

#include <algorithm>
#include <fstream>

#include <fmt/format.h>

namespace cassiakeel::cli {

std::string Printable(std::string_view text) {
  std::string result(text);
  std::replace_if(
      result.begin(), result.end(),
      [](unsigned char c) { return (c < 0x20 && c != '\n') || c == 0x7F; },
      '?');
  return result;
}

void PrintTable(const std::vector<std::vector<std::string>>& rows,
                std::ostream& out) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += fmt::format("{:<{}}  ", Printable(row[i]), widths[i]);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << '\n';
  }
}

std::string ToJsonLine(const nlohmann::json& object) {
  return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

nlohmann::json ToJson(const policy::Approval& approval) {
  return nlohmann::json::parse(policy::EncodeApproval(approval));
}

nlohmann::json ToJson(const policy::Proposal& proposal) {
  return nlohmann::json::parse(policy::EncodeProposal(proposal));
}

nlohmann::json ToJson(const policy::AuditRecord& record) {
  return nlohmann::json::parse(policy::EncodeAudit(record));
}

nlohmann::json ToJson(const policy::SheetReport& report) {
  auto faults = nlohmann::json::array();
  for (const auto& fault : report.faults) {
    faults.push_back({{"row", fault.row},
                      {"column", fault.column},
                      {"value", fault.value},
                      {"accepted", fault.accepted}});
  }
  auto warnings = nlohmann::json::array();
  for (const auto& warning : report.warnings) {
    warnings.push_back({{"row", warning.row},
                        {"column", warning.column},
                        {"message", warning.message}});
  }
  return {{"ok", report.ok()},
          {"digest", report.policy.digest},
          {"faults", faults},
          {"warnings", warnings}};
}

void PrintReport(const policy::SheetReport& report, std::ostream& out) {
  for (const auto& fault : report.faults) {
    out << "fault: " << Printable(fault.ToString()) << '\n';
  }
  for (const auto& warning : report.warnings) {
    out << "warning: " << Printable(warning.ToString()) << '\n';
  }
}

int ReportConflict(const policy::Conflict& conflict,
                   const Arguments& arguments,
                   Context& context) {
  if (arguments.Has("json")) {
    nlohmann::json object = {{"applied", false}, {"message", conflict.message}};
    if (conflict.head) {
      object["in_force"] = ToJson(*conflict.head);
    }
    context.out << ToJsonLine(object);
  } else {
    context.out << "Nothing was changed: " << Printable(conflict.message)
                << '\n';
  }
  return kConflict;
}

std::string ReadFile(const std::string& name, std::size_t limit) {
  std::ifstream file(name, std::ios::binary);
  std::string bytes(limit + 1, '\0');
  file.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  bytes.resize(static_cast<std::size_t>(file.gcount()));
  if (!file.eof() && !file.good()) {
    throw Exception(
        Error{"read file", {}, fmt::format("{} cannot be read", name)});
  }
  if (bytes.size() > limit) {
    throw Exception(Error{
        "read file",
        {},
        fmt::format("{} is larger than the allowed {} bytes", name, limit)});
  }
  return bytes;
}

std::string DigestArgument(const Arguments& arguments) {
  std::string digest = arguments.Text("DIGEST");
  if (!policy::IsDigest(digest)) {
    throw UsageError(
        fmt::format("DIGEST: invalid value \"{}\"; expected "
                    "64 lower-case hex digits",
                    digest));
  }
  return digest;
}

policy::Workspace ToWorkspace(const PlatformHandle& platform,
                              Context& context) {
  return {*platform.table, *platform.objects, context.clock, context.rng,
          context.sleep};
}

}  // namespace cassiakeel::cli
