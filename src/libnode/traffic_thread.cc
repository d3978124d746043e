#include "traffic_thread.h"

#include <charconv>

namespace cassiakeel::node {
namespace {

/// State of a response that may be streamed.
struct StreamState {
  bool streaming = false;
  bool writing = false;
  http::ExchangeId exchange = 0;
  std::string buffered;
};

std::size_t ContentLength(const http::HeaderList& headers) {
  std::size_t length = 0;
  if (const auto* text = http::FindHeader(headers, "Content-Length")) {
    std::from_chars(text->data(), text->data() + text->size(), length);
  }
  return length;
}

}  // namespace

TrafficThread::TrafficThread(std::uint64_t seed)
    : work_guard(asio::make_work_guard(this->io_context)), random(seed) {}

Result<std::unique_ptr<TrafficThread>> TrafficThread::Create(
    std::uint64_t seed) {
  std::unique_ptr<TrafficThread> thread(new TrafficThread(seed));
  auto client = http::Client::Create(thread->io_context);
  if (!client) {
    return tl::make_unexpected(client.error());
  }
  thread->http_client = *std::move(client);
  return thread;
}

TrafficThread::~TrafficThread() {
  this->Stop();
}

Result<void> TrafficThread::Listen(const http::ServerOptions& options,
                                   http::RequestHandler handler) {
  auto server =
      http::Server::Create(this->io_context, options, std::move(handler));
  if (!server) {
    return tl::make_unexpected(server.error());
  }
  this->servers.push_back(*std::move(server));
  return {};
}

void TrafficThread::Run() {
  this->thread = std::thread([this] { this->io_context.run(); });
}

void TrafficThread::Stop() {
  if (!this->thread.joinable()) {
    return;
  }
  this->Post([this] {
    for (const auto& server : this->servers) {
      server->Close();
    }
    this->work_guard.reset();
    this->io_context.stop();
  });
  this->thread.join();
}

std::shared_ptr<asio::steady_timer> TrafficThread::RunAfter(
    std::chrono::nanoseconds delay,
    std::function<void()> function) {
  auto timer = std::make_shared<asio::steady_timer>(this->io_context);
  timer->expires_after(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(delay));
  timer->async_wait(
      [timer, function = std::move(function)](const asio::error_code& error) {
        if (!error) {
          function();
        }
      });
  return timer;
}

http::ExchangeId StartExchange(
    TrafficThread& thread,
    http::ClientRequest request,
    const std::shared_ptr<const StreamSink>& sink,
    std::function<CallResult(int status, const http::HeaderList&)> make_head,
    std::function<void(http::ExchangeResult, bool streamed)> on_end) {
  http::ExchangeHandler handler;
  auto stream = std::make_shared<StreamState>();
  handler.on_end = [stream,
                    on_end = std::move(on_end)](http::ExchangeResult result) {
    if (!stream->buffered.empty()) {
      result.body = std::move(stream->buffered);
    }
    on_end(std::move(result), stream->streaming);
  };
  if (sink) {
    handler.on_start = [stream, sink, make_head = std::move(make_head)](
                           int status, const http::HeaderList& headers) {
      const std::size_t length = ContentLength(headers);
      if (length > kStreamThresholdBytes) {
        stream->streaming = true;
        sink->start(make_head(status, headers), length);
      }
    };
    handler.on_data = [stream, sink, &thread](std::string_view data) {
      if (!stream->streaming) {
        stream->buffered.append(data);
        return true;
      }
      if (stream->writing) {
        return false;
      }
      stream->writing = true;
      sink->write(std::string(data), [stream, &thread] {
        stream->writing = false;
        thread.client().Resume(stream->exchange);
      });
      return true;
    };
  }
  stream->exchange =
      thread.client().Start(std::move(request), std::move(handler));
  return stream->exchange;
}

}  // namespace cassiakeel::node
