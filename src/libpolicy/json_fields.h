#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "cassiakeel/base/error.h"
#include "cassiakeel/policy/approval.h"

namespace cassiakeel::policy::pvt {

/// Reads a version field. nlohmann_json would convert negative numbers and
/// fractions silently, so they are refused. Throws `Exception`.
PolicyVersion ReadVersion(const nlohmann::json& object, const char* field);

/// The forms of `EncodeApproval` and `DecodeApproval` inside other records.
nlohmann::json ApprovalToJson(const Approval& approval);
/// Throws `Exception` or a JSON exception.
Approval ApprovalFromJson(const nlohmann::json& object);

/// Parses `text` and turns the exceptions of `read` into an error.
template <typename T, typename Read>
Result<T> DecodeJson(const char* step, std::string_view text, Read read) {
  try {
    return read(nlohmann::json::parse(text));
  } catch (const nlohmann::json::exception& error) {
    return Fail(step, error.what());
  } catch (const Exception& error) {
    return Fail(step, error.error().message);
  }
}

}  // namespace cassiakeel::policy::pvt
