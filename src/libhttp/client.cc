#include "cassiakeel/http/client.h"

#include <curl/curl.h>
#include <fmt/format.h>

#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <mutex>
#include <unordered_map>

#include "cassiakeel/syntax/response.h"

namespace cassiakeel::http {
namespace {

// Less than the 60 s after which a peer closes idle connections, so that no
// request is sent on a connection that the peer is about to close.
constexpr long kMaxIdleSeconds = 20;
constexpr long kMaxCachedConnections = 512;
// Bound on a response that is held in memory. The largest ones are objects of
// the platform's store, of at most 8 MiB.
constexpr std::size_t kMaxBodyBytes = 16U << 20U;
// Returned by a callback to end the transfer with an error.
constexpr std::size_t kAbortTransfer = 0;

void InitCurlOnce() {
  static std::once_flag once;
  std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

struct EasyDeleter {
  void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};
struct HeaderListDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

struct Exchange {
  ExchangeId id = 0;
  ClientRequest request;
  ExchangeHandler handler;
  std::unique_ptr<CURL, EasyDeleter> easy;
  std::unique_ptr<curl_slist, HeaderListDeleter> header_list;
  ExchangeResult result;
  syntax::PartialResponse response;
  bool sent = false;
  bool start_notified = false;
};

// libcurl looks at the option when the transfer ends.
void CloseAfterwards(Exchange* exchange) {
  curl_easy_setopt(exchange->easy.get(), CURLOPT_FORBID_REUSE, 1L);
}

std::size_t OnHeader(char* data, std::size_t, std::size_t size, void* arg) {
  auto* exchange = static_cast<Exchange*>(arg);
  const auto taken = syntax::TakeHeaderLine(exchange->response, {data, size});
  if (!taken) {
    exchange->result.error = taken.error().ToString();
    return kAbortTransfer;
  }
  const auto& keeps_connection = exchange->request.keeps_connection;
  if (syntax::HasFinalHead(exchange->response) && keeps_connection &&
      !keeps_connection(exchange->response.headers)) {
    CloseAfterwards(exchange);
  }
  return size;
}

void StoreHead(Exchange* exchange) {
  exchange->result.status = exchange->response.scan.start.status;
  exchange->result.headers = exchange->response.headers;
}

void NotifyResponseStart(Exchange* exchange) {
  if (!exchange->start_notified && exchange->handler.on_start) {
    exchange->start_notified = true;
    StoreHead(exchange);
    exchange->handler.on_start(exchange->result.status,
                               exchange->result.headers);
  }
}

std::size_t OnBody(char* data, std::size_t, std::size_t size, void* arg) {
  auto* exchange = static_cast<Exchange*>(arg);
  const auto scan_before = exchange->response.scan;
  const auto content = syntax::TakeBody(exchange->response, {data, size});
  if (!content) {
    exchange->result.error = content.error().ToString();
    return kAbortTransfer;
  }
  if (exchange->response.has_stray_bytes) {
    CloseAfterwards(exchange);
  }
  if (exchange->handler.on_data) {
    NotifyResponseStart(exchange);
    // After a pause, libcurl delivers the same bytes again.
    if (!content->empty() && !exchange->handler.on_data(*content)) {
      exchange->response.scan = scan_before;
      return CURL_WRITEFUNC_PAUSE;
    }
  } else if (exchange->result.body.size() + content->size() > kMaxBodyBytes) {
    return kAbortTransfer;
  } else {
    exchange->result.body.append(*content);
  }
  return size;
}

int OnBeforeRequest(void* arg, char*, char*, int, int) {
  auto* exchange = static_cast<Exchange*>(arg);
  // A second call means that libcurl is about to retry the request on a new
  // connection. The retry is refused because the peer may have received the
  // first copy.
  if (exchange->sent) {
    return CURL_PREREQFUNC_ABORT;
  }
  exchange->sent = true;
  return CURL_PREREQFUNC_OK;
}

ExchangeEnd EndFromCurlCode(const Exchange& exchange, CURLcode code) {
  // libcurl takes a head that ends early for a whole response.
  if (code == CURLE_OK && syntax::IsWhole(exchange.response)) {
    return ExchangeEnd::kComplete;
  }
  if (!exchange.sent) {
    return ExchangeEnd::kNotSent;
  }
  return code == CURLE_OPERATION_TIMEDOUT ? ExchangeEnd::kTimeout
                                          : ExchangeEnd::kNoResponse;
}

void ApplyOptions(Exchange* exchange) {
  CURL* easy = exchange->easy.get();
  const ClientRequest& request = exchange->request;
  const std::string url = "http://" + request.peer.Value() + request.target;
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  // The chunked coding is checked and removed here.
  curl_easy_setopt(easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(request.timeout.count()));
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(request.connect_timeout.count()));
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, kMaxIdleSeconds);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, OnBeforeRequest);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, exchange);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, exchange);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, exchange);
  curl_easy_setopt(easy, CURLOPT_PRIVATE, exchange);
  if (exchange->handler.on_data) {
    curl_easy_setopt(easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
    curl_easy_setopt(easy, CURLOPT_LOW_SPEED_TIME,
                     static_cast<long>(request.stall_timeout.count()));
  }
  if (request.method == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  } else if (request.body && !request.body->empty()) {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body->size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body->data());
  } else if (request.method != "GET") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, 0L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "");
  }
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

