#include "fleet.h"

#include <algorithm>

namespace cassiakeel::allotment {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{25};
constexpr int kMaxDelayMs = 150;
constexpr milliseconds kPolicyDelay{2500};
constexpr milliseconds kDirectoryDelay{10000};

}  // namespace

Fleet::Fleet(std::size_t size,
             Limits initial,
             std::uint64_t seed,
             PlantedFaults planted)
    : rng(seed), faults(planted), limits(std::move(initial)) {
  for (const auto& [tenant, limit] : this->limits) {
    this->histories[tenant].limits = {{SteadyTime::max(), limit}};
  }
  for (std::size_t i = 0; i < size; ++i) {
    this->AddNode();
  }
  this->UpdateDirectory();
  for (std::size_t i = 0; i < size; ++i) {
    this->Start(i);
  }
}

void Fleet::Step() {
  this->now += kStep;
  while (!this->events.empty() && this->events.begin()->first <= this->now) {
    const auto run = std::move(this->events.begin()->second);
    this->events.erase(this->events.begin());
    run();
  }
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    Node& node = this->nodes[i];
    if (!this->IsActive(node)) {
      continue;
    }
    const auto waiting = std::exchange(node.waiting, {});
    for (const auto& tenant : waiting) {
      this->Arrive(i, tenant);
    }
    if (this->now >= node.next_exchange) {
      this->RunExchange(i);
    }
  }
}

void Fleet::Arrive(std::size_t index, const TenantName& tenant) {
  Node& node = this->nodes[index];
  if (!node.running) {
    return;
  }
  if (!this->IsActive(node)) {
    node.waiting.push_back(tenant);
    return;
  }
  if (this->faults.use_expired_grant && node.shares.held) {
    node.shares.held->valid_until = this->now + std::chrono::hours(1);
  }
  Counts& count = this->counts[tenant];
  if (!Admit(node.shares, tenant, this->now).admitted) {
    ++count.refused;
    return;
  }
  ++count.admitted;
  TenantHistory& history = this->histories.at(tenant);
  history.admitted.push_back(this->now);
  while (history.admitted.front() <= this->now - this->bounds.window) {
    history.admitted.pop_front();
  }
  const double bound = this->BoundOf(history);
  this->highest = std::max(
      this->highest, static_cast<double>(history.admitted.size()) / bound);
  if (static_cast<double>(history.admitted.size()) > bound &&
      this->broken.empty()) {
    this->broken = tenant.Value() + ": " +
                   std::to_string(history.admitted.size()) + " over " +
                   std::to_string(bound);
  }
}

double Fleet::BoundOf(TenantHistory& history) const {
  std::erase_if(history.limits,
                [this](const auto& entry) { return entry.first < this->now; });
  double bound = 0;
  for (const auto& [end, limit] : history.limits) {
    const double window_s =
        std::chrono::duration<double>(this->bounds.window).count();
    bound = std::max(bound, (limit.rate_per_s * window_s + limit.burst) *
                                    (1 + this->bounds.excess) +
                                this->bounds.slack);
  }
  return bound;
}

void Fleet::Freeze(std::size_t node, milliseconds length) {
  this->nodes[node].frozen_until = this->now + length;
}

void Fleet::Restart(std::size_t index, milliseconds down) {
  Node& node = this->nodes[index];
  if (!node.running) {
    return;
  }
  ++node.process;
  node.running = false;
  node.waiting.clear();
  this->At(this->now + down, [this, index] {
    if (!this->nodes[index].ended) {
      this->Start(index);
    }
  });
}

void Fleet::End(std::size_t index) {
  ++this->nodes[index].process;
  this->nodes[index].running = false;
  this->nodes[index].ended = true;
  this->At(this->now + kDirectoryDelay, [this] { this->UpdateDirectory(); });
}

void Fleet::Join() {
  this->AddNode();
  this->UpdateDirectory();
  this->Start(this->nodes.size() - 1);
}

void Fleet::ChangeLimit(const TenantName& tenant, Limit limit) {
  auto& history = this->histories.at(tenant).limits;
  for (auto& entry : history) {
    entry.first =
        std::min(entry.first, this->now + kPolicyDelay + this->bounds.window);
  }
  history.emplace_back(SteadyTime::max(), limit);
  this->limits[tenant] = limit;
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    this->At(this->now + FullJitter(kPolicyDelay, this->rng),
             [this, i] { this->UseLimits(i); });
  }
}

bool Fleet::IsActive(const Node& node) const {
  return node.running && this->now >= node.frozen_until;
}

