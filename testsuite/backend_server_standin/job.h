#pragma once

#include <asio.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cassiakeel/base/clock.h"
#include "http_client.h"
#include "http_server.h"

namespace cassiakeel::testsuite {

/// One request that a backend server has accepted.
struct Job {
  Job(asio::io_context& context, ServerRequest received, Responder responder);

  ServerRequest request;
  Responder respond;
  /// Trace id from `traceparent`.
  std::string request_id;
  std::string attempt;
  std::string key;
  /// Path without the service prefix.
  std::string path;
  /// From `Cassiakeel-Deadline-Ms`.
  std::optional<SteadyTime> deadline;
  /// From `Cassiakeel-Expires-Ns`.
  std::optional<SteadyTime> expires;
  /// Number of the run, 0 before it starts.
  std::uint64_t run = 0;
  asio::steady_timer timer;
  std::vector<HttpClient::CallId> calls;
  std::size_t pending_calls = 0;
  bool call_failed = false;
  /// Finished or cancelled.
  bool ended = false;
};

/// Fills the fields that come from path and headers. Removes the prefix
/// "/<service>" from the path if present.
void ParseContext(Job& job, const std::string& service, SteadyTime now);

/// Context headers that a server sends with its downstream calls, with the
/// remaining time as deadline.
HeaderList PropagatedHeaders(const Job& job, SteadyTime now);

}  // namespace cassiakeel::testsuite
