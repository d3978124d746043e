#include "cassiakeel/once/lease.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>

namespace cassiakeel::once {
namespace {

using Json = nlohmann::json;

Json ToJson(const NodeRef& node) {
  return Json::array({node.node.Value(), node.incarnation.Value()});
}

NodeRef ToNodeRef(const Json& json) {
  return {NodeId(json.at(0).get<std::string>()),
          Incarnation(json.at(1).get<std::uint64_t>())};
}

/// Extends the authority when all processes that may expire the lease have
/// given a grant.
void ApplyGrants(LeaseHolder& holder) {
  SteadyTime end = holder.last_confirmed_renewal + kMaxAuthorityWithoutStore;
  for (const NodeRef& grantor : RequiredGrantors(holder)) {
    const auto grant = holder.grants.find(grantor);
    if (grant == holder.grants.end()) {
      return;
    }
    end = std::min(end, grant->second);
  }
  holder.authority_end = std::max(holder.authority_end, end);
}

}  // namespace

std::string LeaseRowKey(const NodeId& node) {
  return "lease/" + node.Value();
}

std::string FormatLease(const LeaseRow& row) {
  return Json({{"holder", ToJson(row.holder)},
               {"service", row.service.Value()},
               {"grantor", ToJson(row.grantor)},
               {"term", row.term},
               {"change", row.change},
               {"ended", row.ended}})
      .dump();
}

Result<LeaseRow> ParseLease(std::string_view json) {
  try {
    const Json fields = Json::parse(json);
    LeaseRow row;
    row.holder = ToNodeRef(fields.at("holder"));
    row.service = ServiceName(fields.at("service").get<std::string>());
    row.grantor = ToNodeRef(fields.at("grantor"));
    row.term = fields.at("term").get<std::string>();
    row.change = fields.at("change").get<std::string>();
    row.ended = fields.at("ended").get<bool>();
    return row;
  } catch (const Json::exception& error) {
    return Fail("parse lease", error.what());
  }
}

std::optional<NodeRef> ChooseGrantor(const ServiceNode& self,
                                     const std::vector<ServiceNode>& nodes) {
  std::optional<NodeRef> chosen;
  std::tuple<bool, bool, NodeId> best;
  for (const ServiceNode& node : nodes) {
    if (node.ref.node == self.ref.node) {
      continue;
    }
    // Ring order: ids above this node's id come first, so that holders spread
    // evenly over grantors.
    const std::tuple<bool, bool, NodeId> rank(
        node.zone == self.zone, node.ref.node < self.ref.node, node.ref.node);
    if (!chosen || rank < best) {
      chosen = node.ref;
      best = rank;
    }
  }
  return chosen;
}

bool HasAuthority(const LeaseHolder& holder, SteadyTime now) {
  return !holder.term.empty() && now < holder.authority_end;
}

bool RenewalDue(const LeaseHolder& holder, SteadyTime now) {
  return holder.term.empty() ||
         now - holder.last_confirmed_renewal >= kRenewInterval;
}

LeaseRow NextLeaseRow(const LeaseHolder& holder,
                      const ServiceName& service,
                      const NodeRef& grantor,
                      const std::string& change) {
  LeaseRow row;
  row.holder = holder.self;
  row.service = service;
  row.grantor = grantor;
  row.term = holder.term.empty() ? change : holder.term;
  row.change = change;
  return row;
}

void RecordRenewal(LeaseHolder& holder, const LeaseRow& row, SteadyTime sent) {
  holder.pending.push_back({row.change, row.grantor, sent});
}

void ApplyLeaseRow(LeaseHolder& holder,
                   const std::optional<LeaseRow>& row,
                   std::uint64_t version) {
  if (!row) {
    if (!holder.term.empty()) {
      DropLease(holder);
    }
    return;
  }
  const auto renewal = std::find_if(
      holder.pending.begin(), holder.pending.end(),
      [&](const auto& sent) { return sent.change == row->change; });
  if (renewal == holder.pending.end() || row->ended) {
    // An unchanged row proves nothing. Any other value means that the lease was
    // expired or that another process of this node holds one.
    if (!holder.term.empty() && version != holder.version) {
      DropLease(holder);
    }
    return;
  }
  holder.term = row->term;
  holder.version = version;
  holder.grantor = row->grantor;
  holder.last_confirmed_renewal =
      std::max(holder.last_confirmed_renewal, renewal->sent);
  holder.authority_end =
      std::max(holder.authority_end, renewal->sent + kLeaseDuration);
  holder.pending.clear();
}

void RecordGrant(LeaseHolder& holder,
                 const GrantRequest& request,
                 SteadyTime sent) {
  if (holder.term.empty() || request.term != holder.term ||
      request.holder != holder.self) {
    return;
  }
  SteadyTime& end = holder.grants[request.grantor];
  end = std::max(end, sent + kLeaseDuration);
  ApplyGrants(holder);
}

std::vector<NodeRef> RequiredGrantors(const LeaseHolder& holder) {
  std::vector<NodeRef> required{holder.grantor};
  for (const PendingRenewal& renewal : holder.pending) {
    if (std::find(required.begin(), required.end(), renewal.grantor) ==
        required.end()) {
      required.push_back(renewal.grantor);
    }
  }
  return required;
}

void DropLease(LeaseHolder& holder) {
  LeaseHolder empty;
  empty.self = holder.self;
  holder = empty;
}

void ObserveLease(LeaseGrantor& grantor,
                  const LeaseRow& row,
                  std::uint64_t version,
                  SteadyTime now) {
  const auto [entry, added] = grantor.observed.try_emplace(row.holder.node);
  ObservedLease& observed = entry->second;
  if (!added && observed.version == version) {
    return;
  }
  observed = {row, version, now};
  const auto issued = grantor.issued.find(row.holder.node);
  if (!row.ended && issued != grantor.issued.end()) {
    issued->second.expired_terms.erase(row.term);
  }
}

bool TryGrant(LeaseGrantor& grantor,
              const GrantRequest& request,
              SteadyTime now) {
  if (request.grantor != grantor.self) {
    return false;
  }
  IssuedGrant& issued = grantor.issued[request.holder.node];
  if (issued.expired_terms.contains(request.term)) {
    return false;
  }
  issued.term = request.term;
  issued.last = std::max(issued.last, now);
  return true;
}

bool MayExpire(const LeaseGrantor& grantor,
               const NodeId& holder,
               SteadyTime now,
               SteadyTime::duration non_grantor_timeout) {
  const auto observed = grantor.observed.find(holder);
  if (observed == grantor.observed.end() || observed->second.row.ended) {
    return false;
  }
  const ObservedLease& lease = observed->second;
  const bool named =
      lease.row.grantor == grantor.self || lease.row.grantor == NodeRef();
  const auto limit =
      named ? SteadyTime::duration(kExpireAfter) : non_grantor_timeout;
  SteadyTime last = lease.first_seen;
  const auto issued = grantor.issued.find(holder);
  if (issued != grantor.issued.end()) {
    last = std::max(last, issued->second.last);
  }
  return now - last >= limit;
}

void BeginExpiry(LeaseGrantor& grantor, const NodeId& holder, SteadyTime now) {
  const auto observed = grantor.observed.find(holder);
  if (observed == grantor.observed.end()) {
    return;
  }
  auto& expired = grantor.issued[holder].expired_terms;
  std::erase_if(expired, [&](const auto& term) {
    return now - term.second >= kExpireByNonGrantorAfter;
  });
  expired[observed->second.row.term] = now;
}

}  // namespace cassiakeel::once
