#include "cassiakeel/http/server.h"

#include <charconv>
#include <mutex>
#include <restinio/all.hpp>
#include <unordered_map>

#include "cassiakeel/syntax/scan.h"

namespace cassiakeel::http {
namespace {

/// Calls a callback when a connection is closed, so that work for its request
/// can be cancelled.
class ConnectionListener {
 public:
  void Add(restinio::connection_id_t id, std::function<void()> callback) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->callbacks[id] = std::move(callback);
  }

  void Remove(restinio::connection_id_t id) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->callbacks.erase(id);
  }

  // Called by RESTinio.
  void state_changed(
      const restinio::connection_state::notice_t& notice) noexcept {
    if (!restinio::holds_alternative<restinio::connection_state::closed_t>(
            notice.cause())) {
      return;
    }
    std::function<void()> callback;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      const auto found = this->callbacks.find(notice.connection_id());
      if (found == this->callbacks.end()) {
        return;
      }
      callback = std::move(found->second);
      this->callbacks.erase(found);
    }
    callback();
  }

 private:
  std::mutex mutex;
  std::unordered_map<restinio::connection_id_t, std::function<void()>>
      callbacks;
};

/// Checks the requests that are read through it. RESTinio's parser accepts more
/// than the grammar allows. At the first violation the connection is closed as
/// after a read error.
class CheckedSocket : public asio::ip::tcp::socket {
 public:
  using asio::ip::tcp::socket::socket;

  // Called by RESTinio, which keeps the socket until the handler has run.
  template <typename Buffer, typename Handler>
  void async_read_some(const Buffer& buffer, Handler handler) {
    const auto executor = asio::get_associated_executor(handler);
    asio::ip::tcp::socket::async_read_some(
        buffer, asio::bind_executor(executor, [this, buffer,
                                               handler = std::move(handler)](
                                                  asio::error_code error,
                                                  std::size_t size) mutable {
          if (!error &&
              !this->Check({static_cast<const char*>(buffer.data()), size})) {
            this->Reject();
            error = asio::error::invalid_argument;
          }
          handler(error, size);
        }));
  }

 private:
  bool Check(std::string_view bytes) {
    while (!bytes.empty()) {
      if (this->scan.part == syntax::ScanPart::kComplete) {
        this->scan = NewScan();
        this->is_first = false;
      }
      const auto step = syntax::Advance(this->scan, bytes);
      if (!step) {
        return false;
      }
      bytes.remove_prefix(step->used);
    }
    return true;
  }

  // Behind another request, the response could be taken for the response to
  // that one.
  void Reject() {
    if (this->is_first) {
      asio::error_code ignored;
      this->write_some(asio::buffer(kBadRequest.data(), kBadRequest.size()),
                       ignored);
    }
  }

  static syntax::Scan NewScan() {
    syntax::Scan scan;
    scan.kind = syntax::MessageKind::kRequest;
    return scan;
  }

  static constexpr std::string_view kBadRequest =
      "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n"
      "Connection: close\r\n\r\n";

  syntax::Scan scan = NewScan();
  /// No request has been read before the one that `scan` checks.
  bool is_first = true;
};

struct Traits : public restinio::default_single_thread_traits_t {
  using connection_state_listener_t = ConnectionListener;
  using stream_socket_t = CheckedSocket;
};

using RestinioServer = restinio::http_server_t<Traits>;

restinio::http_status_line_t StatusLine(int status) {
  static const std::unordered_map<int, const char*> kPhrases = {
      {200, "OK"},
      {201, "Created"},
      {204, "No Content"},
      {400, "Bad Request"},
      {404, "Not Found"},
      {405, "Method Not Allowed"},
      {409, "Conflict"},
      {413, "Payload Too Large"},
      {429, "Too Many Requests"},
      {431, "Request Header Fields Too Large"},
      {500, "Internal Server Error"},
      {502, "Bad Gateway"},
      {503, "Service Unavailable"},
      {504, "Gateway Timeout"},
      {508, "Loop Detected"}};
  const auto found = kPhrases.find(status);
  return restinio::http_status_line_t(
      restinio::http_status_code_t(static_cast<std::uint16_t>(status)),
      found == kPhrases.end() ? "Status" : found->second);
}

class RestinioResponder final : public Responder {
 public:
  RestinioResponder(restinio::request_handle_t request,
                    std::shared_ptr<ConnectionListener> listener)
      : request(std::move(request)), listener(std::move(listener)) {}

  ~RestinioResponder() override {
    this->listener->Remove(this->request->connection_id());
  }

  void Send(int status, HeaderList headers, std::string body) override {
    this->listener->Remove(this->request->connection_id());
    const bool to_head =
        this->request->header().method() == restinio::http_method_head();
    if (!syntax::MayHaveContent(status, to_head)) {
      this->SendWithoutContent(status, headers);
      return;
    }
    auto response = this->request->create_response(StatusLine(status));
    this->ApplyHeaders(response, headers);
    response.set_body(std::move(body));
    response.done();
  }

  void Begin(int status,
             HeaderList headers,
             std::size_t content_length) override {
    this->stream = std::make_unique<StreamBuilder>(
        this->request->create_response<restinio::user_controlled_output_t>(
            StatusLine(status)));
    // RESTinio decides on keep-alive when it sends the header, before it is
    // known whether the response will be complete. Since the connection is
    // always closed, the receiver detects an early end as a truncated response.
    this->stream->connection_close();
    this->stream->set_content_length(content_length);
    this->ApplyHeaders(*this->stream, headers);
  }

  void Write(std::string part, std::function<void()> on_written) override {
    this->stream->append_body(std::move(part));
    this->stream->flush(
        [on_written = std::move(on_written)](const auto& error) {
          if (!error) {
            on_written();
          }
        });
  }

