#pragma once

#include <memory>
#include <string>

#include "cassiakeel/base/clock.h"
#include "cassiakeel/control/control_thread.h"
#include "cassiakeel/node/settings.h"
#include "cassiakeel/platform/http_platform.h"
#include "cassiakeel/platform/memory_platform.h"
#include "cassiakeel/policy/approval.h"

namespace cassiakeel::node {

/// Table and object store, either those of the deployment (`remote`) or
/// in-memory ones within this process (`local`). Exactly one is set.
struct Platform {
  std::unique_ptr<platform::HttpPlatform> remote;
  std::unique_ptr<platform::MemoryPlatform> local;

  platform::Table& table();
  platform::ObjectStore& objects();
};

/// Connects to the platform given in the settings, or creates an in-memory one.
Result<Platform> MakePlatform(const NodeSettings& settings);

/// Parses the public keys of the approvers.
Result<policy::TrustedKeys> ParseApproverKeys(const NodeSettings& settings);

/// Reads a policy sheet from `file` and stores it in the in-memory platform,
/// approved with a key generated for this process, so that demos use the same
/// code path as an approved policy. Adds that key to `keys`.
Result<void> InstallLocalPolicy(const std::string& file,
                                const Clock& clock,
                                Platform& platform,
                                policy::TrustedKeys& keys);

/// Returns the check that a fetched policy must pass before it takes effect.
control::PolicyCheck MakePolicyCheck(policy::TrustedKeys keys);

}  // namespace cassiakeel::node
