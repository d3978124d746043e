#include "registration.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "cassiakeel/membership/codec.h"

namespace cassiakeel::control::pvt {
namespace {

using nlohmann::json;

constexpr int kMaxWriteAttempts = 8;
constexpr int kFullScanPageRows = 500;
constexpr int kPartialScanRows = 100;
constexpr int kMaxPages = 20;
constexpr std::size_t kDigestDigits = 64;
const std::string kNodePrefix = "node/";
const std::string kPolicyHeadKey = "policy/head";

std::string CounterKey(const PeerAddress& address) {
  return "incarnation/" + address.Value();
}

std::uint64_t ParseCounter(const std::optional<platform::Row>& row) {
  std::uint64_t value = 0;
  if (row) {
    const auto* end = row->value.data() + row->value.size();
    const auto parsed = std::from_chars(row->value.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
      throw Exception({"read incarnation", PeerAddress(),
                       "value of row " + row->key + " is not a number"});
    }
  }
  return value;
}

std::uint64_t VersionOf(const std::optional<platform::Row>& row) {
  return row ? row->version : 0;
}

/// Reads a row, computes the new value with `change` and writes it on condition
/// that the row has not changed meanwhile. `change` returns empty to leave the
/// row as it is. A write whose answer was lost is handled like a conflict: the
/// next attempt reads whether it was applied.
template <typename Change>
void ReadModifyWrite(platform::Table& table,
                     const std::string& key,
                     Change change) {
  for (int attempt = 0; attempt < kMaxWriteAttempts; ++attempt) {
    const auto row = table.Get(key);
    const std::optional<platform::Write> write = change(row);
    if (!write) {
      return;
    }
    try {
      if (table.Transact({*write}).applied) {
        return;
      }
    } catch (const platform::PlatformException& exception) {
      if (!exception.may_have_applied()) {
        throw;
      }
    }
  }
  throw Exception({"write " + key, PeerAddress(),
                   "gave up after repeated write conflicts"});
}

void AppendRows(const std::vector<platform::Row>& rows, NodeRows& read) {
  for (const auto& row : rows) {
    read.bytes += row.key.size() + row.value.size();
    auto member = ParseNodeRow(row.value);
    if (member && kNodePrefix + member->node.Value() == row.key) {
      read.members.push_back(std::move(*member));
    }
  }
}

}  // namespace

Incarnation AcquireIncarnation(platform::Table& table,
                               const PeerAddress& address,
                               WallTime wall) {
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(wall.time_since_epoch());
  std::uint64_t next = 0;
  // A value that was written but whose answer was lost is skipped. Incarnations
  // need not be consecutive.
  ReadModifyWrite(table, CounterKey(address), [&](const auto& row) {
    next = std::max(ParseCounter(row) + 1,
                    static_cast<std::uint64_t>(seconds.count()));
    return platform::Write{CounterKey(address), std::to_string(next),
                           VersionOf(row)};
  });
  return Incarnation(next);
}

Incarnation RecordIncarnation(platform::Table& table,
                              const PeerAddress& address,
                              Incarnation incarnation) {
  std::uint64_t stored = 0;
  ReadModifyWrite(table, CounterKey(address),
                  [&](const auto& row) -> std::optional<platform::Write> {
                    stored = ParseCounter(row);
                    if (stored >= incarnation.Value()) {
                      return std::nullopt;
                    }
                    return platform::Write{CounterKey(address),
                                           std::to_string(incarnation.Value()),
                                           VersionOf(row)};
                  });
  return Incarnation(std::max(stored, incarnation.Value()));
}

Incarnation WriteNodeRow(platform::Table& table,
                         const membership::Member& member) {
  const auto key = kNodePrefix + member.node.Value();
  const auto text = FormatNodeRow(member);
  auto owner = member.incarnation;
  ReadModifyWrite(
      table, key, [&](const auto& row) -> std::optional<platform::Write> {
        if (row) {
          const auto stored = ParseNodeRow(row->value);
          owner = stored ? std::max(stored->incarnation, member.incarnation)
                         : member.incarnation;
          if (owner != member.incarnation || row->value == text) {
            return std::nullopt;
          }
        }
        return platform::Write{key, text, VersionOf(row)};
      });
  return owner;
}

void RemoveNodeRow(platform::Table& table,
                   const NodeId& node,
                   Incarnation incarnation) {
  const auto key = kNodePrefix + node.Value();
  ReadModifyWrite(table, key,
                  [&](const auto& row) -> std::optional<platform::Write> {
                    if (!row) {
                      return std::nullopt;
                    }
                    const auto stored = ParseNodeRow(row->value);
                    if (stored && stored->incarnation != incarnation) {
                      return std::nullopt;
                    }
                    return platform::Write{key, std::nullopt, row->version};
                  });
}

NodeRows ReadNodeRows(platform::Table& table) {
  NodeRows read;
  std::string after;
  for (int page = 0; page < kMaxPages; ++page) {
    const auto rows = table.Scan(kNodePrefix, after, kFullScanPageRows);
    AppendRows(rows, read);
    if (rows.size() < kFullScanPageRows) {
      break;
    }
    after = rows.back().key;
  }
  return read;
}

NodeRows ReadNodePage(platform::Table& table, const NodeId& after) {
  NodeRows read;
  AppendRows(
      table.Scan(kNodePrefix, kNodePrefix + after.Value(), kPartialScanRows),
      read);
  return read;
}

std::string FormatNodeRow(const membership::Member& member) {
  return json{{"node", member.node.Value()},
              {"incarnation", member.incarnation.Value()},
              {"revision", member.revision.Value()},
              {"gossip", member.gossip.Value()},
              {"traffic", member.traffic.Value()},
              {"rpc", member.rpc.Value()},
              {"zone", member.zone.Value()},
              {"region", member.region.Value()},
              {"service", member.service.Value()},
              {"slots", member.slots.Value()},
              {"leaving", member.status == membership::MemberStatus::kLeaving}}
      .dump();
}

Result<membership::Member> ParseNodeRow(const std::string& text) {
  try {
    const auto row = json::parse(text);
    membership::Member member;
    member.node = NodeId(row.at("node").get<std::string>());
    member.incarnation =
        Incarnation(row.at("incarnation").get<std::uint64_t>());
    member.revision =
        membership::Revision(row.at("revision").get<std::uint32_t>());
    member.gossip = PeerAddress(row.at("gossip").get<std::string>());
    member.traffic = PeerAddress(row.at("traffic").get<std::string>());
    member.rpc = PeerAddress(row.at("rpc").get<std::string>());
    member.zone = ZoneName(row.at("zone").get<std::string>());
    member.region = RegionName(row.at("region").get<std::string>());
    member.service = ServiceName(row.at("service").get<std::string>());
    member.slots = Slots(row.at("slots").get<int>());
    if (row.at("leaving").get<bool>()) {
      member.status = membership::MemberStatus::kLeaving;
    }
    if (!membership::IsNumericAddress(member.gossip.Value()) ||
        !membership::IsNumericAddress(member.rpc.Value())) {
      return Fail("parse node row", "address is not numeric");
    }
    return member;
  } catch (const json::exception& exception) {
    return Fail("parse node row", exception.what());
  }
}

Result<PolicyHead> ParsePolicyHead(const std::string& head_json) {
  try {
    const auto head = json::parse(head_json);
    PolicyHead parsed{PolicyVersion(head.at("version").get<std::uint64_t>()),
                      head.at("digest").get<std::string>()};
    if (parsed.digest.size() != kDigestDigits ||
        parsed.digest.find_first_not_of("0123456789abcdef") !=
            std::string::npos) {
      return Fail("parse policy head", "digest is not 64 hex digits");
    }
    return parsed;
  } catch (const json::exception& exception) {
    return Fail("parse policy head", exception.what());
  }
}

std::optional<PolicyDocument> ReadPolicy(platform::Table& table,
                                         platform::ObjectStore& store,
                                         PolicyVersion current) {
  const auto row = table.Get(kPolicyHeadKey);
  if (!row) {
    return std::nullopt;
  }
  const auto head = ParsePolicyHead(row->value);
  if (!head) {
    throw Exception(head.error());
  }
  if (head->version <= current) {
    return std::nullopt;
  }
  auto sheet = store.Get("sheets/" + head->digest);
  if (!sheet) {
    throw Exception({"read sheet", PeerAddress(),
                     "object sheets/" + head->digest + " is missing"});
  }
  return PolicyDocument{head->version, row->value, std::move(*sheet)};
}

}  // namespace cassiakeel::control::pvt
