#pragma once

#include <string>

namespace cassiakeel::node {

/// Meaning of a path on the traffic port or the local port.
enum class RouteKind {
  kCall,
  /// A call forwarded by another node.
  kForwardedCall,
  /// An operation of the node itself.
  kOperation,
  kMalformed,
};

struct Route {
  RouteKind kind = RouteKind::kMalformed;
  /// Service of a call.
  std::string service;
  /// Path after the service name, or the operation such as "status" or
  /// "attempts/<id>".
  std::string path;
};

/// Parses the path of a request.
Route ParseRoute(const std::string& path);

}  // namespace cassiakeel::node
