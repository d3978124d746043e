#include "endpoint_pools.h"

namespace cassiakeel::node {
namespace {

std::vector<routing::Endpoint> EndpointsFrom(
    const membership::MembersView& view,
    const ServiceName& service) {
  std::vector<routing::Endpoint> endpoints;
  for (const auto& endpoint : membership::EndpointsOf(view, service)) {
    routing::Endpoint converted;
    converted.node = endpoint.member.node;
    converted.address = endpoint.member.traffic;
    converted.zone = endpoint.member.zone;
    converted.suspected = endpoint.excluded;
    endpoints.push_back(std::move(converted));
  }
  return endpoints;
}

}  // namespace

EndpointPools::EndpointPools(
    NodeId self,
    std::map<ZoneName, std::chrono::microseconds> distance,
    const control::Blackboard& blackboard)
    : self(std::move(self)),
      distance(distance.begin(), distance.end()),
      blackboard(blackboard) {}

EndpointPools::Entry& EndpointPools::RefreshedEntry(
    const ServiceName& service) {
  Entry& entry = this->entries[service];
  auto view = this->blackboard.members.Read();
  if (view != entry.view) {
    entry.pool.self = this->self;
    entry.pool.distance = this->distance;
    if (view) {
      // Distance 0 to this node's own availability zone unless configured.
      entry.pool.distance.try_emplace(view->self.zone,
                                      std::chrono::nanoseconds(0));
      routing::UpdateEndpoints(entry.pool, EndpointsFrom(*view, service));
    }
    entry.view = std::move(view);
  }
  return entry;
}

TargetChoice EndpointPools::Select(const ServiceName& service,
                                   const routing::SelectionRequest& request,
                                   SteadyTime now,
                                   Rng& rng) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const routing::Pool& pool = this->RefreshedEntry(service).pool;
  const auto selection = routing::SelectEndpoint(pool, request, now, rng);
  TargetChoice choice;
  choice.reason = selection.reason;
  if (selection.endpoint) {
    const auto& endpoint = pool.endpoints[*selection.endpoint];
    choice.target = Target{endpoint.node, endpoint.address};
  }
  return choice;
}

TargetChoice EndpointPools::Find(const ServiceName& service,
                                 const NodeId& node) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const routing::Pool& pool = this->RefreshedEntry(service).pool;
  TargetChoice choice;
  const auto found = pool.index.find(node);
  if (found == pool.index.end()) {
    choice.reason = Reason::kNoEndpoint;
  } else {
    choice.target = Target{node, pool.endpoints[found->second].address};
  }
  return choice;
}

void EndpointPools::OnDispatch(const ServiceName& service,
                               const NodeId& node,
                               SteadyTime now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  routing::OnDispatch(this->entries[service].pool, node, now);
}

void EndpointPools::OnAnswer(const ServiceName& service,
                             const NodeId& node,
                             const routing::ResponseInfo& answer,
                             SteadyTime now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  routing::OnResponse(this->entries[service].pool, node, answer, now);
}

void EndpointPools::OnFailure(const ServiceName& service,
                              const NodeId& node,
                              Reason reason,
                              SteadyTime now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  routing::OnFailure(this->entries[service].pool, node, reason, now);
}

bool EndpointPools::TakeRetry(const ServiceName& service,
                              const NodeId& node,
                              const routing::AttemptResult& result,
                              routing::RetryBudget& budget) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  auto* tokens = routing::FindRetryTokens(this->entries[service].pool, node);
  if (tokens == nullptr || !routing::MayRetry(result, budget, *tokens)) {
    return false;
  }
  if (routing::NeedsToken(result)) {
    routing::TakeToken(*tokens);
  }
  return routing::SpendRetry(budget);
}

bool EndpointPools::TakeHedge(const ServiceName& service,
                              const NodeId& node,
                              routing::RetryBudget& budget) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  auto* tokens = routing::FindRetryTokens(this->entries[service].pool, node);
  return tokens != nullptr && budget.remaining > 0 &&
         routing::TakeToken(*tokens) && routing::SpendRetry(budget);
}

std::optional<std::chrono::nanoseconds> EndpointPools::HedgeAfter(
    const ServiceName& service,
    WorkLength length,
    bool idempotent,
    std::chrono::nanoseconds time_left,
    const routing::RetryBudget& budget) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return routing::HedgeDelay(this->entries[service].pool, length, idempotent,
                             time_left, budget);
}

}  // namespace cassiakeel::node
