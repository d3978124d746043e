#pragma once

#include <kj/async-io.h>

#include "cassiakeel/base/strong.h"

namespace cassiakeel::control::pvt {

/// Converts "IP:port" to a KJ address. Throws kj::Exception if the address is
/// not numeric, so that no name lookup takes place.
kj::Own<kj::NetworkAddress> ToNetworkAddress(kj::Network& network,
                                             const PeerAddress& address);

/// Binds a UDP socket to `address` for exclusive use. The function of KJ is not
/// used because it sets SO_REUSEADDR, which lets two processes bind the same
/// port and lets the kernel assign one free port twice.
kj::Own<kj::DatagramPort> BindDatagramPort(kj::LowLevelAsyncIoProvider& io,
                                           const PeerAddress& address);

}  // namespace cassiakeel::control::pvt
