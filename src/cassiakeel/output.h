#pragma once

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "cassiakeel/policy/sheet.h"
#include "cassiakeel/policy/workflow.h"
#include "command.h"

namespace cassiakeel::cli {

/// Replaces control characters other than line feeds by "?". Table rows and
/// node responses are untrusted input, and a terminal would execute escape
/// sequences in them.
std::string Printable(std::string_view text);

/// Prints rows with aligned columns; the first row is the header.
void PrintTable(const std::vector<std::vector<std::string>>& rows,
                std::ostream& out);

/// Serializes `object` on one line; bytes that are not UTF-8 are replaced.
std::string ToJsonLine(const nlohmann::json& object);

nlohmann::json ToJson(const policy::Approval& approval);
nlohmann::json ToJson(const policy::Proposal& proposal);
nlohmann::json ToJson(const policy::AuditRecord& record);
nlohmann::json ToJson(const policy::SheetReport& report);

/// Prints the faults and warnings of a sheet.
void PrintReport(const policy::SheetReport& report, std::ostream& out);

/// Reports a change that was not made because of a conflict, for instance with
/// the change of another operator; returns the exit code.
int ReportConflict(const policy::Conflict& conflict,
                   const Arguments& arguments,
                   Context& context);

/// Returns the value, or throws the error as `Exception`.
template <typename T>
T OrThrow(Result<T> result) {
  if (!result) {
    throw Exception(result.error());
  }
  return std::move(*result);
}

/// Returns the contents of a file of at most `limit` bytes. Throws `Exception`.
std::string ReadFile(const std::string& name, std::size_t limit);

/// Returns the argument DIGEST. Throws `UsageError` if it is not 64 lower-case
/// hex digits.
std::string DigestArgument(const Arguments& arguments);

/// Returns the dependencies of the policy workflow functions. `platform` and
/// `context` must outlive the result.
policy::Workspace ToWorkspace(const PlatformHandle& platform, Context& context);

}  // namespace cassiakeel::cli
