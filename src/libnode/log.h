#pragma once

#include <string>

#include "cassiakeel/base/error.h"
#include "cassiakeel/base/strong.h"

namespace cassiakeel::node {

/// Logs an error as a warning, with its step and peer.
void LogError(const Error& error);
/// Logs an event of the node itself at level info.
void LogInfo(const std::string& step, const std::string& message);
/// Logs the failure of one request at level debug.
void LogRequest(const RequestId& request,
                const std::string& step,
                const PeerAddress& peer,
                const std::string& message);

}  // namespace cassiakeel::node
