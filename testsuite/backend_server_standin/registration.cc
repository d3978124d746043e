#include "registration.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace cassiakeel::testsuite {

namespace {

constexpr std::chrono::milliseconds kHeartbeatInterval(500);
/// Shorter than the interval, so that calls to an unresponsive node do not
/// accumulate.
constexpr std::chrono::milliseconds kHeartbeatTimeout(400);

}  // namespace

Registration::Registration(asio::io_context& context,
                           HttpClient& client,
                           const RegistrationOptions& options)
    : client(client), options(options), timer(context) {}

void Registration::Start() {
  if (this->stopped || this->options.node.empty()) {
    return;
  }
  this->Announce();
  this->timer.expires_after(kHeartbeatInterval);
  this->timer.async_wait([this](const asio::error_code& error) {
    if (!error) {
      this->Start();
    }
  });
}

void Registration::Announce() {
  const nlohmann::json body = {{"service", this->options.service},
                               {"address", this->options.listen},
                               {"slots", this->options.slots},
                               {"connections", this->options.connections}};
  this->client.Send({"PUT",
                     this->options.node,
                     "/cassiakeel/v1/announce",
                     {{"Content-Type", "application/json"}},
                     body.dump(),
                     kHeartbeatTimeout},
                    [](const ClientResponse&) {});
}

void Registration::Drain() {
  this->Post("/cassiakeel/v1/drain");
}

void Registration::Leave() {
  this->Post("/cassiakeel/v1/gone");
  this->stopped = true;
  this->timer.cancel();
}

void Registration::Post(const std::string& target) {
  if (!this->options.node.empty()) {
    this->client.Send(
        {"POST", this->options.node, target, {}, {}, kHeartbeatTimeout},
        [](const ClientResponse&) {});
  }
}

}  // namespace cassiakeel::testsuite
