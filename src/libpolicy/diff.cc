#include "cassiakeel/policy/diff.h"

#include <algorithm>
#include <functional>
#include <span>

#include <fmt/format.h>

namespace cassiakeel::policy {
namespace {

/// How one field of a kind is shown, and what a change of it means. In
/// `meaning` {0} is the value before and {1} the value after.
struct KindField {
  std::string_view name;
  std::string_view meaning;
  std::function<std::string(const KindPolicy&)> show;
};

std::string ShowMs(std::chrono::milliseconds duration) {
  return fmt::format("{} ms", duration.count());
}

std::string ShowClass(const KindPolicy& kind) {
  return std::string(RequestClassName(kind.request_class));
}

std::span<const KindField> KindFields() {
  static const std::vector<KindField> kFields = {
      {"method", "requests with method {1} are treated by this row, not {0}",
       [](const KindPolicy& k) { return k.method; }},
      {"path", "requests for {1} are treated by this row, not those for {0}",
       [](const KindPolicy& k) { return k.path; }},
      {"class", "under overload these requests rank as {1} instead of {0}",
       ShowClass},
      {"length", "these requests now count as {1} work instead of {0}",
       [](const KindPolicy& k) {
         return std::string(WorkLengthName(k.length));
       }},
      {"idempotent",
       "whether a repeated request may run again without harm: {1}, was {0}",
       [](const KindPolicy& k) { return k.idempotent ? "yes" : "no"; }},
      {"deadline_ms", "callers wait at most {1} for an answer instead of {0}",
       [](const KindPolicy& k) { return ShowMs(k.deadline); }},
      {"retries",
       "a request is retried at most {1} times in all instead of {0}",
       [](const KindPolicy& k) { return std::to_string(k.retries); }},
      {"slot_share_percent",
       "these requests may hold at most {1} of an endpoint instead of {0}",
       [](const KindPolicy& k) {
         return fmt::format("{}%", k.slot_share.Value());
       }},
      {"max_wait_ms",
       "a request is refused after {1} in the queue instead of {0}",
       [](const KindPolicy& k) { return ShowMs(k.max_wait); }},
      {"slo_percent", "the objective is that {1} succeed in time, was {0}",
       [](const KindPolicy& k) {
         return fmt::format("{}%", k.objective.percent);
       }},
      {"slo_latency_ms", "the objective is an answer within {1}, was {0}",
       [](const KindPolicy& k) { return ShowMs(k.objective.latency); }},
  };
  return kFields;
}

const KindPolicy* FindByName(const ServicePolicy& service,
                             const KindName& name) {
  for (const auto& kind : service.kinds) {
    if (kind.kind == name) {
      return &kind;
    }
  }
  return nullptr;
}

std::string Summary(const KindPolicy& kind) {
  return fmt::format("{} {} ({}, {})", kind.method, kind.path, ShowClass(kind),
                     WorkLengthName(kind.length));
}

void DiffKind(const ServiceName& service,
              const KindPolicy& before,
              const KindPolicy& after,
              std::vector<PolicyChange>& changes) {
  for (const auto& field : KindFields()) {
    const std::string old_value = field.show(before);
    const std::string new_value = field.show(after);
    if (old_value != new_value) {
      changes.push_back(
          {service, after.kind, std::string(field.name), old_value, new_value,
           fmt::format(fmt::runtime(field.meaning), old_value, new_value)});
    }
  }
}

void DiffLimits(const ServicePolicy& before,
                const ServicePolicy& after,
                std::vector<PolicyChange>& changes) {
  const auto compare = [&](std::string field, int was, int is,
                           std::string_view meaning) {
    if (was != is) {
      changes.push_back({after.service,
                         {},
                         std::move(field),
                         std::to_string(was),
                         std::to_string(is),
                         fmt::format(fmt::runtime(meaning), was, is)});
    }
  };
  compare("max_in_flight", before.max_in_flight, after.max_in_flight,
          "each endpoint handles at most {1} requests at a time instead of "
          "{0}; the rest waits or is refused");
  compare("short_reserved", before.short_reserved.Value(),
          after.short_reserved.Value(),
          "{1} instead of {0} slots of each endpoint are kept free of long "
          "work");
}

std::vector<KindName> CommonOrder(const ServicePolicy& of,
                                  const ServicePolicy& other) {
  std::vector<KindName> names;
  for (const auto& kind : of.kinds) {
    if (FindByName(other, kind.kind) != nullptr) {
      names.push_back(kind.kind);
    }
  }
  return names;
}

std::string Joined(const std::vector<KindName>& names) {
  std::string joined;
  for (const auto& name : names) {
    joined += (joined.empty() ? "" : ", ") + name.Value();
  }
  return joined;
}

// The first matching row decides, so that order is part of the policy.
void DiffOrder(const ServicePolicy& before,
               const ServicePolicy& after,
               std::vector<PolicyChange>& changes) {
  const auto was = CommonOrder(before, after);
  const auto is = CommonOrder(after, before);
  if (was != is) {
    changes.push_back({after.service,
                       {},
                       "order",
                       Joined(was),
                       Joined(is),
                       "a request that several rows match may be treated by "
                       "another row than before"});
  }
}

void DiffService(const ServicePolicy& before,
                 const ServicePolicy& after,
                 std::vector<PolicyChange>& changes) {
  DiffLimits(before, after, changes);
  DiffOrder(before, after, changes);
  for (const auto& kind : after.kinds) {
    const auto* old_kind = FindByName(before, kind.kind);
    if (old_kind == nullptr) {
      changes.push_back({after.service, kind.kind, "kind", "", Summary(kind),
                         "these requests get rules of their own"});
    } else {
      DiffKind(after.service, *old_kind, kind, changes);
    }
  }
  for (const auto& kind : before.kinds) {
    if (FindByName(after, kind.kind) == nullptr) {
      changes.push_back({after.service, kind.kind, "kind", Summary(kind), "",
                         "these requests are treated by another row that "
                         "matches them, or refused as unknown"});
    }
  }
}

}  // namespace

std::vector<PolicyChange> DiffPolicies(const Policy& before,
                                       const Policy& after) {
  std::vector<PolicyChange> changes;
  for (const auto& [name, service] : after.services) {
    if (const auto* old_service = FindService(before, name)) {
      DiffService(*old_service, service, changes);
      continue;
    }
    changes.push_back({name,
                       {},
                       "service",
                       "",
                       fmt::format("{} kinds, at most {} in flight per "
                                   "endpoint",
                                   service.kinds.size(), service.max_in_flight),
                       "calls to this service are accepted"});
    for (const auto& kind : service.kinds) {
      changes.push_back({name, kind.kind, "kind", "", Summary(kind),
                         "these requests are accepted"});
    }
  }
  for (const auto& [name, service] : before.services) {
    if (FindService(after, name) == nullptr) {
      changes.push_back({name,
                         {},
                         "service",
                         fmt::format("{} kinds", service.kinds.size()),
                         "",
                         "calls to this service are refused"});
    }
  }
  return changes;
}

}  // namespace cassiakeel::policy
