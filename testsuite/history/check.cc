#include "check.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace cassiakeel::history {
namespace {

constexpr std::int64_t Micros(std::chrono::microseconds duration) {
  return duration.count();
}

bool IsOverload(Reason reason) {
  return reason == Reason::kOverload || reason == Reason::kQueueFull;
}

/// Collects the payloads that are valid answers to a request: the results of
/// runs of the request itself and of runs with the same key.
class ValidPayloads {
 public:
  void Add(const Event& event) {
    if (event.type == EventType::kRunStart) {
      this->starts[event.attempt] = event;
      this->started_requests.insert(event.request);
      this->started_work.insert(WorkOf(event));
    } else if (event.type == EventType::kRunEnd && event.complete) {
      const auto start = this->starts.find(event.attempt);
      if (start != this->starts.end()) {
        const Event& run = start->second;
        this->by_request[run.request].insert(event.payload);
        this->by_work[WorkOf(run)].insert(event.payload);
      }
    }
  }
  bool Allows(const Event& submit, const std::string& payload) const {
    const auto request = this->by_request.find(submit.request);
    if (request != this->by_request.end() &&
        request->second.contains(payload)) {
      return true;
    }
    const auto work = this->by_work.find(WorkOf(submit));
    return !submit.key.empty() && work != this->by_work.end() &&
           work->second.contains(payload);
  }
  bool Started(const Event& submit) const {
    return this->started_requests.contains(submit.request) ||
           (!submit.key.empty() && this->started_work.contains(WorkOf(submit)));
  }

 private:
  /// Service, key and content fingerprint: equal for a request and its
  /// repetitions.
  using Work = std::tuple<std::string, std::string, std::uint64_t>;
  static Work WorkOf(const Event& event) {
    return {event.service, event.key, event.fingerprint};
  }

  std::map<std::string, Event> starts;
  std::set<std::string> started_requests;
  std::set<Work> started_work;
  std::map<std::string, std::set<std::string>> by_request;
  std::map<Work, std::set<std::string>> by_work;
};

}  // namespace

Violations CheckRetryBudget(const History& history) {
  Violations violations;
  std::map<std::string, Event> submits;
  std::map<std::string, History> retries;
  for (const Event& event : history) {
    if (event.type == EventType::kSubmit) {
      submits.emplace(event.request, event);
    }
    if (event.type != EventType::kAttempt || !event.retry) {
      continue;
    }
    const auto submit = submits.find(event.request);
    const int budget = submit == submits.end() ? 0 : submit->second.retries;
    History& retry_attempts = retries[event.request];
    retry_attempts.push_back(event);
    if (static_cast<int>(retry_attempts.size()) == budget + 1) {
      History excerpt = retry_attempts;
      if (submit != submits.end()) {
        excerpt.insert(excerpt.begin(), submit->second);
      }
      violations.push_back({"I1",
                            "request " + event.request + " has " +
                                std::to_string(retry_attempts.size()) +
                                " retries, budget " + std::to_string(budget),
                            excerpt});
    }
  }
  return violations;
}

Violations CheckSheddingOrder(const History& history) {
  Violations violations;
  // Attempts queued at each node, and for each queued attempt the first refusal
  // of a critical one seen while it waited.
  std::map<std::string, std::map<std::string, Event>> queued;
  std::map<std::string, Event> critical_refusals;
  for (const Event& event : history) {
    auto& waiting = queued[event.node];
    switch (event.type) {
      case EventType::kQueue:
        waiting[event.attempt] = event;
        break;
      case EventType::kRefuse:
        waiting.erase(event.attempt);
        if (event.request_class != RequestClass::kCritical ||
            !IsOverload(event.reason)) {
          break;
        }
        for (const auto& [attempt, other] : waiting) {
          if (other.request_class != RequestClass::kCritical &&
              other.length == event.length) {
            critical_refusals.emplace(attempt, event);
          }
        }
        break;
      case EventType::kDispatch: {
        const auto refusal = critical_refusals.find(event.attempt);
        const auto entry = waiting.find(event.attempt);
        if (refusal != critical_refusals.end() && entry != waiting.end()) {
          violations.push_back(
              {"I2",
               "critical attempt " + refusal->second.attempt + " was shed at " +
                   event.node + " while " + event.attempt + " of class " +
                   std::string(RequestClassName(entry->second.request_class)) +
                   " waited and was served",
               {entry->second, refusal->second, event}});
        }
        waiting.erase(event.attempt);
        break;
      }
      default:
        break;
    }
  }
  return violations;
}

Violations CheckAnswers(const History& history) {
  Violations violations;
  std::map<std::string, Event> submits;
  std::map<std::string, Event> answers;
  ValidPayloads payloads;
  const auto report = [&](const std::string& message, History excerpt) {
    violations.push_back({"I3", message, std::move(excerpt)});
  };
  for (const Event& event : history) {
    payloads.Add(event);
    if (event.type == EventType::kSubmit) {
      submits.emplace(event.request, event);
    }
    if (event.type == EventType::kQuiescent) {
      for (const auto& [request, submit] : submits) {
        if (!answers.contains(request)) {
          report("request " + request + " got no answer", {submit, event});
        }
      }
    }
    if (event.type != EventType::kAnswer) {
      continue;
    }
    const auto submit = submits.find(event.request);
    if (submit == submits.end() || submit->second.caller != event.caller) {
      report("answer sent to a caller that did not submit the request",
             submit == submits.end() ? History{event}
                                     : History{submit->second, event});
      continue;
    }
    const auto [first, added] = answers.emplace(event.request, event);
    if (!added) {
      report("request " + event.request + " was answered twice",
             {first->second, event});
      continue;
    }
    if (event.outcome != Outcome::kRan) {
      continue;
    }
    if (!payloads.Started(submit->second)) {
      report("answer to " + event.request +
                 " has outcome ran, but no run was started",
             {submit->second, event});
    } else if (event.payload.empty()) {
      continue;
    } else if (!event.complete) {
      report("answer to " + event.request + " is incomplete",
             {submit->second, event});
    } else if (!payloads.Allows(submit->second, event.payload)) {
      report("answer to " + event.request + " belongs to another request",
             {submit->second, event});
    }
  }
  return violations;
}

