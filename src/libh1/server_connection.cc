#include "server_connection.h"

#include <utility>

#include "socket_io.h"

namespace cassiakeel::h1::pvt {
namespace {

using asio::ip::tcp;

// The server stops reading once it holds more bytes of pipelined requests than
// this; the rest stays in the socket buffer.
constexpr std::size_t kMaxReadAheadBytes = 64U << 10U;
// During a shutdown, time since the last byte, or since the connection was
// accepted, in which the rest of a request or a first request may arrive. Many
// times the delay between the handshake of a client and its request.
constexpr std::chrono::milliseconds kShutdownReadWait{200};

}  // namespace

class ServerConnection::ServedExchange : public Exchange {
 public:
  ServedExchange(std::shared_ptr<ServerConnection> connection,
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
  std::shared_ptr<ServerConnection> connection;
  Request content;
  SteadyTime received_at;
  std::function<void()> peer_closed;
};

ServerConnection::ServerConnection(tcp::socket socket,
                                   std::shared_ptr<ServerState> shared)
    : socket(std::move(socket)),
      shared(std::move(shared)),
      parser(Parser::Kind::kRequest, this->shared->limits.message),
      buffered(this->shared->buffers),
      timeout(this->shared->timers),
      last_read(this->shared->timers->Now()) {}

void ServerConnection::Start() {
  SetUpSocket(this->socket, this->shared->limits.stall_timeout);
  this->SetTimeout(this->shared->limits.header_timeout);
  this->WaitForRead();
}

void ServerConnection::Send(Response response, bool close) {
  if (this->closed) {
    return;
  }
  this->close_after_response = this->close_after_response || close ||
                               !this->keep_alive ||
                               this->shared->announce_close;
  this->Write(std::move(response));
}

bool ServerConnection::busy() const {
  return this->active != nullptr || this->writing;
}

void ServerConnection::ServeOrClose() {
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

void ServerConnection::Close() {
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

void ServerConnection::WaitForRead() {
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

void ServerConnection::OnReadable() {
  if (this->closed) {
    return;
  }
  asio::error_code error;
  const auto bytes = ReadAvailable(this->socket, error);
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

void ServerConnection::Consume(std::string_view bytes) {
  const bool first = !this->parser.started();
  std::size_t used = 0;
  const auto state = this->parser.Feed(bytes, used);
  if (state == ParseState::kFailed) {
    this->Reject(StatusForError(this->parser.error()));
    return;
  }
  if (state == ParseState::kComplete) {
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

void ServerConnection::SendContinue() {
  if (this->continue_sent || !this->parser.expects_continue()) {
    return;
  }
  this->continue_sent = true;
  WriteAll(this->socket, "HTTP/1.1 100 Continue\r\n\r\n",
           this->shared_from_this(), [](asio::error_code) {});
}

void ServerConnection::Reject(int status) {
  this->keep_alive = false;
  this->close_after_response = true;
  this->Write({status, {}, {}});
}

void ServerConnection::Write(Response response) {
  std::string out;
  out.reserve(256 + response.body.size());
  out.append("HTTP/1.1 ")
      .append(std::to_string(response.status))
      .append(" ")
      .append(ReasonPhrase(response.status))
      .append("\r\n");
  AppendFields(out, response.headers);
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
  WriteAll(this->socket, std::move(out), this->shared_from_this(),
           [this](asio::error_code ec) { this->OnWritten(ec); });
}

void ServerConnection::OnWritten(asio::error_code ec) {
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

void ServerConnection::ShutDownAndClose() {
  asio::error_code ignored;
  this->socket.shutdown(tcp::socket::shutdown_send, ignored);
  ReadAvailable(this->socket, ignored);
  this->Close();
}

void ServerConnection::SetTimeout(std::chrono::milliseconds after) {
  this->timeout.Set(this->shared->timers->Now() + after, [this] {
    const auto self = this->shared_from_this();
    self->OnTimeout();
  });
}

void ServerConnection::OnTimeout() {
  if (this->active) {
    return;
  }
  if (!this->writing && this->parser.started()) {
    this->Reject(408);
    return;
  }
  this->Close();
}

void ServerConnection::Serve() {
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
      this->shared->timers->Now() - TimeSinceArrival(this->socket));
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

void ServerConnection::EndExchange(bool peer_closed) {
  if (const auto exchange = std::exchange(this->active, nullptr)) {
    --this->shared->in_progress;
    exchange->Detach(peer_closed);
  }
}

}  // namespace cassiakeel::h1::pvt
