#pragma once

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "cassiakeel/base/error.h"
#include "http_client.h"

namespace cassiakeel::testsuite {

struct ServerRequest {
  std::string method;
  /// Path as sent, without the query.
  std::string path;
  std::string query;
  HeaderList headers;
  std::string body;
  /// Id that distinguishes the connections of this process.
  std::uint64_t connection = 0;
};

struct ServerResponse {
  int status = 200;
  std::string body = {};
  HeaderList headers = {};
};

/// Sends the answer to one request; called at most once. If it is destroyed
/// without a call, the caller gets no answer and times out.
using Responder = std::function<void(const ServerResponse&)>;

/// Minimal single-threaded HTTP server based on RESTinio.
class HttpServer {
 public:
  using Handler = std::function<void(ServerRequest, Responder)>;
  /// Called when either side closed a connection; answers to its requests in
  /// progress can no longer be delivered.
  using OnClosed = std::function<void(std::uint64_t connection)>;

  /// Listens on `address` ("IP:port").
  static Result<std::unique_ptr<HttpServer>> Create(asio::io_context& context,
                                                    const std::string& address,
                                                    Handler handler,
                                                    OnClosed on_closed = {});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

 private:
  struct State;
  explicit HttpServer(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

/// Decodes percent escapes; malformed escapes are kept unchanged.
std::string UrlDecode(std::string_view text);

/// Decoded value of `name` in a query string; empty if absent.
std::string QueryValue(std::string_view query, std::string_view name);

}  // namespace cassiakeel::testsuite
