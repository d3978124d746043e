#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cassiakeel/base/request_class.h"
#include "cassiakeel/base/strong.h"

namespace cassiakeel::policy {

/// Service-level objective of a request kind.
struct Objective {
  /// Share of requests that must succeed within `latency`, 0 to 100.
  double percent = 99.0;
  std::chrono::milliseconds latency{1000};
};

/// How one kind of request of a service is treated.
struct KindPolicy {
  KindName kind;
  /// Upper-case HTTP method, or "*" for all.
  std::string method;
  /// Path below the service, such as "/rooms/{id}/assign"; a segment in braces
  /// matches any one segment, a last segment "**" matches the rest.
  std::string path;
  RequestClass request_class = RequestClass::kInternal;
  WorkLength length = WorkLength::kShort;
  bool idempotent = false;
  /// Time a caller may wait in all, unless it asks for less.
  std::chrono::milliseconds deadline{1000};
  /// Retries for the whole request tree that starts with this kind.
  int retries = 0;
  /// Highest share of the slots of an endpoint that this kind may hold.
  Percent slot_share{100};
  /// Longest time in the queue of the serving node.
  std::chrono::milliseconds max_wait{100};
  Objective objective;
};

/// How hard one service may be loaded, and its request kinds in sheet order.
struct ServicePolicy {
  ServiceName service;
  /// Highest number of requests in flight per endpoint.
  int max_in_flight = 0;
  /// Slots per endpoint that long work never takes.
  Slots short_reserved{1};
  std::vector<KindPolicy> kinds;
};

/// The policy in force: the contents of one approved sheet. Immutable once
/// published; a request keeps the one it started with.
struct Policy {
  PolicyVersion version;
  /// SHA-256 of the sheet's bytes, lower-case hex.
  std::string digest;
  std::map<ServiceName, ServicePolicy> services;
};

/// The first kind of `service` whose method and path match, or null. `path`
/// starts with "/" and has no query.
const KindPolicy* FindKind(const ServicePolicy& service,
                           std::string_view method,
                           std::string_view path);

/// The service's policy, or null where the sheet does not name it.
const ServicePolicy* FindService(const Policy& policy,
                                 const ServiceName& service);

}  // namespace cassiakeel::policy
