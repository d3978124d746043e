#include "client_connection.h"

#include <algorithm>
#include <asio/post.hpp>
#include <charconv>
#include <functional>
#include <optional>
#include <utility>

#include "socket_io.h"

namespace cassiakeel::h1::pvt {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

// An idle connection is reused only during this fraction of the idle timeout
// that the peer announced, because the peer's timeout started earlier and it
// could close the connection while the next request is sent.
constexpr double kReuseFraction = 0.6;
// Upper bound on the bytes received for one request, as a multiple of the size
// limits of its response: chunk sizes, interim responses, and responses to
// earlier requests.
constexpr std::size_t kMaxReceivedRatio = 2;

// A connection is closed after this number of requests, which bounds the memory
// for their ids.
constexpr std::size_t kMaxRequests = 1000;

// A request of this size fits into the receive buffer of a peer, whose kernel
// acknowledges it even if the peer does not read.
constexpr std::size_t kAlwaysAcknowledgedBytes = 16U << 10U;

// Time for which the connection may be reused, from a response field such as
// "Keep-Alive: timeout=5".
std::optional<milliseconds> AnnouncedReuseTime(const HeaderList& headers) {
  const auto* value = FindHeader(headers, "Keep-Alive");
  const auto at =
      value == nullptr ? std::string::npos : value->find("timeout=");
  if (at == std::string::npos) {
    return std::nullopt;
  }
  int seconds = 0;
  const auto* first = value->data() + at + 8;
  std::from_chars(first, value->data() + value->size(), seconds);
  return milliseconds(
      static_cast<milliseconds::rep>(seconds * 1000 * kReuseFraction));
}

std::uint32_t HashOf(const std::string& echo_value) {
  return static_cast<std::uint32_t>(std::hash<std::string>()(echo_value));
}

}  // namespace

ClientConnection::ClientConnection(std::shared_ptr<ClientState> client_state,
                                   PeerAddress peer)
    : client_state(std::move(client_state)),
      peer(std::move(peer)),
      socket(this->client_state->io_context),
      parser(Parser::Kind::kResponse, this->client_state->options.limits),
      buffered(this->client_state->buffers),
      timeout(this->client_state->timers),
      connect_timeout(this->client_state->timers) {}

void ClientConnection::Run(FetchId id, Fetch next, FetchHandler next_handler) {
  this->fetch_id = id;
  this->fetch = std::move(next);
  this->handler = std::move(next_handler);
  if (!this->fetch.echo_field.empty()) {
    this->carried.push_back(HashOf(this->fetch.echo_value));
  }
  this->SetTimeout(this->fetch.deadline);
  if (this->connected) {
    this->fresh = false;
    this->Send();
  } else {
    this->Connect();
  }
}

void ClientConnection::Abort() {
  this->handler = nullptr;
  this->Close();
}

void ClientConnection::Close() {
  if (this->closed) {
    return;
  }
  this->closed = true;
  this->timeout.Cancel();
  this->connect_timeout.Cancel();
  this->buffered.Set(0);
  asio::error_code ignored;
  this->socket.close(ignored);
  this->client_state->RemoveIdle(this->shared_from_this(), this->peer);
}

bool ClientConnection::Usable(SteadyTime now, const Fetch& next) const {
  if (this->closed || now >= this->keep_until ||
      now - this->idle_since >= next.max_idle) {
    return false;
  }
  return next.echo_field.empty() ||
         (!next.echo_value.empty() && !this->HasCarried(next.echo_value));
}

bool ClientConnection::HasCarried(const std::string& echo_value) const {
  return std::ranges::find(this->carried, HashOf(echo_value)) !=
         this->carried.end();
}

bool ClientConnection::HasStrayBytes() const {
  asio::error_code error;
  return this->socket.available(error) > 0 || error;
}

