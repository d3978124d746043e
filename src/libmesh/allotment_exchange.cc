#include "allotment_exchange.h"

#include <algorithm>
#include <random>

#include "cassiakeel/allotment/codec.h"
#include "cassiakeel/allotment/rule.h"
#include "cassiakeel/tenancy/tenant_table.h"

namespace cassiakeel::mesh::pvt {
namespace {

using std::chrono::milliseconds;

// Consecutive failed exchanges after which the next node in rank coordinates.
constexpr int kMaxFailures = 2;
// Time for which a coordinator that did not answer is passed over. Longer than
// a restart; each change of the coordinator costs some seconds in which shares
// follow demand less closely.
constexpr milliseconds kAvoidTime{10000};
// First exchange after a policy or directory arrived; small against the time in
// which the shares of a restarted node matter.
constexpr milliseconds kFirstDelay{20};

// Several round trips between zones: the time in which an early exchange brings
// a tenant its share whose clients have come to this node since the last one.
constexpr milliseconds kEarlyRetryAfter{60};
// Bounds the early exchanges.
constexpr milliseconds kMinExchangeGap{100};

allotment::Limits LimitsOf(const tenancy::TenantTable& table) {
  allotment::Limits limits;
  for (const auto& tenant : table.all()) {
    if (tenant.rate_per_s > 0) {
      limits[tenant.name] = {tenant.rate_per_s, tenant.burst};
    }
  }
  return limits;
}

}  // namespace

std::unique_ptr<AllotmentExchange> AllotmentExchange::Create(
    std::shared_ptr<h1::TimerQueue> timers,
    const MeshSettings& settings,
    h1::Client& client,
    DecisionLog& log) {
  return std::unique_ptr<AllotmentExchange>(
      new AllotmentExchange(std::move(timers), settings, client, log));
}

AllotmentExchange::AllotmentExchange(std::shared_ptr<h1::TimerQueue> timers,
                                     const MeshSettings& settings,
                                     h1::Client& client,
                                     DecisionLog& log)
    : timers(std::move(timers)),
      settings(settings),
      client(client),
      log(log),
      rng(std::random_device()()),
      timer(this->timers) {}

void AllotmentExchange::SetPolicy(const TrafficPolicy& policy) {
  this->limits = LimitsOf(policy.tenants());
  this->UpdateLimits();
}

void AllotmentExchange::SetDirectory(const Directory& directory) {
  this->addresses.clear();
  std::vector<NodeId> nodes;
  for (const auto& [node, entry] : directory) {
    if (!entry.departed) {
      this->addresses[node] = entry.address;
      nodes.push_back(node);
    }
  }
  this->ranked = allotment::RankCoordinators(nodes);
  this->UpdateLimits();
}

void AllotmentExchange::UpdateLimits() {
  allotment::SetLimits(this->shares, this->limits, this->settings.allotment,
                       std::max<std::size_t>(1, this->ranked.size()),
                       this->timers->Now(), this->rng);
  if (!this->scheduled) {
    this->Schedule(kFirstDelay);
  }
}

void AllotmentExchange::Schedule(milliseconds delay) {
  this->scheduled = !this->limits.empty() && !this->ranked.empty();
  if (this->scheduled) {
    this->timer.Set(this->timers->Now() + delay, [this] { this->Exchange(); });
  }
}

const NodeId& AllotmentExchange::Coordinator(SteadyTime now) const {
  const auto usable = std::ranges::find_if(this->ranked, [&](const auto& node) {
    const auto avoided = this->avoided_until.find(node);
    return avoided == this->avoided_until.end() || avoided->second <= now;
  });
  return usable == this->ranked.end() ? this->ranked.front() : *usable;
}

void AllotmentExchange::Exchange() {
  this->Schedule(allotment::ExchangeInterval(this->ranked.size()));
  if (!this->scheduled || this->awaits_grant) {
    return;
  }
  const auto now = this->timers->Now();
  this->exchanged_at = now;
  const auto chosen = this->Coordinator(now);
  if (chosen != this->current) {
    this->current = chosen;
    this->failures = 0;
    this->log.Write("allotment_coordinator",
                    JsonString("node", chosen.Value()));
  }
  const auto report =
      allotment::MakeReport(this->shares, this->settings.node, chosen, now);
  if (chosen == this->settings.node) {
    this->Apply(allotment::Exchange(this->coordinator, this->limits,
                                    this->settings.allotment,
                                    this->ranked.size(), report, now),
                now);
    return;
  }
  this->SendReport(chosen, report, now);
}

void AllotmentExchange::SendReport(const NodeId& coordinator,
                                   const allotment::DemandReport& report,
                                   SteadyTime sent) {
  const auto& address = this->addresses.at(coordinator);
  h1::Fetch fetch;
  fetch.peer = address;
  fetch.request = {"POST",
                   kAllotmentPath,
                   {{"Host", address.Value()}},
                   allotment::EncodeReport(report)};
  fetch.deadline = sent + allotment::ExchangeInterval(this->ranked.size());
  this->awaits_grant = true;
  this->client.Start(std::move(fetch),
                     [this, coordinator, sent](const h1::FetchResult& result) {
                       this->OnAnswer(coordinator, result, sent);
                     });
}

void AllotmentExchange::OnAnswer(const NodeId& coordinator,
                                 const h1::FetchResult& result,
                                 SteadyTime sent) {
  this->awaits_grant = false;
  if (result.end != h1::FetchEnd::kComplete || result.response.status != 200) {
    this->OnFailure(coordinator, result.message);
    return;
  }
  const auto grant = allotment::DecodeGrant(result.response.body);
  if (!grant) {
    this->OnFailure(coordinator, grant.error().ToString());
    return;
  }
  if (coordinator == this->current) {
    this->failures = 0;
    this->Apply(*grant, sent);
  }
}

void AllotmentExchange::Apply(const allotment::ShareGrant& grant,
                              SteadyTime sent) {
  const auto now = this->timers->Now();
  allotment::ApplyGrant(this->shares, grant, sent, now);
  double demand = 0;
  double weighted_use = 0;
  for (const auto& [name, tenant] : this->shares.tenants) {
    demand += tenant.demand_per_s;
    weighted_use +=
        tenant.demand_per_s * allotment::UseOf(this->shares, name, now);
  }
  this->mean_use = demand > 0 ? weighted_use / demand : 0;
}

void AllotmentExchange::OnFailure(const NodeId& coordinator,
                                  const std::string& cause) {
  if (coordinator != this->current || ++this->failures < kMaxFailures) {
    return;
  }
  this->avoided_until[coordinator] = this->timers->Now() + kAvoidTime;
  this->log.Write("allotment_coordinator_lost",
                  JsonString("node", coordinator.Value()) + "," +
                      JsonString("cause", cause));
}

allotment::Admission AllotmentExchange::Admit(const TenantName& tenant) {
  const auto now = this->timers->Now();
  auto admission = allotment::Admit(this->shares, tenant, now);
  auto& count = this->by_tenant[tenant];
  ++(admission.admitted ? count.admitted : count.refused);
  if (!admission.admitted && allotment::UseOf(this->shares, tenant, now) <= 0) {
    admission.retry_after = std::min(admission.retry_after, kEarlyRetryAfter);
    this->RequestEarlyExchange(now);
  }
  return admission;
}

void AllotmentExchange::RequestEarlyExchange(SteadyTime now) {
  if (this->scheduled && !this->awaits_grant &&
      now - this->exchanged_at >= kMinExchangeGap) {
    this->exchanged_at = now;
    this->Schedule(milliseconds(0));
  }
}

double AllotmentExchange::RankOf(const TenantName& tenant,
                                 double tree_hash) const {
  return tenancy::FairRank(
      tree_hash, allotment::UseOf(this->shares, tenant, this->timers->Now()),
      this->mean_use);
}

std::optional<std::string> AllotmentExchange::OnReport(
    const std::string& bytes) {
  const auto report = allotment::DecodeReport(bytes);
  if (!report) {
    this->log.WriteLimited("allotment_report_refused",
                           JsonString("cause", report.error().ToString()));
    return std::nullopt;
  }
  return allotment::EncodeGrant(allotment::Exchange(
      this->coordinator, this->limits, this->settings.allotment,
      std::max<std::size_t>(1, this->ranked.size()), *report,
      this->timers->Now()));
}

}  // namespace cassiakeel::mesh::pvt
