#pragma once

#include <asio.hpp>
#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "http_client.h"
#include "http_server.h"

namespace cassiakeel::testsuite {

struct ProxyOptions {
  std::string listen;
  /// Addresses of the backend servers ("IP:port") by service.
  std::map<std::string, std::vector<std::string>> endpoints;
  /// Timeout of each try.
  std::chrono::milliseconds timeout{2000};
  /// Maximum number of tries of a call.
  int tries = 3;
  /// Maximum number of connections to one endpoint, 0 for no bound; further
  /// calls wait in FIFO order.
  int connections = 0;
};

/// Baseline that cassiakeel is compared with: plain forwarding with round robin
/// and a fixed number of tries per hop, without admission control, deadlines or
/// a retry budget.
class Proxy {
 public:
  static Result<std::unique_ptr<Proxy>> Create(asio::io_context& context,
                                               const ProxyOptions& options);

 private:
  struct Forward;
  using ForwardPtr = std::shared_ptr<Forward>;

  Proxy(asio::io_context& context, const ProxyOptions& options);
  void Handle(ServerRequest request, const Responder& respond);
  void StartTry(const ForwardPtr& forward);
  void OnAnswer(const ForwardPtr& forward, const ClientResponse& response);
  void OnConnectionClosed(std::uint64_t connection);
  void RemoveForward(const ForwardPtr& forward);

  ProxyOptions options;
  HttpClient client;
  std::map<std::string, std::size_t> next_endpoint;
  std::unordered_multimap<std::uint64_t, ForwardPtr> open_forwards;
  std::unique_ptr<HttpServer> server;
};

}  // namespace cassiakeel::testsuite
