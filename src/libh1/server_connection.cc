#include "server_connection.h"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

namespace cassiakeel::h1::pvt {
namespace {

using asio::ip::tcp;

// Bytes read at a time before the body of a request: a header of usual size.
// Pipelined requests behind it are held, so this bounds them.
constexpr std::size_t kHeadReadBytes = 16U << 10U;
// Retry-After of a request that did not fit into the memory, in seconds; most
// transfers end within this time.
constexpr const char* kMemoryRetryAfter = "1";
// During a shutdown, time since the last byte, or since the connection was
// accepted, in which the rest of a request or a first request may arrive. Many
// times the delay between the handshake of a client and its request.
constexpr std::chrono::milliseconds kShutdownReadWait{200};

}  // namespace

class ServerConnection::ServedExchange : public Exchange {
 public:
  ServedExchange(std::shared_ptr<ServerConnection> connection,
                 Request request,
                 std::shared_ptr<void> charge,
                 SteadyTime received)
      : connection(std::move(connection)),
        charge(std::move(charge)),
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
    // Returned here, on the server's thread, whoever holds the exchange.
    this->charge.reset();
    this->content.body = {};
    if (const auto callback = std::exchange(this->peer_closed, nullptr);
        callback && closed) {
      callback();
    }
  }

 private:
  std::shared_ptr<ServerConnection> connection;
  std::shared_ptr<void> charge;
  Request content;
  SteadyTime received_at;
  std::function<void()> peer_closed;
};

ServerConnection::ServerConnection(tcp::socket socket,
                                   std::shared_ptr<ServerState> shared)
    : socket(std::move(socket)),
      shared(std::move(shared)),
      parser(Parser::Kind::kRequest, this->shared->limits.message),
      held(this->shared->memory),
      timeout(this->shared->timers),
      last_read(this->shared->timers->Now()),
      last_progress(this->last_read) {
  this->shared->memory->Add(this);
}

ServerConnection::~ServerConnection() {
  this->shared->memory->Remove(this);
}

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
  return this->active != nullptr || this->writing || !this->read_ahead.empty();
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
  // The memory is free at once, not when the last handler has run.
  this->parser.Reset();
  std::string().swap(this->read_ahead);
  this->outgoing = {};
  this->UpdateCharge();
  asio::error_code ignored;
  this->socket.close(ignored);
  this->EndExchange(true);
  this->shared->connections.erase(this->shared_from_this());
}

ConnectionUse ServerConnection::Use() const {
  auto holding = Holding::kRequest;
  if (this->active) {
    holding = Holding::kServed;
  } else if (this->writing) {
    holding = Holding::kResponse;
  }
  return {holding, this->held.bytes(), this->last_progress};
}

void ServerConnection::CloseForMemory(ServerLimit limit) {
  this->shared->memory->Report(
      {limit, this->shared->listen, this->held.bytes()});
  // Resets the connection, so that the kernel drops what it holds as well and
  // the peer sees the response as broken off.
  asio::error_code ignored;
  this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  this->Close();
}

void ServerConnection::RecordProgress(std::size_t bytes) {
  this->moved_bytes += bytes;
  if (this->moved_bytes >= kProgressBytes) {
    this->moved_bytes = 0;
    this->last_progress = this->shared->timers->Now();
  }
}

void ServerConnection::UpdateCharge() {
  this->held.Set(this->parser.buffered_bytes() + this->read_ahead.size() +
                 this->outgoing.size());
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
  std::size_t max_bytes =
      this->parser.headers_complete() ? kReadBufferBytes : kHeadReadBytes;
  if (this->busy()) {
    max_bytes = kMaxReadAheadBytes;
  }
  const auto bytes = ReadAvailable(this->socket, error, max_bytes);
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
    this->UpdateCharge();
    if (ShouldReadAhead(this->read_ahead.size())) {
      this->WaitForRead();
    }
    return;
  }
  this->RecordProgress(bytes.size());
  this->Consume(bytes);
}

