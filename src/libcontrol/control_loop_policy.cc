#include "control_loop.h"

namespace cassiakeel::control::pvt {

void ControlLoop::AdvancePolicy(const membership::Instant& now) {
  if (!this->polling_policy && now.steady >= this->next_policy_poll) {
    this->PollPolicy();
  }
  if (this->fetching_policy ||
      this->state.offered_policy <= this->state.policy.version) {
    return;
  }
  const auto sources =
      PolicySources(this->state, this->refused_offers, this->rng);
  if (sources.empty()) {
    this->state.offered_policy = this->state.policy.version;
    return;
  }
  this->FetchPolicyFrom(sources.front());
}

void ControlLoop::PollPolicy() {
  this->polling_policy = true;
  auto& table = this->environment.table;
  auto& store = this->environment.store;
  this->RunOnPlatform<std::optional<PolicyDocument>>(
      [&table, &store, current = this->state.policy.version] {
        return ReadPolicy(table, store, current);
      },
      [this](Result<std::optional<PolicyDocument>> read) {
        this->polling_policy = false;
        this->next_policy_poll =
            this->Now().steady +
            NextPoll(this->policy_schedule, read.has_value(),
                     this->environment.options.timings, this->rng);
        // Peers whose earlier fetch failed may be asked again.
        this->refused_offers.clear();
        if (!read) {
          ++this->stats.store_failures;
        } else if (*read) {
          this->stats.store_bytes_read +=
              (*read)->head_json.size() + (*read)->sheet_bytes.size();
          this->AcceptPolicy(std::move(**read));
        }
      });
}

void ControlLoop::FetchPolicyFrom(const membership::Member& source) {
  this->fetching_policy = true;
  const bool full_sheet = std::exchange(this->fetch_full_sheet, false);
  auto fetching = kj::evalNow([&]() {
    return FetchPolicy(this->caller, source.rpc, this->document, full_sheet);
  });
  const auto offered = source.policy_version;
  const auto refuse = [this, node = source.node, offered] {
    this->refused_offers[node] = offered;
  };
  this->tasks.add(fetching.then(
      [this, refuse, full_sheet, offered](PolicyDocument&& fetched) {
        this->fetching_policy = false;
        const bool newer = fetched.version > this->state.policy.version;
        if (newer && !this->AcceptPolicy(std::move(fetched)) && !full_sheet) {
          // The peer may have computed the delta against a different base
          // sheet, so the next fetch requests the full sheet.
          this->fetch_full_sheet = true;
        } else if (this->state.policy.version < offered) {
          refuse();
        }
        this->AdvancePolicy(this->Now());
      },
      [this, refuse](kj::Exception&&) {
        this->fetching_policy = false;
        ++this->stats.rpc_calls_failed;
        refuse();
        this->AdvancePolicy(this->Now());
      }));
}

Result<std::shared_ptr<const policy::Policy>> ControlLoop::CheckPolicy(
    const PolicyDocument& document) {
  try {
    return this->environment.options.check_policy(
        this->state.policy.version, document.head_json, document.sheet_bytes);
  } catch (const std::exception& exception) {
    return Fail("check policy", exception.what());
  }
}

bool ControlLoop::AcceptPolicy(PolicyDocument document) {
  const auto current = this->state.policy.version;
  const auto policy = this->CheckPolicy(document);
  if (!policy || *policy == nullptr || (*policy)->version <= current) {
    ++this->stats.policies_refused;
    return false;
  }
  ++this->stats.policies_accepted;
  this->environment.blackboard.policy.Write(*policy);
  document.version = (*policy)->version;
  this->sheet_delta = ComputeSheetDelta(this->document, document);
  this->document = std::move(document);
  const membership::PolicySummary summary{(*policy)->version,
                                          DigestPrefix((*policy)->digest)};
  auto datagrams =
      membership::UpdatePolicy(this->state, summary, this->Now(), this->rng);
  if (this->joined) {
    this->SendDatagrams(std::move(datagrams));
  }
  return true;
}

}  // namespace cassiakeel::control::pvt
