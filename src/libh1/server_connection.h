#pragma once

#include <asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "cassiakeel/h1/server.h"
#include "memory_account.h"
#include "parser.h"
#include "socket_io.h"

namespace cassiakeel::h1::pvt {

class ServerConnection;

/// State shared by a server and its connections.
struct ServerState {
  std::shared_ptr<TimerQueue> timers;
  const ServerLimits& limits;
  ExchangeHandler handler;
  std::shared_ptr<MemoryAccount> memory;
  PeerAddress listen;
  std::set<std::shared_ptr<ServerConnection>> connections{};
  std::size_t in_progress = 0;
  bool announce_close = false;
  bool stopped = false;
};

/// One connection of a client: reads a request, hands it to the handler, writes
/// the response, and begins again.
class ServerConnection : public MemoryHolder,
                         public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(asio::ip::tcp::socket socket,
                   std::shared_ptr<ServerState> shared);
  ~ServerConnection() override;
  void Start();
  void Send(Response response, bool close);
  bool busy() const;

  /// Serves a request that has arrived completely and waits for one that is
  /// about to arrive; otherwise closes the connection.
  void ServeOrClose();
  void Close();

  ConnectionUse Use() const override;
  void CloseForMemory(ServerLimit limit) override;

 private:
  class ServedExchange;

  void WaitForRead();
  void OnReadable();
  void Consume(std::string_view bytes);
  void SendContinue();
  void Serve();
  // Whether the request that is being read fits into the memory.
  bool FitsMemory();
  void Reject(int status);
  void Write(Response response);
  void WriteOn();
  void WaitForWrite();
  void OnWritten(asio::error_code ec);
  void ConsumeReadAhead();
  // Counts moved bytes as progress, see `kProgressBytes`.
  void RecordProgress(std::size_t bytes);
  void UpdateCharge();

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
  /// Bytes of the request that is being read, of later ones, and of the
  /// response that is being written.
  MemoryCharge held;
  std::string read_ahead;
  OutgoingMessage outgoing;
  std::shared_ptr<ServedExchange> active;
  Timer timeout;
  /// Time of the last read, at first the time of the accept.
  SteadyTime last_read;
  SteadyTime last_progress;
  /// Bytes moved since `last_progress`.
  std::size_t moved_bytes = 0;
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
