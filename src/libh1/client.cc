#include "cassiakeel/h1/client.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <charconv>
#include <deque>
#include <optional>
#include <unordered_map>

#include "parser.h"
#include "socket_io.h"

namespace cassiakeel::h1 {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

// A kept connection is used only in the first part of the time that its peer
// announced to keep it, because the peer's clock started earlier.
constexpr double kKeptShare = 0.6;

struct Core;

// Idle time that the response allows, from "Keep-Alive: timeout=5".
std::optional<milliseconds> AnnouncedIdle(const HeaderList& headers) {
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
      static_cast<milliseconds::rep>(seconds * 1000 * kKeptShare));
}

class Link;

struct Core {
  Core(asio::io_context& io_context,
       std::shared_ptr<TimerQueue> timers,
       const ClientOptions& options)
      : io_context(io_context), timers(std::move(timers)), options(options) {}

  asio::io_context& io_context;
  std::shared_ptr<TimerQueue> timers;
  ClientOptions options;
  /// Newest last, so that old ones run out.
  std::unordered_map<PeerAddress, std::deque<std::shared_ptr<Link>>> kept;
  std::unordered_map<FetchId, std::shared_ptr<Link>> running;
  FetchId next_id = 1;
  std::uint64_t opened = 0;

  void Remove(const std::shared_ptr<Link>& link, const PeerAddress& peer) {
    const auto found = this->kept.find(peer);
    if (found == this->kept.end()) {
      return;
    }
    std::erase(found->second, link);
    if (found->second.empty()) {
      this->kept.erase(found);
    }
  }
};

// One connection to a peer.
class Link : public std::enable_shared_from_this<Link> {
 public:
  Link(std::shared_ptr<Core> core, PeerAddress peer)
      : core(std::move(core)),
        peer(std::move(peer)),
        socket(this->core->io_context),
        parser(pvt::Parser::Kind::kResponse, this->core->options.limits),
        timeout(this->core->timers),
        connect_timeout(this->core->timers) {}

  void Run(FetchId id, Fetch next, FetchHandler next_handler) {
    this->fetch_id = id;
    this->fetch = std::move(next);
    this->handler = std::move(next_handler);
    this->SetTimeout(this->fetch.deadline);
    if (this->connected) {
      this->fresh = false;
      this->Send();
    } else {
      this->Connect();
    }
  }

  // Ends the fetch without a result.
  void Abort() {
    this->handler = nullptr;
    this->Close();
  }

  void Close() {
    if (this->closed) {
      return;
    }
    this->closed = true;
    this->timeout.Cancel();
    this->connect_timeout.Cancel();
    asio::error_code ignored;
    this->socket.close(ignored);
    this->core->Remove(this->shared_from_this(), this->peer);
  }

  bool Usable(SteadyTime now, milliseconds max_idle) const {
    return !this->closed && now < this->keep_until &&
           now - this->idle_since < max_idle;
  }

 private:
  void Connect() {
    ++this->core->opened;
    const auto endpoint = pvt::ParseEndpoint(this->peer);
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
    pvt::SetUpSocket(this->socket, this->core->options.dead_peer_timeout);
    this->connect_timeout.Set(
        this->core->timers->Now() + this->core->options.connect_timeout,
        [this] {
          const auto self = this->shared_from_this();
          self->Finish(FetchEnd::kNotSent, "connect timed out");
        });
    this->socket.async_connect(
        *endpoint, [self = this->shared_from_this()](asio::error_code ec) {
          self->OnConnected(ec);
        });
  }

