// Registration, limits and reported state of the backend server.

#include <algorithm>

#include "serving_endpoint.h"

namespace cassiakeel::node {
namespace {

using std::chrono::milliseconds;

// Three heartbeat intervals of 500 ms.
constexpr milliseconds kHeartbeatTimeout{1500};

/// Share of the slots that all long request kinds of a service may use
/// together.
Percent LongShareOf(const policy::ServicePolicy& service) {
  int share = 0;
  for (const auto& kind : service.kinds) {
    if (kind.length == WorkLength::kLong) {
      share += kind.slot_share.Value();
    }
  }
  return Percent(std::min(share, 100));
}

}  // namespace

admission::Config ServingEndpoint::AdmissionConfigFor(
    const Announcement& announcement) const {
  admission::Config config;
  config.slots = announcement.slots;
  if (this->service_policy) {
    config.max_in_flight = this->service_policy->max_in_flight;
    config.short_reserved = this->service_policy->short_reserved;
    config.long_share = LongShareOf(*this->service_policy);
  }
  return config;
}

bool ServingEndpoint::Announce(const Announcement& announcement) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const SteadyTime now = this->clock.Now();
  this->last_heartbeat = now;
  const bool same = !this->unavailable && this->backend &&
                    this->backend->service == announcement.service &&
                    this->backend->address == announcement.address &&
                    this->backend->slots == announcement.slots;
  if (same) {
    return false;
  }
  // A backend server that returns is taken for a new process, so its
  // concurrency limit restarts from its cold-start value.
  if (this->unavailable || !this->backend ||
      this->backend->address != announcement.address) {
    this->admission =
        admission::MakeState(this->AdmissionConfigFor(announcement), now);
  } else {
    admission::Reconfigure(this->admission,
                           this->AdmissionConfigFor(announcement), now);
  }
  this->backend = announcement;
  this->unavailable = false;
  return true;
}

void ServingEndpoint::Drain() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  admission::SetLeaving(this->admission, true);
  this->ApplyDecisions(admission::Advance(this->admission, this->clock.Now()));
}

void ServingEndpoint::MarkUnavailable() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->unavailable = true;
  admission::SetLeaving(this->admission, true);
  this->ApplyDecisions(admission::Advance(this->admission, this->clock.Now()));
}

bool ServingEndpoint::CheckHeartbeat() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->unavailable ||
        this->clock.Now() - this->last_heartbeat < kHeartbeatTimeout) {
      return false;
    }
  }
  this->MarkUnavailable();
  return true;
}

void ServingEndpoint::ApplyPolicy(const policy::Policy& policy) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->backend) {
    return;
  }
  const auto* service = policy::FindService(policy, this->backend->service);
  this->service_policy = service != nullptr
                             ? std::optional<policy::ServicePolicy>(*service)
                             : std::nullopt;
  admission::Reconfigure(this->admission,
                         this->AdmissionConfigFor(*this->backend),
                         this->clock.Now());
}

Outcome ServingEndpoint::ResolveAttempt(const AttemptId& attempt) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return node::ResolveAttempt(this->attempts, attempt, this->clock.Now());
}

admission::Load ServingEndpoint::CurrentLoad() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return admission::LoadOf(this->admission, this->clock.Now());
}

std::optional<Announcement> ServingEndpoint::Backend() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->unavailable ? std::nullopt : this->backend;
}

bool ServingEndpoint::IsLeaving() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->admission.leaving;
}

int ServingEndpoint::ActiveCalls() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->active_calls;
}

}  // namespace cassiakeel::node
