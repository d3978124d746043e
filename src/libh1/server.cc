#include "cassiakeel/h1/server.h"

#include <asio/ip/tcp.hpp>
#include <set>

#include "buffer_budget.h"
#include "parser.h"
#include "socket_io.h"

namespace cassiakeel::h1 {
namespace {

using asio::ip::tcp;

// The server stops reading once it holds more bytes of pipelined requests than
// this; the rest stays in the socket buffer.
constexpr std::size_t kMaxReadAheadBytes = 64U << 10U;
// Delay before accepting again after an error, most often a lack of file
// descriptors.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
// During a shutdown, time since the last byte, or since the connection was
// accepted, in which the rest of a request or a first request may arrive. Many
// times the delay between the handshake of a client and its request.
constexpr std::chrono::milliseconds kShutdownReadWait{200};

class Connection;

// State shared by the server and its connections.
struct ServerState {
  std::shared_ptr<TimerQueue> timers;
  const ServerLimits& limits;
  ExchangeHandler handler;
  std::set<std::shared_ptr<Connection>> connections;
  std::size_t in_progress = 0;
  pvt::BufferBudget buffers;
  bool announce_close = false;
  bool stopped = false;
};

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(tcp::socket socket, std::shared_ptr<ServerState> shared)
      : socket(std::move(socket)),
        shared(std::move(shared)),
        parser(pvt::Parser::Kind::kRequest, this->shared->limits.message),
        buffered(this->shared->buffers),
        timeout(this->shared->timers),
        last_read(this->shared->timers->Now()) {}

  void Start() {
    pvt::SetUpSocket(this->socket, this->shared->limits.stall_timeout);
    this->SetTimeout(this->shared->limits.header_timeout);
    this->WaitForRead();
  }

  void Send(Response response, bool close) {
    if (this->closed) {
      return;
    }
    this->close_after_response = this->close_after_response || close ||
                                 !this->keep_alive ||
                                 this->shared->announce_close;
    this->Write(std::move(response));
  }

  bool busy() const { return this->active != nullptr || this->writing; }

  // Serves a request that has arrived completely and waits for one that is
  // about to arrive; otherwise closes the connection.
  void ServeOrClose() {
    asio::error_code error;
    if (!this->busy() && this->socket.available(error) > 0) {
      this->OnReadable();
    }
    if (this->busy() || this->closed) {
      return;
    }
    const auto wait_end = this->last_read + kShutdownReadWait;
    const auto now = this->shared->timers->Now();
    if (now < wait_end && (!this->has_served || this->parser.started())) {
      this->SetTimeout(
          std::chrono::ceil<std::chrono::milliseconds>(wait_end - now));
    } else {
      this->Close();
    }
  }

  void Close() {
    if (this->closed) {
      return;
    }
    this->closed = true;
    this->timeout.Cancel();
    this->buffered.Set(0);
    asio::error_code ignored;
    this->socket.close(ignored);
    this->EndExchange(true);
    this->shared->connections.erase(this->shared_from_this());
  }

 private:
  class ServedExchange;

  void WaitForRead() {
    if (this->waiting || this->closed) {
      return;
    }
    this->waiting = true;
    this->socket.async_wait(
        tcp::socket::wait_read,
        [self = this->shared_from_this()](asio::error_code ec) {
          self->waiting = false;
          if (ec) {
            self->Close();
          } else {
            self->OnReadable();
          }
        });
  }

  void OnReadable() {
    if (this->closed) {
      return;
    }
    asio::error_code error;
    const auto bytes = pvt::ReadAvailable(this->socket, error);
    if (error == asio::error::would_block) {
      this->WaitForRead();
      return;
    }
    if (error) {
      // The peer closed the connection and can't receive the response.
      this->Close();
      return;
    }
    this->last_read = this->shared->timers->Now();
    if (this->busy()) {
      this->read_ahead.append(bytes);
      if (this->read_ahead.size() <= kMaxReadAheadBytes) {
        this->WaitForRead();
      }
      return;
    }
    this->Consume(bytes);
  }

  void Consume(std::string_view bytes) {
    const bool first = !this->parser.started();
    std::size_t used = 0;
    const auto state = this->parser.Feed(bytes, used);
    if (state == pvt::ParseState::kFailed) {
      this->Reject(pvt::StatusForError(this->parser.error()));
      return;
    }
    if (state == pvt::ParseState::kComplete) {
      this->read_ahead.assign(bytes.substr(used));
      this->Serve();
      return;
    }
    this->buffered.Set(this->parser.buffered_bytes());
    if (!this->buffered.Fits(this->shared->limits.max_buffered_bytes)) {
      this->Reject(503);
      return;
    }
    if (this->parser.headers_complete()) {
      this->SetTimeout(this->shared->limits.stall_timeout);
      this->SendContinue();
    } else if (first) {
      this->SetTimeout(this->shared->limits.header_timeout);
    }
    this->WaitForRead();
  }

  void SendContinue() {
    if (this->continue_sent || !this->parser.expects_continue()) {
      return;
    }
    this->continue_sent = true;
    pvt::WriteAll(this->socket, "HTTP/1.1 100 Continue\r\n\r\n",
                  this->shared_from_this(), [](asio::error_code) {});
  }

  void Serve();

  void Reject(int status) {
    this->keep_alive = false;
    this->close_after_response = true;
    this->Write({status, {}, {}});
  }

