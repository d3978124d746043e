#include "http_client.h"

#include <curl/curl.h>
#include <fmt/format.h>
#include <strings.h>

#include <map>
#include <stdexcept>
#include <unordered_map>

namespace cassiakeel::testsuite {

namespace {

/// Idle easy handles kept for reuse.
constexpr std::size_t kMaxIdleHandles = 256;
/// Idle connections kept for reuse, over all addresses.
constexpr long kMaxIdleConnections = 4096;

std::string_view Trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

/// One call in progress.
struct Call {
  HttpClient::CallId id = 0;
  ClientRequest request;
  HttpClient::Callback done;
  ClientResponse response;
  CURL* handle = nullptr;
  curl_slist* header_lines = nullptr;
  std::string url;
  /// Number of times that libcurl began to send the request.
  int send_count = 0;

  Call() = default;
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;
  ~Call() { curl_slist_free_all(this->header_lines); }
};

std::size_t AppendBody(char* data, std::size_t, std::size_t size, void* call) {
  static_cast<Call*>(call)->response.body.append(data, size);
  return size;
}

std::size_t AppendHeader(char* data,
                         std::size_t,
                         std::size_t size,
                         void* call) {
  const std::string_view line(data, size);
  const auto colon = line.find(':');
  if (colon != std::string_view::npos) {
    static_cast<Call*>(call)->response.headers.emplace_back(
        Trim(line.substr(0, colon)), Trim(line.substr(colon + 1)));
  }
  return size;
}

int CountSend(void* call, char*, char*, int, int) {
  return ++static_cast<Call*>(call)->send_count > 1 ? CURL_PREREQFUNC_ABORT
                                                    : CURL_PREREQFUNC_OK;
}

Transfer ClassifyTransfer(CURLcode code, int send_count) {
  if (code == CURLE_OK) {
    return Transfer::kComplete;
  }
  if (code == CURLE_OPERATION_TIMEDOUT) {
    return send_count == 0 ? Transfer::kNotSent : Transfer::kTimeout;
  }
  return send_count == 0 ? Transfer::kNotSent : Transfer::kBroken;
}

}  // namespace

std::string_view FindHeader(const HeaderList& headers, std::string_view name) {
  for (const auto& [field, value] : headers) {
    if (field.size() == name.size() &&
        strncasecmp(field.data(), name.data(), name.size()) == 0) {
      return value;
    }
  }
  return {};
}

struct HttpClient::State : std::enable_shared_from_this<HttpClient::State> {
  /// A libcurl socket that Asio waits on.
  struct SocketWatch {
    SocketWatch(asio::io_context& context, curl_socket_t socket)
        : descriptor(context, socket), socket(socket) {}
    asio::posix::stream_descriptor descriptor;
    curl_socket_t socket;
    int poll_events = 0;
    bool removed = false;
    bool reading = false;
    bool writing = false;
  };

  explicit State(asio::io_context& context)
      : context(context), timer(context), multi(curl_multi_init()) {
    if (this->multi == nullptr) {
      throw std::runtime_error("start HTTP client: out of memory");
    }
  }

  void Setup(int connections_per_host) {
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, OnSocket);
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, OnTimer);
    curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
    curl_multi_setopt(this->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    curl_multi_setopt(this->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      static_cast<long>(connections_per_host));
  }

  void Close() {
    this->closed = true;
    for (auto& [handle, call] : this->calls) {
      curl_multi_remove_handle(this->multi, handle);
      curl_easy_cleanup(handle);
    }
    this->calls.clear();
    for (CURL* handle : this->idle_handles) {
      curl_easy_cleanup(handle);
    }
    curl_multi_cleanup(this->multi);
    // libcurl has closed all sockets, including those without a remove
    // callback.
    for (auto& [socket, watch] : this->watches) {
      watch->removed = true;
      watch->descriptor.release();
    }
    this->watches.clear();
    this->timer.cancel();
  }

  static int OnSocket(CURL*,
                      curl_socket_t socket,
                      int what,
                      void* self,
                      void*) {
    static_cast<State*>(self)->UpdateWatch(socket, what);
    return 0;
  }

  static int OnTimer(CURLM*, long timeout_ms, void* self) {
    static_cast<State*>(self)->SetTimer(timeout_ms);
    return 0;
  }

  void UpdateWatch(curl_socket_t socket, int what) {
    auto found = this->watches.find(socket);
    if (what == CURL_POLL_REMOVE) {
      if (found != this->watches.end()) {
        found->second->removed = true;
        found->second->descriptor.release();
        this->watches.erase(found);
      }
      return;
    }
    if (found == this->watches.end()) {
      found = this->watches
                  .emplace(socket,
                           std::make_shared<SocketWatch>(this->context, socket))
                  .first;
    }
    found->second->poll_events = what;
    this->StartWaits(found->second);
  }

  void StartWaits(const std::shared_ptr<SocketWatch>& watch) {
    if ((watch->poll_events & CURL_POLL_IN) != 0 && !watch->reading) {
      watch->reading = true;
      this->Wait(watch, asio::posix::stream_descriptor::wait_read,
                 CURL_CSELECT_IN, &SocketWatch::reading);
    }
    if ((watch->poll_events & CURL_POLL_OUT) != 0 && !watch->writing) {
      watch->writing = true;
      this->Wait(watch, asio::posix::stream_descriptor::wait_write,
                 CURL_CSELECT_OUT, &SocketWatch::writing);
    }
  }

