#include "http_server.h"

#include <fmt/format.h>

#include <charconv>
#include <exception>
#include <restinio/all.hpp>
#include <utility>

namespace cassiakeel::testsuite {

namespace {

constexpr std::chrono::minutes kIdleTimeout(10);
/// Long, because requests may wait in the queue of a test double or take
/// minutes of work.
constexpr std::chrono::minutes kHandlingTimeout(10);

class CloseListener {
 public:
  explicit CloseListener(HttpServer::OnClosed on_closed)
      : on_closed(std::move(on_closed)) {}

  // RESTinio requires this name and signature.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void state_changed(
      const restinio::connection_state::notice_t& notice) noexcept {
    if (this->on_closed &&
        restinio::holds_alternative<restinio::connection_state::closed_t>(
            notice.cause())) {
      this->on_closed(notice.connection_id());
    }
  }

 private:
  HttpServer::OnClosed on_closed;
};

struct Traits
    : public restinio::single_thread_traits_t<restinio::asio_timer_manager_t,
                                              restinio::null_logger_t> {
  // NOLINTNEXTLINE(readability-identifier-naming)
  using connection_state_listener_t = CloseListener;
};

using Server = restinio::http_server_t<Traits>;

ServerRequest ToRequest(const restinio::request_handle_t& handle) {
  const auto& header = handle->header();
  ServerRequest request;
  request.method = header.method().c_str();
  request.path = std::string(header.path());
  request.query = std::string(header.query());
  for (const auto& field : header) {
    request.headers.emplace_back(field.name(), field.value());
  }
  request.body = handle->body();
  request.connection = handle->connection_id();
  return request;
}

void Send(const restinio::request_handle_t& handle,
          const ServerResponse& response) {
  auto builder = handle->create_response(restinio::http_status_line_t(
      restinio::http_status_code_t(static_cast<std::uint16_t>(response.status)),
      "Status"));
  for (const auto& [name, value] : response.headers) {
    builder.append_header(name, value);
  }
  builder.set_body(response.body).done();
}

}  // namespace

struct HttpServer::State {
  std::unique_ptr<Server> server;
};

HttpServer::HttpServer(std::unique_ptr<State> state)
    : state(std::move(state)) {}

HttpServer::~HttpServer() {
  this->state->server->close_sync();
}

Result<std::unique_ptr<HttpServer>> HttpServer::Create(
    asio::io_context& context,
    const std::string& address,
    Handler handler,
    OnClosed on_closed) {
  const auto colon = address.rfind(':');
  int port = 0;
  if (colon == std::string::npos ||
      std::from_chars(address.data() + colon + 1,
                      address.data() + address.size(), port)
              .ec != std::errc()) {
    return Fail("listen", "the address must be IP:port, got " + address);
  }
  auto state = std::make_unique<State>();
  state->server = std::make_unique<Server>(
      restinio::external_io_context(context), [&](auto& settings) {
        settings.port(static_cast<std::uint16_t>(port))
            .address(address.substr(0, colon))
            .read_next_http_message_timelimit(kIdleTimeout)
            .handle_request_timeout(kHandlingTimeout)
            // With a limit of 1, RESTinio does not read while a request is
            // handled and so does not notice that the caller closed.
            .max_pipelined_requests(2)
            .socket_options_setter([](restinio::socket_options_t& options) {
              options.set_option(asio::ip::tcp::no_delay(true));
            })
            .connection_state_listener(
                std::make_shared<CloseListener>(std::move(on_closed)))
            .request_handler([handler = std::move(handler)](
                                 const restinio::request_handle_t& handle) {
              handler(ToRequest(handle), [handle](const ServerResponse& reply) {
                Send(handle, reply);
              });
              return restinio::request_accepted();
            });
      });
  try {
    state->server->open_sync();
  } catch (const std::exception& error) {
    return Fail("listen", error.what(), PeerAddress(address));
  }
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

std::string UrlDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    int byte = 0;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(text.data() + i + 1, text.data() + i + 3, byte, 16)
                .ptr == text.data() + i + 3) {
      decoded += static_cast<char>(byte);
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::string QueryValue(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    if (pair.starts_with(name) && pair.substr(name.size()).starts_with('=')) {
      return UrlDecode(pair.substr(name.size() + 1));
    }
  }
  return {};
}

}  // namespace cassiakeel::testsuite