void ServerConnection::Consume(std::string_view bytes) {
  const bool first = !this->parser.started();
  if (first) {
    this->last_progress = this->shared->timers->Now();
  }
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
  this->UpdateCharge();
  if (!this->FitsMemory() && !this->closed) {
    this->shared->memory->Report({ServerLimit::kRequestMemory,
                                  this->shared->listen, this->held.bytes()});
    this->Reject(503);
    return;
  }
  if (this->closed) {
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
  WriteAll(this->socket, {"HTTP/1.1 100 Continue\r\n\r\n", {}},
           this->shared_from_this(), [](asio::error_code) {});
}

bool ServerConnection::FitsMemory() {
  // A body of known length is refused before it is read.
  const auto size =
      std::max(this->held.bytes(), this->parser.declared_body_bytes());
  return this->shared->memory->MakeRoomForRequest(this->held.bytes(), size,
                                                  this->shared->timers->Now());
}

void ServerConnection::Reject(int status) {
  this->keep_alive = false;
  this->close_after_response = true;
  this->parser.Reset();
  Response response{status, {}, {}};
  if (status == 503) {
    response.headers.emplace_back("Retry-After", kMemoryRetryAfter);
  }
  this->Write(std::move(response));
}

void ServerConnection::Write(Response response) {
  std::string out("HTTP/1.1 ");
  out.append(std::to_string(response.status))
      .append(" ")
      .append(ReasonPhrase(response.status))
      .append("\r\n");
  AppendFields(out, response.headers);
  if (const auto length = LengthToSend(response, this->head_request)) {
    out.append("Content-Length: ").append(std::to_string(*length));
    out.append("\r\n");
  }
  out.append(this->close_after_response ? "Connection: close\r\n\r\n" : "\r\n");
  this->outgoing = {std::move(out), {}};
  if (syntax::MayHaveContent(response.status, this->head_request)) {
    this->outgoing.body = Body(std::move(response.body));
  }
  this->writing = true;
  this->last_progress = this->shared->timers->Now();
  this->EndExchange(false);
  this->WriteOn();
  if (this->writing && !this->closed) {
    this->UpdateCharge();
    this->shared->memory->KeepLimit(this->shared->timers->Now());
  }
}

void ServerConnection::WriteOn() {
  asio::error_code error;
  const auto before = this->outgoing.written;
  WriteSome(this->socket, this->outgoing, error);
  if (error || this->outgoing.done()) {
    this->OnWritten(error);
    return;
  }
  this->RecordProgress(this->outgoing.written - before);
  this->SetTimeout(this->shared->limits.stall_timeout);
  this->WaitForWrite();
}

void ServerConnection::WaitForWrite() {
  this->socket.async_wait(
      tcp::socket::wait_write,
      [self = this->shared_from_this()](asio::error_code ec) {
        if (self->closed) {
          return;
        }
        if (ec) {
          self->OnWritten(ec);
        } else {
          self->WriteOn();
        }
      });
}

void ServerConnection::OnWritten(asio::error_code ec) {
  this->writing = false;
  this->outgoing = {};
  if (ec || this->close_after_response || this->shared->stopped) {
    this->ShutDownAndClose();
    return;
  }
  this->parser.Reset();
  this->UpdateCharge();
  this->continue_sent = false;
  this->SetTimeout(this->shared->limits.idle_timeout);
  if (this->read_ahead.empty()) {
    this->WaitForRead();
    return;
  }
  // Not called from here: the responses to many pipelined requests would nest
  // and exhaust the stack.
  asio::post(this->socket.get_executor(),
             [self = this->shared_from_this()] { self->ConsumeReadAhead(); });
}

void ServerConnection::ConsumeReadAhead() {
  if (this->closed) {
    return;
  }
  std::string bytes;
  bytes.swap(this->read_ahead);
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
  this->keep_alive = this->parser.keep_alive();
  this->head_request = this->parser.method == "HEAD";
  this->timeout.Cancel();
  auto charge = std::make_shared<MemoryCharge>(this->shared->memory);
  charge->Set(this->parser.buffered_bytes());
  Request request{std::move(this->parser.method),
                  std::move(this->parser.target),
                  std::move(this->parser.headers),
                  {std::move(this->parser.body), charge}};
  this->parser.Reset();
  this->UpdateCharge();
  this->active = std::make_shared<ServedExchange>(
      this->shared_from_this(), std::move(request), std::move(charge),
      this->shared->timers->Now() - TimeSinceArrival(this->socket));
  ++this->shared->in_progress;
  // Detects a peer that closes the connection while its request is served.
  if (ShouldReadAhead(this->read_ahead.size())) {
    this->WaitForRead();
  }
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