void ApplyHeaders(Exchange* exchange) {
  curl_slist* list = nullptr;
  for (const auto& [name, value] : exchange->request.headers) {
    // libcurl leaves out a field given as "Name:" and sends an empty field for
    // "Name;".
    const std::string line = value.empty() ? fmt::format("{};", name)
                                           : fmt::format("{}: {}", name, value);
    list = curl_slist_append(list, line.c_str());
  }
  list = curl_slist_append(list, "Expect:");
  exchange->header_list.reset(list);
  curl_easy_setopt(exchange->easy.get(), CURLOPT_HTTPHEADER, list);
}

}  // namespace

class Client::Impl {
 public:
  explicit Impl(asio::io_context& io) : io(io), timer(io) {}

  ~Impl() {
    for (auto& [id, exchange] : this->exchanges) {
      curl_multi_remove_handle(this->multi, exchange->easy.get());
    }
    this->exchanges.clear();
    if (this->multi != nullptr) {
      curl_multi_cleanup(this->multi);
    }
  }

  bool Open() {
    InitCurlOnce();
    this->multi = curl_multi_init();
    if (this->multi == nullptr) {
      return false;
    }
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, OnSocket);
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, OnTimer);
    curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, kMaxCachedConnections);
    curl_multi_setopt(this->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    return true;
  }

  ExchangeId Start(ClientRequest request, ExchangeHandler handler) {
    auto exchange = std::make_unique<Exchange>();
    exchange->id = this->next_id++;
    exchange->request = std::move(request);
    exchange->handler = std::move(handler);
    exchange->response = syntax::ExpectResponse(exchange->request.method);
    // Not kept for the next exchange: a handle keeps a pointer to the last
    // field of its last response, and libcurl 7.88 follows it if the next
    // response begins with a folded line.
    exchange->easy.reset(curl_easy_init());
    ApplyOptions(exchange.get());
    ApplyHeaders(exchange.get());
    const ExchangeId id = exchange->id;
    CURL* easy = exchange->easy.get();
    this->exchanges.emplace(id, std::move(exchange));
    curl_multi_add_handle(this->multi, easy);
    return id;
  }

  void Cancel(ExchangeId id) {
    const auto found = this->exchanges.find(id);
    if (found != this->exchanges.end()) {
      this->Finish(found->second.get(), ExchangeEnd::kCancelled, "cancelled");
    }
  }

  void Resume(ExchangeId id) {
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end()) {
      return;
    }
    curl_easy_pause(found->second->easy.get(), CURLPAUSE_CONT);
    this->HandleEvents(CURL_SOCKET_TIMEOUT, 0);
  }

 private:
  struct SocketWatch {
    SocketWatch(asio::io_context& io, int fd) : descriptor(io, fd) {}
    asio::posix::stream_descriptor descriptor;
    int requested_events = 0;
    bool waiting_for_read = false;
    bool waiting_for_write = false;
  };

  static int OnSocket(CURL*,
                      curl_socket_t fd,
                      int poll_action,
                      void* arg,
                      void*) {
    static_cast<Impl*>(arg)->UpdateWatch(fd, poll_action);
    return 0;
  }

  static int OnTimer(CURLM*, long timeout_ms, void* arg) {
    static_cast<Impl*>(arg)->SetTimer(timeout_ms);
    return 0;
  }

  void UpdateWatch(int fd, int poll_action) {
    if (poll_action == CURL_POLL_REMOVE) {
      const auto found = this->watches.find(fd);
      if (found != this->watches.end()) {
        // libcurl owns the socket, so the descriptor must not close it.
        found->second->descriptor.release();
        this->watches.erase(found);
      }
      return;
    }
    auto& watch = this->watches[fd];
    if (!watch) {
      watch = std::make_shared<SocketWatch>(this->io, fd);
    }
    watch->requested_events = poll_action;
    this->StartWaits(fd, watch);
  }

  void StartWaits(int fd, const std::shared_ptr<SocketWatch>& watch) {
    if ((watch->requested_events & CURL_POLL_IN) != 0 &&
        !watch->waiting_for_read) {
      watch->waiting_for_read = true;
      this->WaitForEvent(fd, watch, &SocketWatch::waiting_for_read,
                         CURL_CSELECT_IN,
                         asio::posix::stream_descriptor::wait_read);
    }
    if ((watch->requested_events & CURL_POLL_OUT) != 0 &&
        !watch->waiting_for_write) {
      watch->waiting_for_write = true;
      this->WaitForEvent(fd, watch, &SocketWatch::waiting_for_write,
                         CURL_CSELECT_OUT,
                         asio::posix::stream_descriptor::wait_write);
    }
  }

  void WaitForEvent(int fd,
                    const std::shared_ptr<SocketWatch>& watch,
                    bool SocketWatch::*waiting,
                    int event,
                    asio::posix::stream_descriptor::wait_type type) {
    watch->descriptor.async_wait(
        type, [this, fd, watch, waiting, event](const asio::error_code& error) {
          if (error) {
            return;
          }
          (*watch).*waiting = false;
          this->HandleEvents(fd, event);
          // libcurl may have removed or replaced the watch of this socket.
          const auto found = this->watches.find(fd);
          if (found != this->watches.end() && found->second == watch) {
            this->StartWaits(fd, watch);
          }
        });
  }

  void SetTimer(long timeout_ms) {
    if (timeout_ms < 0) {
      this->timer.cancel();
      return;
    }
    this->timer.expires_after(std::chrono::milliseconds(timeout_ms));
    this->timer.async_wait([this](const asio::error_code& error) {
      if (!error) {
        this->HandleEvents(CURL_SOCKET_TIMEOUT, 0);
      }
    });
  }

  void HandleEvents(curl_socket_t fd, int events) {
    int running = 0;
    curl_multi_socket_action(this->multi, fd, events, &running);
    this->FinishCompleted();
  }

  void FinishCompleted() {
    int messages_left = 0;
    while (CURLMsg* message =
               curl_multi_info_read(this->multi, &messages_left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      Exchange* exchange = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &exchange);
      const CURLcode code = message->data.result;
      this->Finish(exchange, EndFromCurlCode(*exchange, code),
                   code == CURLE_OK ? "response ends within its head"
                                    : curl_easy_strerror(code));
    }
  }

  void Finish(Exchange* ended, ExchangeEnd end, const char* error) {
    auto node = this->exchanges.extract(ended->id);
    const std::unique_ptr<Exchange> exchange = std::move(node.mapped());
    if (end == ExchangeEnd::kComplete) {
      NotifyResponseStart(exchange.get());
    } else if (exchange->result.error.empty()) {
      exchange->result.error = error;
    }
    StoreHead(exchange.get());
    curl_multi_remove_handle(this->multi, exchange->easy.get());
    exchange->easy.reset();
    exchange->result.end = end;
    exchange->handler.on_end(std::move(exchange->result));
  }

  asio::io_context& io;
  asio::steady_timer timer;
  CURLM* multi = nullptr;
  ExchangeId next_id = 1;
  std::unordered_map<ExchangeId, std::unique_ptr<Exchange>> exchanges;
  std::unordered_map<int, std::shared_ptr<SocketWatch>> watches;
};

Result<std::unique_ptr<Client>> Client::Create(asio::io_context& io_context) {
  auto impl = std::make_unique<Impl>(io_context);
  if (!impl->Open()) {
    return Fail("create HTTP client", "curl_multi_init failed");
  }
  return std::unique_ptr<Client>(new Client(std::move(impl)));
}

Client::Client(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}
Client::~Client() = default;

ExchangeId Client::Start(ClientRequest request, ExchangeHandler handler) {
  return this->impl->Start(std::move(request), std::move(handler));
}

void Client::Cancel(ExchangeId id) {
  this->impl->Cancel(id);
}

void Client::Resume(ExchangeId id) {
  this->impl->Resume(id);
}

}  // namespace cassiakeel::http
