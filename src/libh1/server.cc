#include "cassiakeel/h1/server.h"

#include <asio/ip/tcp.hpp>

#include "server_connection.h"
#include "socket_io.h"

namespace cassiakeel::h1 {
namespace {

using asio::ip::tcp;

// Delay before accepting again after an error, most often a lack of file
// descriptors.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

}  // namespace

class Server::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io_context, std::shared_ptr<pvt::ServerState> shared)
      : acceptor(io_context), shared(std::move(shared)) {}

  Result<bool> Listen(const PeerAddress& address) {
    const auto endpoint = pvt::ParseEndpoint(address);
    if (!endpoint) {
      return tl::unexpected(endpoint.error());
    }
    asio::error_code error;
    this->acceptor.open(endpoint->protocol(), error);
    if (!error) {
      this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
      this->acceptor.bind(*endpoint, error);
    }
    if (!error) {
      this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (!error) {
      this->acceptor.non_blocking(true, error);
    }
    if (error) {
      return Fail("listen", error.message(), address);
    }
    this->Accept();
    return true;
  }

  // Accepts all pending connections first, because the kernel resets them when
  // the listening socket is closed.
  void StopAccepting() {
    asio::error_code error;
    while (this->acceptor.is_open()) {
      tcp::socket socket(this->acceptor.get_executor());
      this->acceptor.accept(socket, error);
      if (error) {
        break;
      }
      this->AddConnection(std::move(socket));
    }
    this->acceptor.close(error);
  }

  void Shutdown() {
    this->shared->stopped = true;
    this->StopAccepting();
    const auto all = this->shared->connections;
    for (const auto& connection : all) {
      connection->ServeOrClose();
    }
  }

  void CloseAll() {
    this->shared->stopped = true;
    asio::error_code ignored;
    this->acceptor.close(ignored);
    const auto all = this->shared->connections;
    for (const auto& connection : all) {
      connection->Close();
    }
  }

  const std::shared_ptr<pvt::ServerState>& state() const {
    return this->shared;
  }

 private:
  void Accept() {
    this->acceptor.async_accept([weak = this->weak_from_this()](
                                    asio::error_code ec, tcp::socket socket) {
      const auto self = weak.lock();
      if (!self || !self->acceptor.is_open()) {
        return;
      }
      if (ec) {
        // Most often the process has too many open file descriptors. The delay
        // lets some connections end.
        self->shared->timers->Add(
            self->shared->timers->Now() + kAcceptRetryDelay, [weak] {
              const auto again = weak.lock();
              if (again && again->acceptor.is_open()) {
                again->Accept();
              }
            });
        return;
      }
      self->AddConnection(std::move(socket));
      self->Accept();
    });
  }

  void AddConnection(tcp::socket socket) {
    if (this->shared->connections.size() >=
        this->shared->limits.max_connections) {
      this->shared->memory->Report(
          {ServerLimit::kConnections, this->shared->listen, 0});
      return;
    }
    auto connection = std::make_shared<pvt::ServerConnection>(std::move(socket),
                                                              this->shared);
    this->shared->connections.insert(connection);
    connection->Start();
  }

  tcp::acceptor acceptor;
  std::shared_ptr<pvt::ServerState> shared;
};

Result<std::unique_ptr<Server>> Server::Create(
    asio::io_context& io_context,
    std::shared_ptr<TimerQueue> timers,
    const PeerAddress& listen,
    const ServerLimits& limits,
    ExchangeHandler handler,
    std::shared_ptr<ServerMemory> memory) {
  if (!memory) {
    memory = ServerMemory::Create(kDefaultServerMemory);
  }
  auto shared = std::make_shared<pvt::ServerState>(
      pvt::ServerState{std::move(timers), limits, std::move(handler),
                       memory->account(), listen});
  auto impl = std::make_shared<Impl>(io_context, std::move(shared));
  if (const auto listening = impl->Listen(listen); !listening) {
    return tl::unexpected(listening.error());
  }
  return std::unique_ptr<Server>(new Server(std::move(impl)));
}

Server::Server(std::shared_ptr<Impl> impl) : impl(std::move(impl)) {}

Server::~Server() {
  this->impl->CloseAll();
}

void Server::AnnounceClose() {
  this->impl->state()->announce_close = true;
}

void Server::StopAccepting() {
  this->impl->StopAccepting();
}

void Server::Shutdown() {
  this->impl->Shutdown();
}

std::size_t Server::OpenConnections() const {
  return this->impl->state()->connections.size();
}

std::size_t Server::InProgress() const {
  return this->impl->state()->in_progress;
}

}  // namespace cassiakeel::h1
