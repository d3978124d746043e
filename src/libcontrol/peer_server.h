#pragma once

#include <kj/async-io.h>
#include <kj/timer.h>

#include <functional>
#include <string>

#include "cassiakeel/control/control_thread.h"
#include "policy_sync.h"
#include "registration.h"

namespace cassiakeel::control::pvt {

/// Callbacks of the server of control calls. All of them run on the control
/// thread.
struct PeerHandlers {
  /// Policy in force as it was fetched; version 0 if there is none.
  std::function<const PolicyDocument&()> policy;
  /// Difference between its sheet and that of the previous version.
  std::function<SheetDelta()> sheet_delta;
  std::function<std::string()> packed_members;
  LeaseGrantHandler grant_lease;
  AttemptStateHandler attempt_state;
};

/// Serves the interface `Peer` on connections of `listener` until the promise
/// is destroyed. The number and the duration of connections are limited, so
/// that idle peers cannot exhaust file descriptors.
kj::Promise<void> ServePeers(kj::Own<kj::ConnectionReceiver> listener,
                             PeerHandlers handlers,
                             kj::Timer& timer,
                             ControlStats& stats);

}  // namespace cassiakeel::control::pvt
