#pragma once

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cassiakeel::testsuite {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// Value of the first field with this name, ignoring case; empty if absent.
std::string_view FindHeader(const HeaderList& headers, std::string_view name);

/// One HTTP call.
struct ClientRequest {
  std::string method = "GET";
  /// "IP:port".
  std::string address;
  /// Path and query.
  std::string target;
  HeaderList headers = {};
  std::string body = {};
  std::chrono::milliseconds timeout{1000};
};

/// Result of a call at the transport level.
enum class Transfer {
  /// A complete answer with a status.
  kComplete,
  /// No connection was made; nothing was sent.
  kNotSent,
  kTimeout,
  /// The connection broke, or the answer was malformed or truncated.
  kBroken,
};

struct ClientResponse {
  Transfer transfer = Transfer::kBroken;
  int status = 0;
  HeaderList headers;
  std::string body;
};

/// Asynchronous HTTP/1.1 client: a libcurl multi handle driven by Asio. Each
/// call is sent at most once: libcurl's automatic resend over a new connection
/// is aborted, because it would run work twice and report the wrong failure.
/// Must be used only from the thread that runs `context`.
class HttpClient {
 public:
  using Callback = std::function<void(ClientResponse)>;
  using CallId = std::uint64_t;

  /// Opens at most `connections_per_host` connections to one address; further
  /// calls wait in FIFO order. 0 means no bound.
  explicit HttpClient(asio::io_context& context, int connections_per_host = 0);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts a call; `done` is called later, exactly once unless cancelled.
  CallId Send(ClientRequest request, Callback done);
  /// Closes the connection of the call; its `done` is not called.
  void Cancel(CallId id);

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace cassiakeel::testsuite