void Fleet::Start(std::size_t index) {
  Node& node = this->nodes[index];
  node.running = true;
  node.shares = NodeShares();
  node.coordinator = Coordinator();
  node.candidate = 0;
  node.failures = 0;
  node.answered = true;
  node.next_exchange = this->now + FullJitter(milliseconds(500), this->rng);
  this->UseLimits(index);
}

void Fleet::UseLimits(std::size_t index) {
  Node& node = this->nodes[index];
  const bool is_new = node.shares.tenants.empty();
  SetLimits(node.shares, this->limits, this->bounds, this->directory, this->now,
            this->rng);
  for (auto& [name, tenant] : node.shares.tenants) {
    if (is_new && this->faults.start_full) {
      tenant.admitted = WindowCount();
      tenant.allowed = std::max(1U, tenant.allowed);
    }
  }
}

void Fleet::UpdateDirectory() {
  std::map<NodeId, std::size_t> index_of;
  std::vector<NodeId> ids;
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    if (!this->nodes[i].ended) {
      ids.push_back(this->nodes[i].id);
      index_of[ids.back()] = i;
    }
  }
  this->directory = ids.size();
  this->ranked.clear();
  for (const auto& id : RankCoordinators(ids)) {
    this->ranked.push_back(index_of[id]);
  }
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    this->nodes[i].candidate = 0;
    if (this->nodes[i].running) {
      this->UseLimits(i);
    }
  }
}

void Fleet::AddNode() {
  const auto index = std::to_string(this->nodes.size());
  this->nodes.emplace_back().id = NodeId(std::string("node-").append(index));
}

void Fleet::At(SteadyTime time, std::function<void()> run) {
  this->events.emplace(time, std::move(run));
}

void Fleet::Send(std::size_t from,
                 std::size_t to,
                 std::function<void()> receive) {
  if (from != to && UniformUnit(this->rng) < this->loss) {
    return;
  }
  const milliseconds delay =
      milliseconds(1) + FullJitter(milliseconds(kMaxDelayMs), this->rng);
  const int group = this->nodes[from].group;
  const int process = this->nodes[to].process;
  this->At(this->now + delay, [=, this, receive = std::move(receive)] {
    if (this->nodes[to].group == group) {
      this->Deliver(to, process, receive);
    }
  });
}

void Fleet::Deliver(std::size_t to,
                    int process,
                    std::function<void()> receive) {
  const Node& node = this->nodes[to];
  if (!node.running || node.process != process) {
    return;
  }
  if (this->IsActive(node)) {
    receive();
    return;
  }
  this->At(node.frozen_until, [=, this, receive = std::move(receive)] {
    this->Deliver(to, process, receive);
  });
}

/// Two failed exchanges move the node to the next coordinator; a better one
/// that is reachable again, as membership tells, takes it back.
void Fleet::ChooseCoordinator(std::size_t index) {
  Node& node = this->nodes[index];
  node.failures = node.answered ? 0 : node.failures + 1;
  if (node.failures >= 2) {
    node.failures = 0;
    node.candidate = (node.candidate + 1) % this->ranked.size();
  }
  for (std::size_t i = 0; i < node.candidate; ++i) {
    const Node& better = this->nodes[this->ranked[i]];
    if (this->IsActive(better) && better.group == node.group) {
      node.candidate = i;
    }
  }
}

void Fleet::RunExchange(std::size_t index) {
  this->ChooseCoordinator(index);
  Node& node = this->nodes[index];
  node.next_exchange = this->now + ExchangeInterval(this->directory);
  node.answered = false;
  const auto to = this->ranked[node.candidate];
  const auto report =
      MakeReport(node.shares, node.id, this->nodes[to].id, this->now);
  this->Send(index, to, [this, to, index, report, sent = this->now] {
    Node& coordinator = this->nodes[to];
    const auto directory_size =
        this->faults.grant_whole_rate
            ? std::max<std::size_t>(1, coordinator.coordinator.counted)
            : this->directory;
    const auto grant =
        Exchange(coordinator.coordinator, this->limits, this->bounds,
                 directory_size, report, this->now);
    this->Send(to, index,
               [this, index, grant, sent] { this->Apply(index, grant, sent); });
  });
}

void Fleet::Apply(std::size_t index, const ShareGrant& grant, SteadyTime sent) {
  Node& node = this->nodes[index];
  node.answered = node.answered || grant.sequence == node.shares.sequence;
  const auto old = node.shares.tenants;
  ApplyGrant(node.shares, grant, sent, this->now);
  for (auto& [name, tenant] : node.shares.tenants) {
    const auto before = old.find(name);
    if (this->faults.keep_old_share && before != old.end()) {
      tenant.allowed = std::max(tenant.allowed, before->second.allowed);
    }
  }
}

}  // namespace cassiakeel::allotment
