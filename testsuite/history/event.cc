#include "event.h"

#include <array>
#include <nlohmann/json.hpp>

namespace cassiakeel::history {
namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 20> kTypeNames = {
    "submit",   "answer",         "attempt",      "queue", "dispatch",
    "refuse",   "run-start",      "run-end",      "leave", "return",
    "node-up",  "shutdown-begin", "shutdown-end", "crash", "impaired",
    "restored", "approve",        "in-force",     "fault", "quiet"};

std::optional<EventType> ParseType(std::string_view name) {
  for (std::size_t i = 0; i < kTypeNames.size(); ++i) {
    if (kTypeNames[i] == name) {
      return static_cast<EventType>(i);
    }
  }
  return std::nullopt;
}

/// Calls `visit(name, member)` for each member of an event that is not an enum.
template <typename AnyEvent, typename Visitor>
void VisitNonEnumMembers(AnyEvent& event, Visitor visit) {
  visit("caller", event.caller);
  visit("node", event.node);
  visit("peer", event.peer);
  visit("service", event.service);
  visit("request", event.request);
  visit("attempt", event.attempt);
  visit("key", event.key);
  visit("payload", event.payload);
  visit("detail", event.detail);
  visit("idempotent", event.idempotent);
  visit("retry", event.retry);
  visit("whole", event.complete);
  visit("retries", event.retries);
  visit("fingerprint", event.fingerprint);
  visit("version", event.version);
  visit("shard", event.shard);
}

/// Reads an enumerator by name if the field is present. Returns false if the
/// name is unknown.
template <typename Enum, typename Parser>
bool ReadEnum(const Json& json, const char* field, Parser parse, Enum& value) {
  if (!json.contains(field)) {
    return true;
  }
  const auto parsed = parse(json.at(field).template get<std::string>());
  if (parsed) {
    value = *parsed;
  }
  return parsed.has_value();
}

}  // namespace

std::string_view EventTypeName(EventType type) {
  return kTypeNames.at(static_cast<std::size_t>(type));
}

std::string FormatEvent(const Event& event) {
  const Event empty;
  Json json = {{"at", event.at_us}, {"type", EventTypeName(event.type)}};
  Json defaults;
  VisitNonEnumMembers(empty, [&](const char* name, const auto& member) {
    defaults[name] = member;
  });
  VisitNonEnumMembers(event, [&](const char* name, const auto& member) {
    if (Json(member) != defaults[name]) {
      json[name] = member;
    }
  });
  if (event.outcome != empty.outcome) {
    json["outcome"] = OutcomeName(event.outcome);
  }
  if (event.reason != empty.reason) {
    json["reason"] = ReasonName(event.reason);
  }
  if (event.request_class != empty.request_class) {
    json["class"] = RequestClassName(event.request_class);
  }
  if (event.length != empty.length) {
    json["length"] = WorkLengthName(event.length);
  }
  return json.dump();
}

Result<Event> ParseEvent(std::string_view line) {
  try {
    const Json json = Json::parse(line);
    Event event;
    event.at_us = json.at("at").get<std::int64_t>();
    const auto type = ParseType(json.at("type").get<std::string>());
    if (!type) {
      return Fail("parse event", "unknown event type");
    }
    event.type = *type;
    VisitNonEnumMembers(event, [&](const char* name, auto& member) {
      if (json.contains(name)) {
        json.at(name).get_to(member);
      }
    });
    if (!ReadEnum(json, "outcome", ParseOutcome, event.outcome) ||
        !ReadEnum(json, "reason", ParseReason, event.reason) ||
        !ReadEnum(json, "class", ParseRequestClass, event.request_class) ||
        !ReadEnum(json, "length", ParseWorkLength, event.length)) {
      return Fail("parse event",
                  "unknown value of outcome, reason, class or length");
    }
    return event;
  } catch (const Json::exception& error) {
    return Fail("parse event", error.what());
  }
}

Result<History> ParseHistory(std::string_view text) {
  History history;
  int line_number = 0;
  while (!text.empty()) {
    ++line_number;
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.empty()) {
      continue;
    }
    auto event = ParseEvent(line);
    if (!event) {
      return Fail("parse history", "line " + std::to_string(line_number) +
                                       ": " + event.error().message);
    }
    history.push_back(std::move(*event));
  }
  return history;
}

std::string FormatHistory(const History& history) {
  std::string text;
  for (const Event& event : history) {
    text += FormatEvent(event) + "\n";
  }
  return text;
}

}  // namespace cassiakeel::history
