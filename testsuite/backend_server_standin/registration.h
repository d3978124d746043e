#pragma once

#include <asio.hpp>
#include <string>

#include "http_client.h"

namespace cassiakeel::testsuite {

struct RegistrationOptions {
  /// "IP:port" that the server listens on.
  std::string listen;
  std::string service;
  /// "IP:port" of the node's local port; empty if the server does not register.
  std::string node;
  int slots = 8;
  int connections = 64;
};

/// Announces a backend server to its node every 500 ms and notifies the node
/// when the server drains or leaves. Heartbeats continue while the server
/// drains, because it still completes the requests in flight.
class Registration {
 public:
  Registration(asio::io_context& context,
               HttpClient& client,
               const RegistrationOptions& options);

  void Start();
  void Drain();
  /// Notifies the node that the server has left and stops the heartbeats.
  void Leave();

 private:
  void Announce();
  void Post(const std::string& target);

  HttpClient& client;
  RegistrationOptions options;
  asio::steady_timer timer;
  bool stopped = false;
};

}  // namespace cassiakeel::testsuite
