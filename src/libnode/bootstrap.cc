#include "bootstrap.h"

#include <fstream>
#include <sstream>

#include "cassiakeel/policy/sheet.h"

namespace cassiakeel::node {

platform::Table& Platform::table() {
  return this->remote ? this->remote->table() : this->local->table();
}

platform::ObjectStore& Platform::objects() {
  return this->remote ? this->remote->objects() : this->local->objects();
}

Result<Platform> MakePlatform(const NodeSettings& settings) {
  Platform created;
  if (!settings.platform) {
    created.local = std::make_unique<platform::MemoryPlatform>();
    return created;
  }
  platform::HttpPlatformOptions options;
  options.address = *settings.platform;
  options.timeout = settings.platform_timeout;
  auto remote = platform::HttpPlatform::Create(options);
  if (!remote) {
    return tl::make_unexpected(remote.error());
  }
  created.remote = *std::move(remote);
  return created;
}

Result<policy::TrustedKeys> ParseApproverKeys(const NodeSettings& settings) {
  policy::TrustedKeys keys;
  for (const auto& [name, hex] : settings.approver_keys) {
    const auto key = policy::PublicKey::FromHex(hex);
    if (!key) {
      return tl::make_unexpected(key.error());
    }
    keys.emplace(name, *key);
  }
  return keys;
}

Result<void> InstallLocalPolicy(const std::string& file,
                                const Clock& clock,
                                Platform& platform,
                                policy::TrustedKeys& keys) {
  std::ifstream stream(file, std::ios::binary);
  std::ostringstream bytes;
  bytes << stream.rdbuf();
  if (!stream) {
    return Fail("read policy file", "\"" + file + "\" cannot be read");
  }
  const auto sheet = policy::ParseSheet(bytes.str());
  if (!sheet) {
    return tl::make_unexpected(sheet.error());
  }
  const auto key = policy::PrivateKey::Generate();
  keys.emplace("local-approver", key.Public());
  policy::Approval approval;
  approval.version = PolicyVersion(1);
  approval.digest = policy::Sha256Hex(bytes.str());
  approval.approver = "local-approver";
  approval.proposer = "local-proposer";
  approval.time_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                         clock.WallNow().time_since_epoch())
                         .count();
  approval.change_id = "local";
  policy::SignApproval(approval, key);
  platform.objects().Put("sheets/" + approval.digest, bytes.str());
  platform.table().Transact(
      {{"policy/head", policy::EncodeApproval(approval), std::nullopt}});
  return {};
}

control::PolicyCheck MakePolicyCheck(policy::TrustedKeys keys) {
  return
      [keys = std::move(keys)](PolicyVersion current, const std::string& head,
                               const std::string& sheet)
          -> Result<std::shared_ptr<const policy::Policy>> {
        const auto approval = policy::DecodeApproval(head);
        if (!approval) {
          return tl::make_unexpected(approval.error());
        }
        auto accepted = policy::AcceptPolicy(current, *approval, sheet, keys);
        if (!accepted) {
          return tl::make_unexpected(accepted.error());
        }
        return std::make_shared<const policy::Policy>(*std::move(accepted));
      };
}

}  // namespace cassiakeel::node