  void Write(Response response) {
    std::string out;
    out.reserve(256 + response.body.size());
    out.append("HTTP/1.1 ")
        .append(std::to_string(response.status))
        .append(" ")
        .append(ReasonPhrase(response.status))
        .append("\r\n");
    pvt::AppendFields(out, response.headers);
    out.append("Content-Length: ")
        .append(std::to_string(response.body.size()))
        .append(this->close_after_response ? "\r\nConnection: close\r\n\r\n"
                                           : "\r\n\r\n");
    if (!this->head_request) {
      out.append(response.body);
    }
    this->writing = true;
    this->SetTimeout(this->shared->limits.stall_timeout);
    this->EndExchange(false);
    pvt::WriteAll(this->socket, std::move(out), this->shared_from_this(),
                  [this](asio::error_code ec) { this->OnWritten(ec); });
  }

  void OnWritten(asio::error_code ec) {
    this->writing = false;
    if (ec || this->close_after_response || this->shared->stopped) {
      this->ShutDownAndClose();
      return;
    }
    this->parser.Reset();
    this->continue_sent = false;
    this->SetTimeout(this->shared->limits.idle_timeout);
    if (this->read_ahead.empty()) {
      this->WaitForRead();
      return;
    }
    const std::string bytes = std::move(this->read_ahead);
    this->read_ahead.clear();
    this->Consume(bytes);
  }

  // If unread bytes remain at close, the kernel resets the connection and the
  // peer may lose the response. So this shuts down the sending side and reads
  // what has arrived before it closes the socket.
  void ShutDownAndClose() {
    asio::error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
    pvt::ReadAvailable(this->socket, ignored);
    this->Close();
  }

  void EndExchange(bool peer_closed);

  void SetTimeout(std::chrono::milliseconds after) {
    this->timeout.Set(this->shared->timers->Now() + after, [this] {
      const auto self = this->shared_from_this();
      self->OnTimeout();
    });
  }

  void OnTimeout() {
    if (this->active) {
      return;
    }
    if (!this->writing && this->parser.started()) {
      this->Reject(408);
      return;
    }
    this->Close();
  }

  tcp::socket socket;
  std::shared_ptr<ServerState> shared;
  pvt::Parser parser;
  pvt::BufferShare buffered;
  std::string read_ahead;
  std::shared_ptr<ServedExchange> active;
  Timer timeout;
  /// Time of the last read, at first the time of the accept.
  SteadyTime last_read;
  bool has_served = false;
  bool waiting = false;
  bool writing = false;
  bool closed = false;
  bool keep_alive = true;
  bool close_after_response = false;
  bool head_request = false;
  bool continue_sent = false;
};

class Connection::ServedExchange : public Exchange {
 public:
  ServedExchange(std::shared_ptr<Connection> connection,
                 Request request,
                 SteadyTime received)
      : connection(std::move(connection)),
        content(std::move(request)),
        received_at(received) {}

  Request& request() override { return this->content; }
  SteadyTime received() const override { return this->received_at; }

  void Respond(Response response, bool close) override {
    if (const auto target = std::exchange(this->connection, nullptr)) {
      this->peer_closed = nullptr;
      target->Send(std::move(response), close);
    }
  }

  void OnPeerClosed(std::function<void()> callback) override {
    this->peer_closed = std::move(callback);
  }

  void Detach(bool closed) {
    this->connection.reset();
    if (const auto callback = std::exchange(this->peer_closed, nullptr);
        callback && closed) {
      callback();
    }
  }

 private:
  std::shared_ptr<Connection> connection;
  Request content;
  SteadyTime received_at;
  std::function<void()> peer_closed;
};

void Connection::Serve() {
  this->has_served = true;
  this->buffered.Set(0);
  this->keep_alive = this->parser.keep_alive();
  this->head_request = this->parser.method == "HEAD";
  this->timeout.Cancel();
  Request request{
      std::move(this->parser.method), std::move(this->parser.target),
      std::move(this->parser.headers), std::move(this->parser.body)};
  this->active = std::make_shared<ServedExchange>(
      this->shared_from_this(), std::move(request),
      this->shared->timers->Now() - pvt::TimeSinceArrival(this->socket));
  ++this->shared->in_progress;
  // Detects a peer that closes the connection while its request is served.
  this->WaitForRead();
  const auto exchange = this->active;
  try {
    this->shared->handler(exchange);
  } catch (...) {
    exchange->Respond({500, {}, {}}, true);
    throw;
  }
}

void Connection::EndExchange(bool peer_closed) {
  if (const auto exchange = std::exchange(this->active, nullptr)) {
    --this->shared->in_progress;
    exchange->Detach(peer_closed);
  }
}

}  // namespace

class Server::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io_context, std::shared_ptr<ServerState> shared)
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

  const std::shared_ptr<ServerState>& state() const { return this->shared; }

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
      return;
    }
    auto connection =
        std::make_shared<Connection>(std::move(socket), this->shared);
    this->shared->connections.insert(connection);
    connection->Start();
  }

  tcp::acceptor acceptor;
  std::shared_ptr<ServerState> shared;
};

Result<std::unique_ptr<Server>> Server::Create(
    asio::io_context& io_context,
    std::shared_ptr<TimerQueue> timers,
    const PeerAddress& listen,
    const ServerLimits& limits,
    ExchangeHandler handler) {
  auto shared = std::make_shared<ServerState>(
      ServerState{std::move(timers), limits, std::move(handler), {}, 0, {}});
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
