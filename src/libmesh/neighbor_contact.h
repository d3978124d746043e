#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

#include "cassiakeel/h1/client.h"
#include "cassiakeel/h1/timer_queue.h"
#include "cassiakeel/mesh/backend.h"

namespace cassiakeel::mesh::pvt {

/// Path on which a node accepts the contact of another node.
inline constexpr const char* kContactPath = "/cassiakeel/v1/contact";
/// Field of the response if the node that was contacted asks for state.
inline constexpr const char* kNeedsStateField = "Ck-Needs-State";

/// The node that follows `after` in the cyclic order of the directory, other
/// than `own`; null if there is none.
const DirectoryEntry* NextNode(const Directory& directory,
                               const NodeId& after,
                               const NodeId& own);

/// Contacts the next node of the directory once a second. A node that starts
/// while the store is away knows no other node, and asks those that contact it
/// for state; it may get no calls, for example because its backend server has
/// left. Runs on the control thread.
class NeighborContact {
 public:
  /// Called with the address of a node that asks for state.
  using StateRequestHandler = std::function<void(const PeerAddress& address)>;

  static std::unique_ptr<NeighborContact> Create(
      asio::io_context& io_context,
      std::shared_ptr<h1::TimerQueue> timers,
      NodeId own,
      StateRequestHandler on_state_request);

  /// Sets the nodes to contact. The first call starts the contacts.
  void SetDirectory(std::shared_ptr<const Directory> next);

 private:
  NeighborContact(asio::io_context& io_context,
                  std::shared_ptr<h1::TimerQueue> timers,
                  NodeId own,
                  StateRequestHandler on_state_request);
  // Contacts the node that follows `after`, or one behind it if that fails.
  void Contact(const NodeId& after, int attempts_left);
  void ScheduleNext();

  std::shared_ptr<h1::TimerQueue> timers;
  std::unique_ptr<h1::Client> client;
  NodeId own;
  StateRequestHandler on_state_request;
  std::shared_ptr<const Directory> directory;
  h1::Timer timer;
};

}  // namespace cassiakeel::mesh::pvt
