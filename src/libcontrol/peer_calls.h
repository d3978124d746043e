#pragma once

#include <kj/async-io.h>
#include <kj/timer.h>

#include <string>

#include "cassiakeel/control/control_thread.h"
#include "policy_sync.h"
#include "registration.h"

namespace cassiakeel::control::pvt {

/// State of the client side of control calls. Each call opens its own
/// connection: calls are rare, and an idle connection may have failed without
/// notice. The promises fail with a kj::Exception on errors and after
/// `timeout`.
struct PeerCaller {
  kj::Network& network;
  kj::Timer& timer;
  ControlStats& stats;
  std::chrono::milliseconds timeout;
};

/// Fetches a policy with a higher version than `base`. The peer may send only
/// the part of the sheet that differs from that of `base`, unless `full_sheet`
/// is set. The version of the result is 0 if the peer has no newer policy.
kj::Promise<PolicyDocument> FetchPolicy(PeerCaller& caller,
                                        const PeerAddress& peer,
                                        const PolicyDocument& base,
                                        bool full_sheet);
kj::Promise<std::vector<membership::Member>> FetchMembers(
    PeerCaller& caller,
    const PeerAddress& peer);
kj::Promise<LeaseGrant> CallGrantLease(PeerCaller& caller,
                                       const PeerAddress& peer,
                                       const LeaseRequest& request);
kj::Promise<Outcome> CallAttemptState(PeerCaller& caller,
                                      const PeerAddress& peer,
                                      const AttemptId& attempt);

}  // namespace cassiakeel::control::pvt
