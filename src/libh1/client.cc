#include "cassiakeel/h1/client.h"

#include <algorithm>
#include <utility>

#include "client_connection.h"
#include "socket_io.h"

namespace cassiakeel::h1 {

bool IsPeerAddress(const PeerAddress& peer) {
  const auto endpoint = pvt::ParseEndpoint(peer);
  return endpoint && endpoint->port() != 0;
}

class Client::Impl {
 public:
  Impl(asio::io_context& io_context,
       std::shared_ptr<TimerQueue> timers,
       const ClientOptions& options)
      : client_state(std::make_shared<pvt::ClientState>(io_context,
                                                        std::move(timers),
                                                        options)) {}

  ~Impl() {
    for (const auto& [id, connection] :
         std::exchange(this->client_state->running, {})) {
      connection->Abort();
    }
    for (const auto& [peer, connections] :
         std::exchange(this->client_state->idle_connections, {})) {
      for (const auto& connection : connections) {
        connection->Close();
      }
    }
  }

  std::shared_ptr<pvt::ClientConnection> TakeConnection(const Fetch& fetch) {
    auto idle = this->FindIdleConnection(fetch);
    if (idle && !idle->HasStrayBytes()) {
      this->client_state->RemoveIdle(idle, fetch.peer);
      return idle;
    }
    if (idle) {
      idle->Close();
    }
    return std::make_shared<pvt::ClientConnection>(this->client_state,
                                                   fetch.peer);
  }

  // The connection released last among those that may carry `fetch`.
  std::shared_ptr<pvt::ClientConnection> FindIdleConnection(
      const Fetch& fetch) const {
    const auto now = this->client_state->timers->Now();
    const auto found = this->client_state->idle_connections.find(fetch.peer);
    if (found == this->client_state->idle_connections.end()) {
      return nullptr;
    }
    const auto& connections = found->second;
    const auto usable = std::find_if(
        connections.rbegin(), connections.rend(),
        [&](const auto& connection) { return connection->Usable(now, fetch); });
    return usable == connections.rend() ? nullptr : *usable;
  }

  std::shared_ptr<pvt::ClientState> client_state;
};

std::unique_ptr<Client> Client::Create(asio::io_context& io_context,
                                       std::shared_ptr<TimerQueue> timers,
                                       const ClientOptions& options) {
  return std::unique_ptr<Client>(new Client(
      std::make_shared<Impl>(io_context, std::move(timers), options)));
}

Client::Client(std::shared_ptr<Impl> impl) : impl(std::move(impl)) {}

Client::~Client() = default;

FetchId Client::Start(Fetch fetch, FetchHandler handler) {
  const auto id = this->impl->client_state->next_id++;
  const auto connection = this->impl->TakeConnection(fetch);
  this->impl->client_state->running.emplace(id, connection);
  connection->Run(id, std::move(fetch), std::move(handler));
  return id;
}

void Client::Cancel(FetchId id) {
  const auto found = this->impl->client_state->running.find(id);
  if (found == this->impl->client_state->running.end()) {
    return;
  }
  const auto connection = found->second;
  this->impl->client_state->running.erase(found);
  connection->Abort();
}

void Client::CloseIdleConnections(const PeerAddress& peer) {
  const auto found = this->impl->client_state->idle_connections.find(peer);
  if (found == this->impl->client_state->idle_connections.end()) {
    return;
  }
  const auto connections = std::move(found->second);
  this->impl->client_state->idle_connections.erase(found);
  for (const auto& connection : connections) {
    connection->Close();
  }
}

std::uint64_t Client::connections_opened() const {
  return this->impl->client_state->opened_count;
}

std::size_t Client::buffered_bytes() const {
  return this->impl->client_state->buffers.used();
}

}  // namespace cassiakeel::h1