  void OnConnected(asio::error_code ec) {
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

  void Send() {
    auto& request = this->fetch.request;
    std::string out;
    out.reserve(320 + request.body.size());
    out.append(request.method)
        .append(" ")
        .append(request.target)
        .append(" HTTP/1.1\r\n");
    pvt::AppendFields(out, request.headers);
    if (!request.body.empty() ||
        (request.method != "GET" && request.method != "HEAD")) {
      out.append("Content-Length: ")
          .append(std::to_string(request.body.size()))
          .append("\r\n");
    }
    out.append("\r\n").append(request.body);
    this->parser.Reset();
    this->parser.set_no_body(request.method == "HEAD");
    this->writing = true;
    const auto self = this->shared_from_this();
    pvt::WriteAll(this->socket, std::move(out), self,
                  [self](asio::error_code ec) {
                    self->writing = false;
                    if (ec) {
                      self->write_error = ec;
                    }
                  });
    // A response may arrive although the request could not be written whole,
    // so a write error is reported by the read that follows.
    this->Wait();
  }

  void Wait() {
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

  void OnReadable() {
    if (this->closed) {
      return;
    }
    asio::error_code error;
    const auto bytes = pvt::ReadAvailable(this->socket, error);
    if (error == asio::error::would_block) {
      this->Wait();
      return;
    }
    if (!this->handler) {
      // Closed by the peer while idle, or bytes that belong to no request.
      this->Close();
      return;
    }
    if (error) {
      this->OnEnd(error);
      return;
    }
    this->Consume(bytes);
  }

  void OnEnd(asio::error_code error) {
    if (error == asio::error::eof &&
        this->parser.FeedEnd() == pvt::ParseState::kComplete &&
        !this->IsForeign()) {
      this->Deliver(false);
      return;
    }
    this->Finish(FetchEnd::kLost, this->write_error
                                      ? this->write_error.message()
                                      : error.message());
  }

  void Consume(std::string_view bytes) {
    while (!bytes.empty()) {
      std::size_t used = 0;
      const auto state = this->parser.Feed(bytes, used);
      if (state == pvt::ParseState::kFailed) {
        this->Finish(FetchEnd::kLost, "response is not HTTP");
        return;
      }
      if (state == pvt::ParseState::kNeedMore) {
        break;
      }
      bytes.remove_prefix(used);
      if (this->parser.status / 100 == 1 || this->IsForeign()) {
        this->parser.Reset();
        this->parser.set_no_body(this->fetch.request.method == "HEAD");
        continue;
      }
      this->Deliver(bytes.empty() && this->parser.keep_alive() &&
                    !this->writing && !this->write_error);
      return;
    }
    this->Wait();
  }

  // Whether the response read belongs to an earlier request.
  bool IsForeign() const {
    if (this->fetch.echo_field.empty()) {
      return false;
    }
    const auto* echo = FindHeader(this->parser.headers, this->fetch.echo_field);
    return echo != nullptr && *echo != this->fetch.echo_value;
  }

  void Deliver(bool reusable) {
    FetchResult result{FetchEnd::kComplete,
                       {this->parser.status, std::move(this->parser.headers),
                        std::move(this->parser.body)},
                       {},
                       this->fresh};
    this->timeout.Cancel();
    this->core->running.erase(this->fetch_id);
    const auto done = std::exchange(this->handler, nullptr);
    if (reusable) {
      this->Keep(result.response.headers);
    } else {
      this->Close();
    }
    done(std::move(result));
  }

  void Keep(const HeaderList& headers) {
    const auto now = this->core->timers->Now();
    auto idle = this->core->options.idle_timeout;
    if (const auto announced = AnnouncedIdle(headers)) {
      idle = std::min(idle, *announced);
    }
    auto& list = this->core->kept[this->peer];
    if (idle.count() <= 0 || list.size() >= this->core->options.max_kept) {
      this->Close();
      return;
    }
    this->idle_since = now;
    this->keep_until = now + idle;
    this->SetTimeout(this->keep_until);
    list.push_back(this->shared_from_this());
    this->Wait();
  }

  void Finish(FetchEnd end, std::string message) {
    this->core->running.erase(this->fetch_id);
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

  void FinishLater(FetchEnd end, const std::string& message) {
    asio::post(this->core->io_context,
               [self = this->shared_from_this(), end, message] {
                 self->Finish(end, message);
               });
  }

  void SetTimeout(SteadyTime due) {
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

  std::shared_ptr<Core> core;
  PeerAddress peer;
  tcp::socket socket;
  pvt::Parser parser;
  FetchId fetch_id = 0;
  Fetch fetch;
  FetchHandler handler;
  Timer timeout;
  Timer connect_timeout;
  SteadyTime idle_since;
  SteadyTime keep_until;
  asio::error_code write_error;
  bool connected = false;
  bool fresh = true;
  bool waiting = false;
  bool writing = false;
  bool closed = false;
};

}  // namespace

class Client::Impl {
 public:
  Impl(asio::io_context& io_context,
       std::shared_ptr<TimerQueue> timers,
       const ClientOptions& options)
      : core(std::make_shared<Core>(io_context, std::move(timers), options)) {}

  ~Impl() {
    for (const auto& [id, link] : std::exchange(this->core->running, {})) {
      link->Abort();
    }
    for (const auto& [peer, links] : std::exchange(this->core->kept, {})) {
      for (const auto& link : links) {
        link->Close();
      }
    }
  }

  std::shared_ptr<Link> TakeLink(const Fetch& fetch) {
    const auto now = this->core->timers->Now();
    const auto found = this->core->kept.find(fetch.peer);
    if (found != this->core->kept.end()) {
      auto newest = found->second.back();
      if (newest->Usable(now, fetch.max_idle)) {
        this->core->Remove(newest, fetch.peer);
        return newest;
      }
    }
    return std::make_shared<Link>(this->core, fetch.peer);
  }

  std::shared_ptr<Core> core;
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
  const auto id = this->impl->core->next_id++;
  const auto link = this->impl->TakeLink(fetch);
  this->impl->core->running.emplace(id, link);
  link->Run(id, std::move(fetch), std::move(handler));
  return id;
}

void Client::Cancel(FetchId id) {
  const auto found = this->impl->core->running.find(id);
  if (found == this->impl->core->running.end()) {
    return;
  }
  const auto link = found->second;
  this->impl->core->running.erase(found);
  link->Abort();
}

void Client::DropKept(const PeerAddress& peer) {
  const auto found = this->impl->core->kept.find(peer);
  if (found == this->impl->core->kept.end()) {
    return;
  }
  const auto links = std::move(found->second);
  this->impl->core->kept.erase(found);
  for (const auto& link : links) {
    link->Close();
  }
}

std::uint64_t Client::connections_opened() const {
  return this->impl->core->opened;
}

}  // namespace cassiakeel::h1
