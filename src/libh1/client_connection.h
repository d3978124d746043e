#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "buffer_budget.h"
#include "cassiakeel/h1/client.h"
#include "echo.h"
#include "parser.h"

namespace cassiakeel::h1::pvt {

class ClientConnection;

/// State shared by a client and its connections.
struct ClientState {
  ClientState(asio::io_context& io_context,
              std::shared_ptr<TimerQueue> timers,
              const ClientOptions& options)
      : io_context(io_context), timers(std::move(timers)), options(options) {}

  asio::io_context& io_context;
  std::shared_ptr<TimerQueue> timers;
  ClientOptions options;
  /// Per peer in the order of release. The last one is reused first, so that
  /// surplus connections reach their idle timeout.
  std::unordered_map<PeerAddress, std::deque<std::shared_ptr<ClientConnection>>>
      idle_connections;
  std::unordered_map<FetchId, std::shared_ptr<ClientConnection>> running;
  FetchId next_id = 1;
  std::uint64_t opened_count = 0;
  BufferBudget buffers;

  void RemoveIdle(const std::shared_ptr<ClientConnection>& connection,
                  const PeerAddress& peer) {
    const auto found = this->idle_connections.find(peer);
    if (found == this->idle_connections.end()) {
      return;
    }
    std::erase(found->second, connection);
    if (found->second.empty()) {
      this->idle_connections.erase(found);
    }
  }
};

/// One connection to a peer: carries one fetch at a time and is idle in
/// between.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(std::shared_ptr<ClientState> client_state, PeerAddress peer);
  void Run(FetchId id, Fetch next, FetchHandler next_handler);

  /// Ends the fetch without calling its handler.
  void Abort();
  void Close();

  /// Whether the connection may carry `next`.
  bool Usable(SteadyTime now, const Fetch& next) const;

  /// Whether bytes have arrived that belong to no request.
  bool HasStrayBytes() const;

 private:
  void Connect();
  void OnConnected(asio::error_code ec);
  void Send();
  // A long request may fill the receive buffer of a peer that does not read it
  // at once. The peer is then given until the deadline.
  void AllowSlowReader(std::size_t request_bytes);
  void OnWritten(asio::error_code ec);
  void WaitForRead();
  void OnReadable();
  void OnEnd(asio::error_code error);
  void Consume(std::string_view bytes);
  void ResetParser();

  /// True if a response that repeats `echo_value` may be a late copy of one to
  /// an earlier request. Rarely also true for another value.
  bool HasCarried(const std::string& echo_value) const;

  /// Which request the parsed response answers.
  Answered AnsweredRequest() const;
  void Deliver(bool reusable);
  void KeepIdle(const HeaderList& headers);
  void Finish(FetchEnd end, std::string message);
  void FinishLater(FetchEnd end, const std::string& message);
  void SetTimeout(SteadyTime due);

  std::shared_ptr<ClientState> client_state;
  PeerAddress peer;
  asio::ip::tcp::socket socket;
  Parser parser;
  BufferShare buffered;
  /// Bytes received since the request was sent.
  std::size_t received_bytes = 0;
  FetchId fetch_id = 0;
  Fetch fetch;
  /// Hashes of the echo values of all requests sent so far.
  std::vector<std::uint32_t> carried;
  FetchHandler handler;
  Timer timeout;
  Timer connect_timeout;
  std::chrono::milliseconds dead_peer_timeout{0};
  SteadyTime idle_since;
  SteadyTime keep_until;
  asio::error_code write_error;
  bool connected = false;
  bool fresh = true;
  bool waiting = false;
  bool writing = false;
  /// The peer has closed its side before the request was written.
  bool ended_while_writing = false;
  bool closed = false;
};

}  // namespace cassiakeel::h1::pvt
