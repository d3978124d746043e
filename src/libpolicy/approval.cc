#include "cassiakeel/policy/approval.h"

#include <algorithm>

#include <fmt/format.h>

#include "cassiakeel/policy/sheet.h"
#include "json_fields.h"
#include "person.h"

namespace cassiakeel::policy {
namespace {

constexpr std::string_view kDomain = "cassiakeel-approval-v1\n";
constexpr std::size_t kMaxPersonLength = 64;
constexpr const char* kVerifyStep = "verify approval";

std::string SignedField(std::string_view name, std::string_view value) {
  return fmt::format("{}={}:{}\n", name, value.size(), value);
}

std::string LowerPerson(std::string_view name) {
  std::string lower(name);
  for (char& c : lower) {
    c = c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
  }
  return lower;
}

Result<void> CheckForm(const Approval& approval) {
  if (approval.version.Value() == 0 ||
      approval.previous.Value() != approval.version.Value() - 1) {
    return Fail(
        kVerifyStep,
        fmt::format("version {} does not follow version {}",
                    approval.version.Value(), approval.previous.Value()));
  }
  if (!IsPersonName(approval.approver) || !IsPersonName(approval.proposer)) {
    return Fail(kVerifyStep, "approver or proposer has no valid name");
  }
  if (pvt::SamePerson(approval.approver, approval.proposer)) {
    return Fail(kVerifyStep,
                fmt::format("{} approved their own proposal; approver and "
                            "proposer must differ",
                            approval.approver));
  }
  return {};
}

bool SignatureIsTrusted(const Approval& approval, const TrustedKeys& keys) {
  const std::string bytes = SignedBytes(approval);
  const auto [first, last] = keys.equal_range(approval.approver);
  return std::any_of(first, last, [&](const auto& entry) {
    return VerifySignature(entry.second, bytes, approval.signature);
  });
}

}  // namespace

namespace pvt {

bool SamePerson(std::string_view a, std::string_view b) {
  return LowerPerson(a) == LowerPerson(b);
}

}  // namespace pvt

bool IsPersonName(std::string_view name) {
  constexpr std::string_view kOther = "._@-";
  return !name.empty() && name.size() <= kMaxPersonLength &&
         std::all_of(name.begin(), name.end(), [&](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') ||
                  kOther.find(c) != std::string_view::npos;
         });
}

Result<TrustedKeys> ParseTrustedKey(std::string_view setting) {
  const auto equals = setting.find('=');
  const auto name = setting.substr(0, equals);
  if (equals == std::string_view::npos || !IsPersonName(name)) {
    return Fail("read approver key",
                fmt::format("\"{}\" is not accepted; accepted: NAME=HEX, the "
                            "approver's name and public key",
                            setting));
  }
  return PublicKey::FromHex(setting.substr(equals + 1))
      .map([&](const PublicKey& key) {
        return TrustedKeys{{std::string(name), key}};
      });
}

std::string SignedBytes(const Approval& approval) {
  std::string bytes(kDomain);
  bytes += SignedField("version", std::to_string(approval.version.Value()));
  bytes += SignedField("digest", approval.digest);
  bytes += SignedField("previous", std::to_string(approval.previous.Value()));
  bytes += SignedField("approver", approval.approver);
  bytes += SignedField("proposer", approval.proposer);
  bytes += SignedField("time_ms", std::to_string(approval.time_ms));
  bytes += SignedField("change_id", approval.change_id);
  return bytes;
}

void SignApproval(Approval& approval, const PrivateKey& key) {
  approval.signature = key.Sign(SignedBytes(approval));
}

Result<void> VerifyApproval(const Approval& approval,
                            const TrustedKeys& keys,
                            std::string_view sheet) {
  if (auto form = CheckForm(approval); !form) {
    return form;
  }
  if (!keys.contains(approval.approver)) {
    return Fail(kVerifyStep, fmt::format("no trusted key of approver {}",
                                         approval.approver));
  }
  if (!SignatureIsTrusted(approval, keys)) {
    return Fail(kVerifyStep,
                fmt::format("the signature of version {} is not {}'s",
                            approval.version.Value(), approval.approver));
  }
  const std::string digest = Sha256Hex(sheet);
  if (digest != approval.digest) {
    return Fail(kVerifyStep,
                fmt::format("the sheet has digest {}, approved was {}", digest,
                            approval.digest));
  }
  return {};
}

Result<Policy> AcceptPolicy(PolicyVersion current,
                            const Approval& head,
                            std::string_view sheet,
                            const TrustedKeys& keys) {
  if (head.version <= current) {
    return Fail("accept policy",
                fmt::format("version {} is not higher than {}, which is in "
                            "force",
                            head.version.Value(), current.Value()));
  }
  if (auto verified = VerifyApproval(head, keys, sheet); !verified) {
    return tl::make_unexpected(verified.error());
  }
  auto policy = ParseSheet(sheet);
  if (policy) {
    policy->version = head.version;
  }
  return policy;
}

std::string EncodeApproval(const Approval& approval) {
  return pvt::ApprovalToJson(approval).dump();
}

Result<Approval> DecodeApproval(std::string_view json) {
  return pvt::DecodeJson<Approval>("read approval", json,
                                   pvt::ApprovalFromJson);
}

namespace pvt {

PolicyVersion ReadVersion(const nlohmann::json& object, const char* field) {
  const auto& value = object.at(field);
  if (!value.is_number_unsigned()) {
    throw Exception(
        Error{"read JSON", {}, std::string(field) + " is not a whole number"});
  }
  return PolicyVersion(value.get<std::uint64_t>());
}

nlohmann::json ApprovalToJson(const Approval& approval) {
  return {
      {"version", approval.version.Value()},
      {"digest", approval.digest},
      {"previous_version", approval.previous.Value()},
      {"approver", approval.approver},
      {"proposer", approval.proposer},
      {"time_ms", approval.time_ms},
      {"change_id", approval.change_id},
      {"signature", approval.signature},
  };
}

Approval ApprovalFromJson(const nlohmann::json& object) {
  Approval approval;
  approval.version = ReadVersion(object, "version");
  approval.digest = object.at("digest").get<std::string>();
  approval.previous = ReadVersion(object, "previous_version");
  approval.approver = object.at("approver").get<std::string>();
  approval.proposer = object.at("proposer").get<std::string>();
  approval.time_ms = object.at("time_ms").get<std::int64_t>();
  approval.change_id = object.at("change_id").get<std::string>();
  approval.signature = object.at("signature").get<std::string>();
  if (!IsDigest(approval.digest)) {
    throw Exception(
        Error{"read JSON", {}, "the digest is not 64 lower-case hex digits"});
  }
  return approval;
}

}  // namespace pvt

}  // namespace cassiakeel::policy
