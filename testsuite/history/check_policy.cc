#include <map>
#include <optional>

#include "check.h"

namespace cassiakeel::history {
namespace {

/// State of one node at the current position in the history.
struct NodeState {
  /// Time since which the node has been up and unimpaired; empty otherwise.
  std::optional<std::int64_t> healthy_since;
  std::optional<Event> in_force;
};

class PolicyCheck {
 public:
  Violations Run(const History& history) {
    for (const Event& event : history) {
      this->CheckDeadlines(event.at_us);
      this->Apply(event);
    }
    return this->violations;
  }

 private:
  void Report(const std::string& message, History excerpt) {
    this->violations.push_back({"I8", message, std::move(excerpt)});
  }

  /// Reports nodes at which an approved version is not in force although
  /// `kMaxPropagationDelay` has passed.
  void CheckDeadlines(std::int64_t now) {
    const std::int64_t max_delay_us =
        std::chrono::microseconds(kMaxPropagationDelay).count();
    while (!this->pending.empty() &&
           now - this->pending.front().at_us > max_delay_us) {
      const Event approval = this->pending.front();
      this->pending.erase(this->pending.begin());
      for (const auto& [name, node] : this->nodes) {
        if (!node.healthy_since || *node.healthy_since > approval.at_us ||
            (node.in_force && node.in_force->version >= approval.version)) {
          continue;
        }
        History excerpt{approval};
        if (node.in_force) {
          excerpt.push_back(*node.in_force);
        }
        Event due;
        due.at_us = approval.at_us + max_delay_us;
        due.node = name;
        due.detail = "propagation deadline passed";
        excerpt.push_back(due);
        this->Report("version " + std::to_string(approval.version) +
                         " is not in force at " + name,
                     excerpt);
      }
    }
  }

  void ApplyInForce(const Event& event) {
    NodeState& node = this->nodes[event.node];
    const auto approval = this->approved.find(event.version);
    if (approval == this->approved.end()) {
      this->Report("version in force was never approved", {event});
    } else if (approval->second.payload != event.payload) {
      this->Report("version in force differs from the approved policy",
                   {approval->second, event});
    }
    if (node.in_force && node.in_force->version > event.version) {
      this->Report("version reverted at " + event.node,
                   {*node.in_force, event});
    }
    node.in_force = event;
  }

  void Apply(const Event& event) {
    switch (event.type) {
      case EventType::kApprove: {
        const auto [first, added] =
            this->approved.emplace(event.version, event);
        if (!added && first->second.payload != event.payload) {
          this->Report("two policies were accepted as one version",
                       {first->second, event});
        }
        this->pending.push_back(event);
        break;
      }
      case EventType::kInForce:
        this->ApplyInForce(event);
        break;
      case EventType::kNodeUp:
      case EventType::kRestored:
        this->nodes[event.node].healthy_since = event.at_us;
        break;
      case EventType::kImpaired:
      case EventType::kCrash:
      case EventType::kShutdownBegin:
        this->nodes[event.node].healthy_since.reset();
        break;
      default:
        break;
    }
  }

  Violations violations;
  std::map<std::string, NodeState> nodes;
  std::map<std::uint64_t, Event> approved;
  History pending;
};

}  // namespace

Violations CheckPolicy(const History& history) {
  return PolicyCheck().Run(history);
}

}  // namespace cassiakeel::history