Violations CheckNotRun(const History& history) {
  Violations violations;
  std::map<std::string, Event> runs_by_attempt;
  std::map<std::string, Event> runs_by_request;
  for (const Event& event : history) {
    if (event.type == EventType::kRunStart) {
      runs_by_attempt.emplace(event.attempt, event);
      runs_by_request.emplace(event.request, event);
    }
  }
  for (const Event& event : history) {
    const bool refusal = event.type == EventType::kRefuse;
    if (event.outcome != Outcome::kNotRun ||
        (!refusal && event.type != EventType::kAnswer)) {
      continue;
    }
    const auto& runs = refusal ? runs_by_attempt : runs_by_request;
    const auto run = runs.find(refusal ? event.attempt : event.request);
    if (run == runs.end()) {
      continue;
    }
    const bool run_first = run->second.at_us <= event.at_us;
    violations.push_back(
        {"I4",
         (refusal ? "attempt " + event.attempt : "request " + event.request) +
             " was refused as not run, but ran",
         run_first ? History{run->second, event}
                   : History{event, run->second}});
  }
  return violations;
}

Violations CheckAtMostOnce(const History& history) {
  Violations violations;
  std::map<std::pair<std::string, std::string>, Event> first_runs;
  for (const Event& event : history) {
    if (event.type != EventType::kRunStart || event.idempotent ||
        event.key.empty()) {
      continue;
    }
    const auto [first, added] =
        first_runs.emplace(std::pair(event.service, event.key), event);
    if (!added) {
      violations.push_back(
          {"I5", "key " + event.key + " ran twice", {first->second, event}});
    }
  }
  return violations;
}

Violations CheckSingleOwner(const History& history) {
  Violations violations;
  std::map<std::pair<std::string, int>, Event> newest;
  for (const Event& event : history) {
    if (event.type != EventType::kRunStart || event.shard < 0) {
      continue;
    }
    const auto [last, added] =
        newest.emplace(std::pair(event.service, event.shard), event);
    if (added || event.version >= last->second.version) {
      last->second = event;
      continue;
    }
    violations.push_back({"I5",
                          "a former owner of the shard ran key " + event.key,
                          {last->second, event}});
  }
  return violations;
}

Violations CheckDeparture(const History& history) {
  Violations violations;
  std::map<std::string, Event> leaving;
  for (const Event& event : history) {
    if (event.type == EventType::kLeave) {
      leaving.emplace(event.node, event);
    } else if (event.type == EventType::kReturn) {
      leaving.erase(event.node);
    } else if (event.type == EventType::kDispatch ||
               event.type == EventType::kRunStart) {
      const auto departure = leaving.find(event.node);
      if (departure != leaving.end() &&
          event.at_us - departure->second.at_us > Micros(kMaxDepartureDelay)) {
        violations.push_back({"I6",
                              "backend server of " + event.node +
                                  " received work after it had left",
                              {departure->second, event}});
      }
    }
  }
  return violations;
}

Violations CheckShutdown(const History& history) {
  Violations violations;
  std::map<std::string, std::map<std::string, Event>> running;
  std::map<std::string, Event> stopping;
  const auto report = [&](const Event& begin, const Event& run,
                          const Event& end) {
    violations.push_back(
        {"I7",
         "shutdown of " + begin.node + " cut off attempt " + run.attempt,
         {run, begin, end}});
  };
  for (const Event& event : history) {
    auto& runs = running[event.node];
    switch (event.type) {
      case EventType::kRunStart:
        runs[event.attempt] = event;
        break;
      case EventType::kRunEnd: {
        const auto run = runs.find(event.attempt);
        const auto stop = stopping.find(event.node);
        if (run == runs.end()) {
          break;
        }
        if (!event.complete && stop != stopping.end()) {
          report(stop->second, run->second, event);
        }
        runs.erase(run);
        break;
      }
      case EventType::kShutdownBegin:
        stopping.emplace(event.node, event);
        break;
      case EventType::kShutdownEnd: {
        const auto stop = stopping.find(event.node);
        for (const auto& [attempt, run] : runs) {
          report(stop == stopping.end() ? event : stop->second, run, event);
        }
        runs.clear();
        stopping.erase(event.node);
        break;
      }
      case EventType::kCrash:
        // A crash is not a graceful shutdown, so it may cut off work.
        runs.clear();
        stopping.erase(event.node);
        break;
      default:
        break;
    }
  }
  return violations;
}

Violations CheckAll(const History& history) {
  Violations all;
  for (const auto check : {CheckRetryBudget, CheckSheddingOrder, CheckAnswers,
                           CheckNotRun, CheckAtMostOnce, CheckSingleOwner,
                           CheckDeparture, CheckShutdown, CheckPolicy}) {
    Violations found = check(history);
    std::move(found.begin(), found.end(), std::back_inserter(all));
  }
  return all;
}

}  // namespace cassiakeel::history