void ClientConnection::Connect() {
  ++this->client_state->opened_count;
  const auto endpoint = ParseEndpoint(this->peer);
  if (!endpoint) {
    this->FinishLater(FetchEnd::kNotSent, endpoint.error().message);
    return;
  }
  asio::error_code error;
  this->socket.open(endpoint->protocol(), error);
  if (error) {
    this->FinishLater(FetchEnd::kNotSent, error.message());
    return;
  }
  this->dead_peer_timeout = this->client_state->options.dead_peer_timeout;
  SetUpSocket(this->socket, this->dead_peer_timeout);
  this->connect_timeout.Set(this->client_state->timers->Now() +
                                this->client_state->options.connect_timeout,
                            [this] {
                              const auto self = this->shared_from_this();
                              self->Finish(FetchEnd::kNotSent,
                                           "connect timed out");
                            });
  this->socket.async_connect(
      *endpoint, [self = this->shared_from_this()](asio::error_code ec) {
        self->OnConnected(ec);
      });
}

void ClientConnection::OnConnected(asio::error_code ec) {
  this->connect_timeout.Cancel();
  if (this->closed) {
    return;
  }
  if (ec) {
    this->Finish(FetchEnd::kNotSent, ec.message());
    return;
  }
  this->connected = true;
  this->Send();
}

void ClientConnection::Send() {
  auto& request = this->fetch.request;
  std::string out;
  out.append(request.method)
      .append(" ")
      .append(request.target)
      .append(" HTTP/1.1\r\n");
  AppendFields(out, request.headers);
  if (!request.body.empty() ||
      (request.method != "GET" && request.method != "HEAD")) {
    out.append("Content-Length: ")
        .append(std::to_string(request.body.size()))
        .append("\r\n");
  }
  out.append("\r\n");
  // An idle connection keeps nothing of its last request.
  HeaderList().swap(request.headers);
  OutgoingMessage message{std::move(out), std::move(request.body)};
  this->AllowSlowReader(message.size());
  this->ResetParser();
  this->received_bytes = 0;
  this->writing = true;
  const auto self = this->shared_from_this();
  WriteAll(this->socket, std::move(message), self,
           [self](asio::error_code ec) { self->OnWritten(ec); });
  // The peer may send a response without reading the whole request, so a
  // write error is reported only if the following read gets no response.
  this->WaitForRead();
}

void ClientConnection::AllowSlowReader(std::size_t request_bytes) {
  const auto& options = this->client_state->options;
  auto next_timeout = options.dead_peer_timeout;
  if (request_bytes > kAlwaysAcknowledgedBytes) {
    next_timeout =
        std::max(next_timeout,
                 std::chrono::ceil<milliseconds>(
                     this->fetch.deadline - this->client_state->timers->Now()));
  }
  if (next_timeout != this->dead_peer_timeout) {
    this->dead_peer_timeout = next_timeout;
    SetDeadPeerTimeout(this->socket, next_timeout);
  }
}

void ClientConnection::OnWritten(asio::error_code ec) {
  this->writing = false;
  if (ec) {
    this->write_error = ec;
  }
  if (this->ended_while_writing && !this->closed) {
    this->OnEnd(asio::error::eof);
  }
}

void ClientConnection::WaitForRead() {
  if (this->waiting || this->closed) {
    return;
  }
  this->waiting = true;
  this->socket.async_wait(
      tcp::socket::wait_read,
      [self = this->shared_from_this()](asio::error_code ec) {
        self->waiting = false;
        if (!ec) {
          self->OnReadable();
        }
      });
}

void ClientConnection::OnReadable() {
  if (this->closed) {
    return;
  }
  asio::error_code error;
  const auto bytes = ReadAvailable(this->socket, error);
  if (error == asio::error::would_block) {
    this->WaitForRead();
    return;
  }
  if (!this->handler) {
    // The peer closed the idle connection or sent bytes without a request.
    this->Close();
    return;
  }
  if (error) {
    this->OnEnd(error);
    return;
  }
  this->Consume(bytes);
}

void ClientConnection::OnEnd(asio::error_code error) {
  // A reset is reported once. A pending write may have taken it, so that the
  // read sees an end of file; the response is complete only if the write ends
  // without an error.
  if (error == asio::error::eof && this->writing) {
    this->ended_while_writing = true;
    return;
  }
  if (error == asio::error::eof && !this->write_error &&
      this->parser.FeedEnd() == ParseState::kComplete) {
    const auto answered = this->AnsweredRequest();
    if (answered == Answered::kCurrent || answered == Answered::kOnly) {
      this->Deliver(false);
      return;
    }
  }
  this->Finish(FetchEnd::kNoResponse, this->write_error
                                          ? this->write_error.message()
                                          : error.message());
}

