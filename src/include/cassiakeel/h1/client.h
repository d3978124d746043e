#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "cassiakeel/base/error.h"
#include "cassiakeel/h1/message.h"
#include "cassiakeel/h1/timer_queue.h"

namespace cassiakeel::h1 {

/// How a fetch ended.
enum class FetchEnd {
  kComplete,
  /// No byte of the request was handed to the peer.
  kNotSent,
  /// The request may have been received; no whole response came.
  kLost,
  /// As `kLost`, because the time was up.
  kTimeout,
};

struct FetchResult {
  FetchEnd end = FetchEnd::kLost;
  Response response;
  /// What went wrong, empty for `kComplete`.
  std::string message;
  /// The connection was new.
  bool fresh_connection = false;
};

struct Fetch {
  PeerAddress peer;
  Request request;
  /// When to give up.
  SteadyTime deadline;
  /// Responses that carry this field with another value belong to an earlier
  /// request on the connection and are dropped. Empty name: no check.
  std::string echo_field;
  std::string echo_value;
  /// Use a kept connection only if it was idle for less than this. Reusing one
  /// that the peer is about to close makes the outcome unknown.
  std::chrono::milliseconds max_idle{1000000};
};

using FetchId = std::uint64_t;
using FetchHandler = std::function<void(FetchResult)>;

struct ClientOptions {
  std::chrono::milliseconds connect_timeout{250};
  /// Kept connections are closed after this time without use.
  std::chrono::milliseconds idle_timeout{4000};
  /// Bytes unacknowledged for this time break the connection (TCP_USER_TIMEOUT)
  /// and idle connections are probed after a third of it.
  std::chrono::milliseconds dead_peer_timeout{1500};
  /// Kept connections per peer.
  std::size_t max_kept = 64;
  MessageLimits limits;
};

/// HTTP/1.1 client for one Asio thread, with kept connections per peer. Each
/// request is written at most once; a connection that broke before the response
/// is reported and nothing is repeated.
class Client {
 public:
  static std::unique_ptr<Client> Create(asio::io_context& io_context,
                                        std::shared_ptr<TimerQueue> timers,
                                        const ClientOptions& options);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// `handler` runs exactly once, never from within `Start`, unless the fetch
  /// is cancelled.
  FetchId Start(Fetch fetch, FetchHandler handler);
  /// Closes the connection of a running fetch; its handler does not run.
  void Cancel(FetchId id);
  /// Closes kept connections to a peer, because they may lead to a process
  /// that is gone.
  void DropKept(const PeerAddress& peer);
  /// Connections opened since the start.
  std::uint64_t connections_opened() const;

 private:
  class Impl;
  explicit Client(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl;
};

}  // namespace cassiakeel::h1
