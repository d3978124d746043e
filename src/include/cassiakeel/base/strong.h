#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace cassiakeel {

/// Distinguishes values of the same representation, so that a service name
/// cannot be passed where a node id is expected. `Tag` is any distinct type.
/// Construction is explicit; `Value()` gives the representation back.
template <typename Rep, typename Tag>
class Strong {
 public:
  Strong() = default;
  explicit Strong(Rep rep) : rep(std::move(rep)) {}

  const Rep& Value() const { return this->rep; }

  friend auto operator<=>(const Strong& a, const Strong& b) {
    return a.rep <=> b.rep;
  }
  friend bool operator==(const Strong&, const Strong&) = default;
  friend std::ostream& operator<<(std::ostream& out, const Strong& strong) {
    return out << strong.rep;
  }

 private:
  Rep rep{};
};

/// Id of a node, unique among all nodes of a deployment, from its settings.
using NodeId = Strong<std::string, struct NodeIdTag>;
/// Name of a service, the first path segment of a call.
using ServiceName = Strong<std::string, struct ServiceNameTag>;
/// Name of a tenant: a party whose callers share keys and an allotment.
using TenantName = Strong<std::string, struct TenantNameTag>;
/// Name of an availability zone.
using ZoneName = Strong<std::string, struct ZoneNameTag>;
/// Name of a region.
using RegionName = Strong<std::string, struct RegionNameTag>;
/// "IP:port" of a process.
using PeerAddress = Strong<std::string, struct PeerAddressTag>;
/// Id of a request tree: the trace id of W3C Trace Context, 32 hex digits.
using RequestId = Strong<std::string, struct RequestIdTag>;
/// Id of one attempt at one hop.
using AttemptId = Strong<std::string, struct AttemptIdTag>;
/// Value of the `Idempotency-Key` header.
using IdempotencyKey = Strong<std::string, struct IdempotencyKeyTag>;
/// Name of a request kind, unique within its service.
using KindName = Strong<std::string, struct KindNameTag>;
/// Version of the policy in force; 0 stands for none.
using PolicyVersion = Strong<std::uint64_t, struct PolicyVersionTag>;
/// Fencing number of a node's process; a successor on the same address has a
/// higher one.
using Incarnation = Strong<std::uint64_t, struct IncarnationTag>;
/// Count of requests that a backend server handles at the same time.
using Slots = Strong<int, struct SlotsTag>;
/// Share in percent, 0 to 100.
using Percent = Strong<int, struct PercentTag>;

}  // namespace cassiakeel

template <typename Rep, typename Tag>
struct std::hash<cassiakeel::Strong<Rep, Tag>> {
  std::size_t operator()(const cassiakeel::Strong<Rep, Tag>& strong) const {
    return std::hash<Rep>()(strong.Value());
  }
};
