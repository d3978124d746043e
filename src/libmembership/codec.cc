#include "cassiakeel/membership/codec.h"

#include <arpa/inet.h>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>
#include <membership.capnp.h>

#include <array>
#include <charconv>
#include <cstring>

#include "cassiakeel/base/hash.h"

namespace cassiakeel::membership {
namespace {

constexpr std::size_t kChecksumBytes = 8;
constexpr std::size_t kMaxTextBytes = 128;
/// Typical encoded sizes of a message and of a member without its text fields.
/// Members that exceed the datagram size by this estimate are dropped before
/// encoding.
constexpr std::size_t kTypicalHeaderBytes = 80;
constexpr std::size_t kTypicalFullMemberBytes = 32;
constexpr std::size_t kTypicalShortMemberBytes = 14;
constexpr std::uint64_t kMaxDatagramWords = 8192;
constexpr std::uint64_t kMaxMemberListWords = kMaxMembers * 64;
constexpr int kMaxNestingDepth = 8;
/// Wall clock values beyond the year 2112 are rejected so that differences of
/// clocks cannot overflow.
constexpr std::int64_t kMaxWallMicros = std::int64_t{1} << 52;

kj::StringPtr Text(const std::string& text) {
  return {text.c_str(), text.size()};
}

std::string FromText(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

/// Suspected, dead and left members are encoded with id, incarnation, revision
/// and status only. A receiver that lacks the full record does not need these
/// reports.
bool UsesShortForm(const Member& member) {
  return member.status == MemberStatus::kSuspected || !IsPresent(member.status);
}

std::size_t EstimateBytes(const Member& member) {
  if (UsesShortForm(member)) {
    return kTypicalShortMemberBytes + member.node.Value().size();
  }
  return kTypicalFullMemberBytes + member.node.Value().size() +
         member.gossip.Value().size() + member.traffic.Value().size() +
         member.rpc.Value().size() + member.zone.Value().size() +
         member.region.Value().size() + member.service.Value().size();
}

void WriteMember(wire::Member::Builder out,
                 const Member& member,
                 bool short_form) {
  out.setNode(Text(member.node.Value()));
  out.setIncarnation(member.incarnation.Value());
  out.setRevision(member.revision.Value());
  out.setStatus(static_cast<std::uint8_t>(member.status));
  if (short_form) {
    return;
  }
  out.setGossip(Text(member.gossip.Value()));
  out.setTraffic(Text(member.traffic.Value()));
  out.setRpc(Text(member.rpc.Value()));
  out.setZone(Text(member.zone.Value()));
  out.setRegion(Text(member.region.Value()));
  if (!member.service.Value().empty()) {
    out.setService(Text(member.service.Value()));
  }
  out.setSlots(member.slots.Value());
  out.setPolicyVersion(member.policy_version.Value());
}

bool IsValidName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxTextBytes;
}

bool IsValid(const Member& member) {
  if (!IsValidName(member.node.Value()) ||
      member.service.Value().size() > kMaxTextBytes ||
      member.slots.Value() < 0) {
    return false;
  }
  if (member.gossip.Value().empty()) {
    return UsesShortForm(member);
  }
  return IsNumericAddress(member.gossip.Value()) &&
         IsNumericAddress(member.traffic.Value()) &&
         IsNumericAddress(member.rpc.Value()) &&
         IsValidName(member.zone.Value()) && IsValidName(member.region.Value());
}

Result<Member> ReadMember(wire::Member::Reader in) {
  if (in.getStatus() > static_cast<std::uint8_t>(MemberStatus::kLeft)) {
    return Fail("decode member", "member status out of range");
  }
  Member member;
  member.node = NodeId(FromText(in.getNode()));
  member.incarnation = Incarnation(in.getIncarnation());
  member.revision = Revision(in.getRevision());
  member.status = static_cast<MemberStatus>(in.getStatus());
  member.gossip = PeerAddress(FromText(in.getGossip()));
  member.traffic = PeerAddress(FromText(in.getTraffic()));
  member.rpc = PeerAddress(FromText(in.getRpc()));
  member.zone = ZoneName(FromText(in.getZone()));
  member.region = RegionName(FromText(in.getRegion()));
  member.service = ServiceName(FromText(in.getService()));
  member.slots = Slots(in.getSlots());
  member.policy_version = PolicyVersion(in.getPolicyVersion());
  if (!IsValid(member)) {
    return Fail("decode member", "missing or invalid field");
  }
  return member;
}

template <typename List>
Result<std::vector<Member>> ReadMembers(const List& list) {
  std::vector<Member> members;
  members.reserve(list.size());
  for (auto in : list) {
    auto member = ReadMember(in);
    if (!member) {
      return tl::make_unexpected(member.error());
    }
    members.push_back(std::move(*member));
  }
  return members;
}

std::string Pack(capnp::MessageBuilder& builder) {
  kj::VectorOutputStream out(kMaxDatagramBytes);
  capnp::writePackedMessage(out, builder);
  const auto bytes = out.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

/// Runs `read` on the packed message. Cap'n Proto may throw kj::Exception for
/// malformed input at any access, so that errors of `read` are caught too.
template <typename Read>
auto Unpack(std::string_view bytes, std::uint64_t words, Read read)
    -> decltype(read(std::declval<capnp::MessageReader&>())) {
  try {
    kj::ArrayInputStream in(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = words;
    options.nestingLimit = kMaxNestingDepth;
    capnp::PackedMessageReader reader(in, options);
    return read(reader);
  } catch (const kj::Exception& exception) {
    return Fail("decode message",
                std::string(exception.getDescription().cStr()));
  }
}

Result<Message> ReadMessage(wire::Message::Reader in) {
  if (in.getKind() > static_cast<std::uint8_t>(MessageKind::kPush)) {
    return Fail("decode message", "message kind out of range");
  }
  Message message;
  message.kind = static_cast<MessageKind>(in.getKind());
  message.request_record = in.getIntroduce();
  message.sequence = in.getSequence();
  message.sender = NodeId(FromText(in.getSender()));
  message.incarnation = Incarnation(in.getIncarnation());
  message.target = NodeId(FromText(in.getTarget()));
  message.wall_micros = in.getWallMicros();
  message.policy_version = PolicyVersion(in.getPolicyVersion());
  message.policy_digest = in.getPolicyDigest();
  message.view_digest = in.getViewDigest();
  if (!IsValidName(message.sender.Value()) ||
      message.target.Value().size() > kMaxTextBytes ||
      message.wall_micros < 0 || message.wall_micros > kMaxWallMicros) {
    return Fail("decode message", "missing or invalid field");
  }
  auto members = ReadMembers(in.getMembers());
  if (!members) {
    return tl::make_unexpected(members.error());
  }
  message.members = std::move(*members);
  return message;
}

void WriteMessage(wire::Message::Builder out, const Message& message) {
  out.setKind(static_cast<std::uint8_t>(message.kind));
  out.setIntroduce(message.request_record);
  out.setSequence(message.sequence);
  out.setSender(Text(message.sender.Value()));
  out.setIncarnation(message.incarnation.Value());
  if (!message.target.Value().empty()) {
    out.setTarget(Text(message.target.Value()));
  }
  out.setWallMicros(message.wall_micros);
  out.setPolicyVersion(message.policy_version.Value());
  out.setPolicyDigest(message.policy_digest);
  out.setViewDigest(message.view_digest);
  if (message.members.empty()) {
    return;
  }
  auto list = out.initMembers(message.members.size());
  for (std::size_t i = 0; i < message.members.size(); ++i) {
    WriteMember(list[i], message.members[i], UsesShortForm(message.members[i]));
  }
}

std::string Checksum(std::string_view bytes) {
  const auto hash = StableHash(bytes);
  std::string checksum(kChecksumBytes, '\0');
  for (std::size_t i = 0; i < kChecksumBytes; ++i) {
    checksum[i] = static_cast<char>(hash >> (8 * i));
  }
  return checksum;
}

/// Drops members that are estimated not to fit into a datagram, which saves
/// encoding them.
void DropExcessMembers(Message& message) {
  std::size_t total = kChecksumBytes + kTypicalHeaderBytes;
  for (std::size_t i = 0; i < message.members.size(); ++i) {
    total += EstimateBytes(message.members[i]);
    if (total > kMaxDatagramBytes) {
      message.members.resize(i);
      return;
    }
  }
}

}  // namespace

std::string EncodeMessage(Message& message) {
  DropExcessMembers(message);
  while (true) {
    std::array<capnp::word, 1024> scratch{};
    capnp::MallocMessageBuilder builder(
        kj::arrayPtr(scratch.data(), scratch.size()));
    WriteMessage(builder.initRoot<wire::Message>(), message);
    auto packed = Pack(builder);
    if (packed.size() + kChecksumBytes <= kMaxDatagramBytes ||
        message.members.empty()) {
      return Checksum(packed) + packed;
    }
    message.members.pop_back();
  }
}

Result<Message> DecodeMessage(std::string_view bytes) {
  if (bytes.size() <= kChecksumBytes || bytes.size() > kMaxDatagramBytes) {
    return Fail("decode message", "datagram size out of range");
  }
  const auto packed = bytes.substr(kChecksumBytes);
  if (Checksum(packed) != bytes.substr(0, kChecksumBytes)) {
    return Fail("decode message", "checksum mismatch");
  }
  return Unpack(packed, kMaxDatagramWords,
                [](capnp::MessageReader& reader) -> Result<Message> {
                  return ReadMessage(reader.getRoot<wire::Message>());
                });
}

std::string EncodeMembers(const std::vector<Member>& members) {
  capnp::MallocMessageBuilder builder;
  auto list = builder.initRoot<wire::MemberList>().initMembers(members.size());
  for (std::size_t i = 0; i < members.size(); ++i) {
    WriteMember(list[i], members[i], false);
  }
  return Pack(builder);
}

Result<std::vector<Member>> DecodeMembers(std::string_view bytes) {
  return Unpack(
      bytes, kMaxMemberListWords,
      [](capnp::MessageReader& reader) -> Result<std::vector<Member>> {
        const auto list = reader.getRoot<wire::MemberList>().getMembers();
        if (list.size() > kMaxMembers) {
          return Fail("decode members", "too many members");
        }
        return ReadMembers(list);
      });
}

bool IsNumericAddress(std::string_view address) {
  const auto colon = address.rfind(':');
  if (colon == std::string_view::npos || address.size() > kMaxTextBytes) {
    return false;
  }
  const auto port_text = address.substr(colon + 1);
  std::uint16_t port = 0;
  const auto* end = port_text.data() + port_text.size();
  const auto parsed = std::from_chars(port_text.data(), end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
    return false;
  }
  std::string host(address.substr(0, colon));
  std::array<unsigned char, sizeof(in6_addr)> raw{};
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    return inet_pton(AF_INET6, host.c_str(), raw.data()) == 1;
  }
  return inet_pton(AF_INET, host.c_str(), raw.data()) == 1;
}

}  // namespace cassiakeel::membership
