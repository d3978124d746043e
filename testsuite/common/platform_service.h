#pragma once

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "cassiakeel/platform/memory_platform.h"
#include "http_server.h"

namespace cassiakeel::testsuite {

/// The rate limits apply to the table service and the object store together.
struct PlatformServiceOptions {
  /// "IP:port" to listen on.
  std::string listen;
  double writes_per_second = 400;
  double reads_per_second = 2000;
};

/// Token bucket whose capacity is a tenth of a second of its rate, at least one
/// token, so that short bursts pass.
class TokenBucket {
 public:
  explicit TokenBucket(double per_second);
  bool TryTake(std::chrono::steady_clock::time_point now);

 private:
  double per_second;
  double tokens;
  std::chrono::steady_clock::time_point last_refill;
};

/// Test double of the platform: table service and object store over HTTP, with
/// rate limits and with faults that `POST /control` injects. Runs on the thread
/// of `context`.
class PlatformService {
 public:
  static Result<std::unique_ptr<PlatformService>> Create(
      asio::io_context& context,
      const PlatformServiceOptions& options);

 private:
  PlatformService(asio::io_context& context,
                  const PlatformServiceOptions& options);

  void Handle(const ServerRequest& request, const Responder& respond);
  void HandleData(const ServerRequest& request, const Responder& respond);
  ServerResponse ApplyControl(const std::string& body);
  ServerResponse Stats() const;
  /// Answers now, or after the delay set by `POST /control`.
  void RespondLater(const Responder& respond, ServerResponse response);

  asio::io_context& context;
  platform::MemoryPlatform platform;
  TokenBucket write_limit;
  TokenBucket read_limit;
  std::chrono::steady_clock::time_point started;
  bool unavailable = false;
  std::chrono::milliseconds response_delay{0};
  int write_answers_to_lose = 0;
  /// No answer is sent before this time.
  std::chrono::steady_clock::time_point paused_until;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t refused = 0;
  /// Responders of lost answers, kept so that their connections stay open.
  std::vector<Responder> lost_responders;
  std::unique_ptr<HttpServer> server;
};

}  // namespace cassiakeel::testsuite
