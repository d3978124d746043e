#pragma once

#include <memory>

#include "cassiakeel/base/error.h"
#include "cassiakeel/node/settings.h"

namespace cassiakeel::node {

/// The node that runs next to one backend server instance. It accepts calls
/// from callers and from the backend server, forwards calls to other nodes, and
/// runs the control thread (membership, policy distribution, leases).
///
/// `Create` binds all ports. `Run` serves until SIGTERM or SIGINT, then drains
/// and returns once no call is in flight or `shutdown_grace` has passed.
class Node {
 public:
  static Result<std::unique_ptr<Node>> Create(const NodeSettings& settings);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  void Run();

 private:
  class Impl;
  explicit Node(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl;
};

}  // namespace cassiakeel::node