  void Wait(const std::shared_ptr<SocketWatch>& watch,
            asio::posix::stream_descriptor::wait_type type,
            int action,
            bool SocketWatch::*pending) {
    watch->descriptor.async_wait(
        type, [self = this->shared_from_this(), watch, action,
               pending](const asio::error_code& error) {
          (*watch).*pending = false;
          if (error || watch->removed || self->closed) {
            return;
          }
          const int needed =
              action == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT;
          if ((watch->poll_events & needed) != 0) {
            self->RunSocketAction(watch->socket, action);
          }
          if (!watch->removed && !self->closed) {
            self->StartWaits(watch);
          }
        });
  }

  void SetTimer(long timeout_ms) {
    this->timer.cancel();
    if (timeout_ms < 0) {
      return;
    }
    this->timer.expires_after(std::chrono::milliseconds(timeout_ms));
    this->timer.async_wait(
        [self = this->shared_from_this()](const asio::error_code& error) {
          if (!error && !self->closed) {
            self->RunSocketAction(CURL_SOCKET_TIMEOUT, 0);
          }
        });
  }

  void RunSocketAction(curl_socket_t socket, int action) {
    int running = 0;
    curl_multi_socket_action(this->multi, socket, action, &running);
    this->FinishCompletedCalls();
  }

  /// Completes the calls that libcurl reports as done.
  void FinishCompletedCalls() {
    int messages_left = 0;
    while (CURLMsg* message =
               curl_multi_info_read(this->multi, &messages_left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      const CURLcode code = message->data.result;
      const auto found = this->calls.find(message->easy_handle);
      if (found == this->calls.end()) {
        continue;
      }
      const std::unique_ptr<Call> call = this->RemoveCall(found->first);
      call->response.transfer = ClassifyTransfer(code, call->send_count);
      // The callback may destroy the client.
      const auto keep_alive = this->shared_from_this();
      call->done(std::move(call->response));
      if (this->closed) {
        return;
      }
    }
  }

  /// Removes a call from the multi handle and keeps its easy handle for reuse.
  std::unique_ptr<Call> RemoveCall(CURL* handle) {
    auto found = this->calls.find(handle);
    std::unique_ptr<Call> call = std::move(found->second);
    this->calls.erase(found);
    this->handles.erase(call->id);
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &this->status);
    call->response.status = static_cast<int>(this->status);
    curl_multi_remove_handle(this->multi, handle);
    if (this->idle_handles.size() < kMaxIdleHandles) {
      curl_easy_reset(handle);
      this->idle_handles.push_back(handle);
    } else {
      curl_easy_cleanup(handle);
    }
    return call;
  }

  CURL* TakeHandle() {
    if (this->idle_handles.empty()) {
      return curl_easy_init();
    }
    CURL* handle = this->idle_handles.back();
    this->idle_handles.pop_back();
    return handle;
  }

  asio::io_context& context;
  asio::steady_timer timer;
  CURLM* multi;
  bool closed = false;
  long status = 0;
  HttpClient::CallId next_id = 1;
  std::unordered_map<CURL*, std::unique_ptr<Call>> calls;
  std::unordered_map<HttpClient::CallId, CURL*> handles;
  std::vector<CURL*> idle_handles;
  std::map<curl_socket_t, std::shared_ptr<SocketWatch>> watches;
};

namespace {

void SetOptions(Call& call) {
  CURL* handle = call.handle;
  const ClientRequest& request = call.request;
  call.url = "http://" + request.address + request.target;
  // Without this libcurl waits up to 1 s for "100 Continue" on large bodies.
  call.header_lines = curl_slist_append(call.header_lines, "Expect:");
  for (const auto& [name, value] : request.headers) {
    call.header_lines = curl_slist_append(
        call.header_lines, fmt::format("{}: {}", name, value).c_str());
  }
  curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(request.timeout.count()));
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, call.header_lines);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, AppendBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &call);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, AppendHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, &call);
  curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, CountSend);
  curl_easy_setopt(handle, CURLOPT_PREREQDATA, &call);
  if (request.method != "GET") {
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
  }
}

}  // namespace

HttpClient::HttpClient(asio::io_context& context, int connections_per_host)
    : state(std::make_shared<State>(context)) {
  this->state->Setup(connections_per_host);
}

HttpClient::~HttpClient() {
  this->state->Close();
}

HttpClient::CallId HttpClient::Send(ClientRequest request, Callback done) {
  auto call = std::make_unique<Call>();
  call->id = this->state->next_id++;
  call->request = std::move(request);
  call->done = std::move(done);
  call->handle = this->state->TakeHandle();
  SetOptions(*call);
  CURL* handle = call->handle;
  const CallId id = call->id;
  this->state->handles.emplace(id, handle);
  this->state->calls.emplace(handle, std::move(call));
  curl_multi_add_handle(this->state->multi, handle);
  return id;
}

void HttpClient::Cancel(CallId id) {
  const auto found = this->state->handles.find(id);
  if (found != this->state->handles.end()) {
    this->state->RemoveCall(found->second);
  }
}

}  // namespace cassiakeel::testsuite
