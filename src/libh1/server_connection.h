#pragma once

#include <asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "buffer_budget.h"
#include "cassiakeel/h1/server.h"
#include "parser.h"

namespace cassiakeel::h1::pvt {

class ServerConnection;

/// State shared by a server and its connections.
struct ServerState {
  std::shared_ptr<TimerQueue> timers;
  const ServerLimits& limits;
  ExchangeHandler handler;
  std::set<std::shared_ptr<ServerConnection>> connections;
  std::size_t in_progress = 0;
  BufferBudget buffers;
  bool announce_close = false;
  bool stopped = false;
};

/// One connection of a client: reads a request, hands it to the handler, writes
/// the response, and begins again.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(asio::ip::tcp::socket socket,
                   std::shared_ptr<ServerState> shared);
  void Start();
  void Send(Response response, bool close);
  bool busy() const;

  /// Serves a request that has arrived completely and waits for one that is
  /// about to arrive; otherwise closes the connection.
  void ServeOrClose();
  void Close();

 private:
  class ServedExchange;

  void WaitForRead();
  void OnReadable();
  void Consume(std::string_view bytes);
  void SendContinue();
  void Serve();
  void Reject(int status);
  void Write(Response response);
  void OnWritten(asio::error_code ec);

  /// If unread bytes remain at close, the kernel resets the connection and the
  /// peer may lose the response. So this shuts down the sending side and reads
  /// what has arrived before it closes the socket.
  void ShutDownAndClose();
  void EndExchange(bool peer_closed);
  void SetTimeout(std::chrono::milliseconds after);
  void OnTimeout();

  asio::ip::tcp::socket socket;
  std::shared_ptr<ServerState> shared;
  Parser parser;
  BufferShare buffered;
  std::string read_ahead;
  std::shared_ptr<ServedExchange> active;
  Timer timeout;
  /// Time of the last read, at first the time of the accept.
  SteadyTime last_read;
  bool has_served = false;
  bool waiting = false;
  bool writing = false;
  bool closed = false;
  bool keep_alive = true;
  bool close_after_response = false;
  bool head_request = false;
  bool continue_sent = false;
};

}  // namespace cassiakeel::h1::pvt
