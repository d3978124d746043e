#include "router.h"

#include <string_view>

namespace cassiakeel::node {
namespace {

constexpr std::string_view kOperationPrefix = "/cassiakeel/v1/";
constexpr std::string_view kForwardedCallPrefix = "/cassiakeel/v1/call";

Route SplitService(RouteKind kind, std::string_view path) {
  Route route;
  if (path.empty() || path.front() != '/') {
    return route;
  }
  path.remove_prefix(1);
  const auto slash = path.find('/');
  route.service = path.substr(0, slash);
  if (route.service.empty()) {
    return route;
  }
  route.kind = kind;
  route.path = slash == std::string_view::npos ? "/" : path.substr(slash);
  return route;
}

}  // namespace

Route ParseRoute(const std::string& path) {
  if (path.starts_with(kForwardedCallPrefix) &&
      path.size() > kForwardedCallPrefix.size() &&
      path[kForwardedCallPrefix.size()] == '/') {
    return SplitService(
        RouteKind::kForwardedCall,
        std::string_view(path).substr(kForwardedCallPrefix.size()));
  }
  if (path.starts_with(kOperationPrefix)) {
    return {RouteKind::kOperation, "", path.substr(kOperationPrefix.size())};
  }
  if (path == "/metrics") {
    return {RouteKind::kOperation, "", "metrics"};
  }
  return SplitService(RouteKind::kCall, path);
}

}  // namespace cassiakeel::node