void ClientConnection::Consume(std::string_view bytes) {
  this->received_bytes += bytes.size();
  while (!bytes.empty()) {
    std::size_t used = 0;
    const auto state = this->parser.Feed(bytes, used);
    if (state == ParseState::kFailed) {
      this->Finish(FetchEnd::kNoResponse,
                   this->parser.violation().empty()
                       ? "response is malformed or exceeds the size limits"
                       : this->parser.violation());
      return;
    }
    if (state == ParseState::kNeedMore) {
      break;
    }
    bytes.remove_prefix(used);
    if (this->parser.status / 100 == 1) {
      this->ResetParser();
      continue;
    }
    const auto answered = this->AnsweredRequest();
    if (answered == Answered::kEarlier) {
      this->ResetParser();
      continue;
    }
    if (answered == Answered::kUnknown) {
      this->Finish(FetchEnd::kNoResponse,
                   "response does not repeat the id of its request and may "
                   "answer an earlier one");
      return;
    }
    this->Deliver(bytes.empty() && this->parser.keep_alive() &&
                  !this->writing && !this->write_error &&
                  answered == Answered::kCurrent &&
                  this->carried.size() < kMaxRequests);
    return;
  }
  this->buffered.Set(this->parser.buffered_bytes());
  const auto& options = this->client_state->options;
  if (!this->buffered.Fits(options.max_buffered_bytes) ||
      this->received_bytes > kMaxReceivedRatio * (options.limits.header_bytes +
                                                  options.limits.body_bytes)) {
    this->Finish(FetchEnd::kNoResponse,
                 "response exceeds the memory limits before its end");
    return;
  }
  this->WaitForRead();
}

void ClientConnection::ResetParser() {
  this->parser.Reset();
  this->parser.set_no_body(this->fetch.request.method == "HEAD");
}

Answered ClientConnection::AnsweredRequest() const {
  return FindAnswered(this->parser.headers, this->fetch.echo_field,
                      this->fetch.echo_value, this->fresh);
}

void ClientConnection::Deliver(bool reusable) {
  FetchResult result{FetchEnd::kComplete,
                     {this->parser.status, std::move(this->parser.headers),
                      std::move(this->parser.body), this->parser.get_length()},
                     {},
                     this->fresh};
  this->timeout.Cancel();
  this->buffered.Set(0);
  this->client_state->running.erase(this->fetch_id);
  const auto done = std::exchange(this->handler, nullptr);
  if (reusable) {
    this->KeepIdle(result.response.headers);
  } else {
    this->Close();
  }
  done(std::move(result));
}

void ClientConnection::KeepIdle(const HeaderList& headers) {
  const auto now = this->client_state->timers->Now();
  auto idle = this->client_state->options.idle_timeout;
  if (const auto announced = AnnouncedReuseTime(headers)) {
    idle = std::min(idle, *announced);
  }
  auto& list = this->client_state->idle_connections[this->peer];
  if (idle.count() <= 0 ||
      list.size() >= this->client_state->options.max_idle_per_peer) {
    this->Close();
    return;
  }
  this->idle_since = now;
  this->keep_until = now + idle;
  this->SetTimeout(this->keep_until);
  list.push_back(this->shared_from_this());
  this->WaitForRead();
}

void ClientConnection::Finish(FetchEnd end, std::string message) {
  this->client_state->running.erase(this->fetch_id);
  const auto done = std::exchange(this->handler, nullptr);
  this->Close();
  if (done) {
    FetchResult result;
    result.end = end;
    result.message = std::move(message);
    result.fresh_connection = this->fresh;
    done(std::move(result));
  }
}

void ClientConnection::FinishLater(FetchEnd end, const std::string& message) {
  asio::post(this->client_state->io_context,
             [self = this->shared_from_this(), end, message] {
               self->Finish(end, message);
             });
}

void ClientConnection::SetTimeout(SteadyTime due) {
  this->timeout.Set(due, [this] {
    const auto self = this->shared_from_this();
    if (self->handler) {
      self->Finish(self->connected ? FetchEnd::kTimeout : FetchEnd::kNotSent,
                   "timed out");
    } else {
      self->Close();
    }
  });
}

}  // namespace cassiakeel::h1::pvt
