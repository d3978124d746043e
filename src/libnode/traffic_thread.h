#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "call.h"
#include "cassiakeel/base/random.h"
#include "cassiakeel/http/client.h"
#include "cassiakeel/http/server.h"

namespace cassiakeel::node {

/// A thread with an Asio event loop and its own HTTP servers, HTTP client and
/// random number generator. A call stays on the thread on which it arrived.
class TrafficThread {
 public:
  static Result<std::unique_ptr<TrafficThread>> Create(std::uint64_t seed);
  ~TrafficThread();

  /// Adds a server. Must be called before `Run`.
  Result<void> Listen(const http::ServerOptions& options,
                      http::RequestHandler handler);
  /// Starts the thread.
  void Run();
  /// Stops the event loop and joins the thread.
  void Stop();

  template <typename Function>
  void Post(Function&& function) {
    asio::post(this->io_context, std::forward<Function>(function));
  }

  /// Calls `function` on this thread once after `delay`, unless the returned
  /// timer is cancelled first.
  std::shared_ptr<asio::steady_timer> RunAfter(std::chrono::nanoseconds delay,
                                               std::function<void()> function);

  asio::io_context& io() { return this->io_context; }
  http::Client& client() { return *this->http_client; }
  Rng& rng() { return this->random; }

 private:
  explicit TrafficThread(std::uint64_t seed);

  asio::io_context io_context{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_guard;
  Rng random;
  std::unique_ptr<http::Client> http_client;
  std::vector<std::unique_ptr<http::Server>> servers;
  std::thread thread;
};

/// Starts an HTTP exchange. If `sink` is set, a response body larger than
/// `kStreamThresholdBytes` is streamed to it, with the head that `make_head`
/// returns; `on_end` then gets a result without body. Other responses are
/// buffered.
http::ExchangeId StartExchange(
    TrafficThread& thread,
    http::ClientRequest request,
    const std::shared_ptr<const StreamSink>& sink,
    std::function<CallResult(int status, const http::HeaderList&)> make_head,
    std::function<void(http::ExchangeResult, bool streamed)> on_end);

}  // namespace cassiakeel::node
