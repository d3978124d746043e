#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "cassiakeel/base/error.h"
#include "cassiakeel/http/message.h"

namespace cassiakeel::http {

/// A request to one peer. The body is shared because attempts at several peers
/// send the same bytes.
struct ClientRequest {
  std::string method;
  PeerAddress peer;
  /// Path and query.
  std::string target;
  HeaderList headers;
  std::shared_ptr<const std::string> body;
  /// Limit for the whole exchange, including connecting.
  std::chrono::milliseconds timeout{1000};
  std::chrono::milliseconds connect_timeout{250};
  /// Longest time without a received byte in a streamed response; bounds how
  /// long a silent connection holds a long transfer.
  std::chrono::seconds stall_timeout{10};
  /// Whether the connection may carry another request after a response with
  /// these fields; if empty, it may after each.
  std::function<bool(const HeaderList& headers)> keeps_connection = {};
};

/// How an exchange ended.
enum class ExchangeEnd {
  kComplete,
  /// No byte of the request was written to a connection.
  kNotSent,
  /// The request may have been received, but no complete response arrived.
  kNoResponse,
  /// As `kNoResponse`, because the time limit passed.
  kTimeout,
  kCancelled,
};

/// Result of an exchange. `status` is 0 if no status line was received; `body`
/// is empty if the body was streamed to `on_data`.
struct ExchangeResult {
  ExchangeEnd end = ExchangeEnd::kNoResponse;
  int status = 0;
  HeaderList headers;
  std::string body;
  std::string error;
};

/// Identifies a running exchange; unique within one client.
using ExchangeId = std::uint64_t;

/// Callbacks of an exchange, called on the client's thread. With `on_start` and
/// `on_data` set, the body is streamed. `on_data` returns false to pause the
/// transfer; after `Client::Resume` it gets the same chunk again.
struct ExchangeHandler {
  std::function<void(ExchangeResult)> on_end;
  std::function<void(int status, const HeaderList& headers)> on_start;
  std::function<bool(std::string_view chunk)> on_data;
};

/// HTTP/1.1 client for one Asio thread, based on libcurl's multi interface. A
/// response with more than 64 KiB of header, or with more than 16 MiB of body
/// that is not streamed, ends with `kNoResponse`. The client
/// reuses connections and sends each request at most once: libcurl's automatic
/// retry on a failed connection is prevented, because the server may already
/// have processed the first copy.
///
/// All members must be called on the thread of `io_context`.
class Client {
 public:
  /// Fails if libcurl cannot be set up.
  static Result<std::unique_ptr<Client>> Create(asio::io_context& io_context);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  ExchangeId Start(ClientRequest request, ExchangeHandler handler);
  /// Ends the exchange and closes its connection; `on_end` gets `kCancelled`.
  void Cancel(ExchangeId id);
  void Resume(ExchangeId id);

 private:
  class Impl;
  explicit Client(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl;
};

}  // namespace cassiakeel::http