  void End() override {
    this->listener->Remove(this->request->connection_id());
    this->stream->done();
  }

  void OnPeerClosed(std::function<void()> callback) override {
    this->listener->Add(this->request->connection_id(), std::move(callback));
  }

 private:
  using StreamBuilder =
      restinio::response_builder_t<restinio::user_controlled_output_t>;

  // The builders of RESTinio write a length into each response, which a 204
  // must not have and which would be wrong for HEAD and 304.
  void SendWithoutContent(int status, const HeaderList& headers) {
    restinio::http_response_header_t header(StatusLine(status));
    const bool keep_alive = this->request->header().should_keep_alive();
    header.should_keep_alive(keep_alive);
    for (const auto& [name, value] : headers) {
      header.append_field(name, value);
    }
    restinio::writable_items_container_t items;
    items.emplace_back(restinio::impl::create_header_string(
        header,
        restinio::impl::content_length_field_presence_t::skip_content_length));
    auto connection =
        std::move(restinio::impl::access_req_connection(*this->request));
    connection->write_response_parts(
        this->request->request_id(),
        restinio::response_output_flags_t{
            restinio::response_parts_attr_t::final_parts,
            restinio::response_connection_attr(keep_alive)},
        restinio::write_group_t{std::move(items)});
  }

  template <typename Response>
  void ApplyHeaders(Response& response, const HeaderList& headers) {
    if (!this->request->header().should_keep_alive()) {
      response.connection_close();
    }
    for (const auto& [name, value] : headers) {
      response.append_header(name, value);
    }
  }

  restinio::request_handle_t request;
  std::shared_ptr<ConnectionListener> listener;
  std::unique_ptr<StreamBuilder> stream;
};

ServerRequest MakeRequest(const restinio::request_handle_t& handle,
                          const std::shared_ptr<ConnectionListener>& listener) {
  ServerRequest request;
  const auto& header = handle->header();
  request.method = header.method().c_str();
  const std::string& target = header.request_target();
  const auto query_mark = target.find('?');
  request.path = target.substr(0, query_mark);
  if (query_mark != std::string::npos) {
    request.query = target.substr(query_mark + 1);
  }
  header.for_each_field([&request](const auto& field) {
    request.headers.emplace_back(field.name(), field.value());
  });
  request.body = handle->body();
  request.responder = std::make_shared<RestinioResponder>(handle, listener);
  return request;
}

}  // namespace

class Server::Impl {
 public:
  Impl(asio::io_context& io,
       const ServerOptions& options,
       const HostPort& host_port,
       RequestHandler handler)
      : listener(std::make_shared<ConnectionListener>()),
        server(restinio::external_io_context(io),
               this->Settings(options, host_port, std::move(handler))) {}

  void Open() { this->server.open_sync(); }
  void Close() { this->server.close_sync(); }

 private:
  restinio::server_settings_t<Traits> Settings(const ServerOptions& options,
                                               const HostPort& host_port,
                                               RequestHandler handler) {
    restinio::server_settings_t<Traits> settings;
    settings.address(host_port.host)
        .port(host_port.port)
        .read_next_http_message_timelimit(options.idle_timeout)
        // The node applies its own time limits to request handling. RESTinio's
        // limit would close the connection without a response.
        .handle_request_timeout(std::chrono::hours(1))
        .write_http_response_timelimit(std::chrono::minutes(10))
        // With a limit above 1, RESTinio continues to read while a request is
        // handled and so detects that the peer closed the connection.
        .max_pipelined_requests(2)
        .concurrent_accepts_count(4)
        .buffer_size(16U << 10U)
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t{}
                .max_url_size(options.max_header_bytes)
                .max_field_name_size(256)
                .max_field_value_size(options.max_header_bytes)
                .max_field_count(128)
                .max_body_size(options.max_body_bytes))
        .acceptor_options_setter([](auto& acceptor) {
          acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
          acceptor.set_option(
              asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(
                  true));
        })
        .socket_options_setter([](auto& socket) {
          socket.set_option(asio::ip::tcp::no_delay(true));
        })
        .connection_state_listener(this->listener)
        .request_handler(
            [listener = this->listener,
             handler = std::move(handler)](restinio::request_handle_t request) {
              handler(MakeRequest(request, listener));
              return restinio::request_accepted();
            });
    return settings;
  }

  std::shared_ptr<ConnectionListener> listener;
  RestinioServer server;
};

Result<HostPort> ParseHostPort(const PeerAddress& address) {
  const std::string& text = address.Value();
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return Fail("parse address", "\"" + text + "\" is not of the form IP:port");
  }
  HostPort parsed;
  parsed.host = text.substr(0, colon);
  const char* end = text.data() + text.size();
  const auto [rest, error] =
      std::from_chars(text.data() + colon + 1, end, parsed.port);
  if (error != std::errc() || rest != end) {
    return Fail("parse address",
                "\"" + text + "\" has no valid port (0 to 65535)");
  }
  return parsed;
}

Result<std::unique_ptr<Server>> Server::Create(asio::io_context& io_context,
                                               const ServerOptions& options,
                                               RequestHandler handler) {
  const auto host_port = ParseHostPort(options.listen);
  if (!host_port) {
    return tl::make_unexpected(host_port.error());
  }
  try {
    auto impl = std::make_unique<Impl>(io_context, options, *host_port,
                                       std::move(handler));
    impl->Open();
    return std::unique_ptr<Server>(new Server(std::move(impl)));
  } catch (const std::exception& exception) {
    return Fail("listen", exception.what(), options.listen);
  }
}

Server::Server(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}
Server::~Server() = default;

void Server::Close() {
  this->impl->Close();
}

}  // namespace cassiakeel::http
