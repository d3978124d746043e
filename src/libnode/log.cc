#include "log.h"

#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

namespace cassiakeel::node {
namespace {

log4cxx::LoggerPtr NodeLogger() {
  static const log4cxx::LoggerPtr kLogger =
      log4cxx::Logger::getLogger("cassiakeel.node");
  return kLogger;
}

}  // namespace

void LogError(const Error& error) {
  const log4cxx::MDC step("step", error.step);
  const log4cxx::MDC peer("peer", error.peer.Value());
  LOG4CXX_WARN(NodeLogger(), error.message);
}

void LogInfo(const std::string& step, const std::string& message) {
  const log4cxx::MDC context("step", step);
  LOG4CXX_INFO(NodeLogger(), message);
}

void LogRequest(const RequestId& request,
                const std::string& step,
                const PeerAddress& peer,
                const std::string& message) {
  if (!NodeLogger()->isDebugEnabled()) {
    return;
  }
  const log4cxx::MDC id("request", request.Value());
  const log4cxx::MDC step_context("step", step);
  const log4cxx::MDC peer_context("peer", peer.Value());
  LOG4CXX_DEBUG(NodeLogger(), message);
}

}  // namespace cassiakeel::node
