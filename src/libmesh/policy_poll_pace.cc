#include "policy_poll_pace.h"

#include <utility>

#include "store_pace.h"

namespace cassiakeel::mesh::pvt {
namespace {

using std::chrono::milliseconds;

// From the first rows of a fleet that starts until most are there.
constexpr milliseconds kLearnFleetTime{2000};
static_assert(kLearnFleetTime > kDirectoryPollInterval);
// As long as a poll waits at most.
constexpr milliseconds kUnknownFleetPollWait{25000};

}  // namespace

std::unique_ptr<PolicyPollPace> PolicyPollPace::Create(
    const std::shared_ptr<h1::TimerQueue>& timers,
    std::shared_ptr<TableFollower> policy_rows) {
  std::unique_ptr<PolicyPollPace> pace(
      new PolicyPollPace(timers, std::move(policy_rows)));
  pace->Update();
  return pace;
}

PolicyPollPace::PolicyPollPace(const std::shared_ptr<h1::TimerQueue>& timers,
                               std::shared_ptr<TableFollower> policy_rows)
    : timers(timers),
      policy_rows(std::move(policy_rows)),
      learn_timer(timers) {}

void PolicyPollPace::OnDirectory(std::size_t nodes, bool has_restarted) {
  this->directory_size = nodes;
  this->is_fleet_known = this->is_fleet_known || has_restarted;
  this->Update();
  if (!this->is_fleet_known && nodes > 0 && !this->learn_timer.pending()) {
    this->learn_timer.Set(this->timers->Now() + kLearnFleetTime, [this] {
      this->is_fleet_known = true;
      this->Update();
    });
  }
}

void PolicyPollPace::Update() {
  this->policy_rows->SetMeanPollWait(
      this->is_fleet_known ? MeanPolicyPollWait(this->directory_size)
                           : kUnknownFleetPollWait);
}

}  // namespace cassiakeel::mesh::pvt
