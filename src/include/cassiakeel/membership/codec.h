#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cassiakeel/base/error.h"
#include "cassiakeel/membership/member.h"

namespace cassiakeel::membership {

/// Size limit of a datagram; fits into an Ethernet frame with room left for
/// tunnel headers.
inline constexpr std::size_t kMaxDatagramBytes = 1200;
/// Maximum number of member records that a node keeps, about five times the
/// target cluster size. Prevents forged records from exhausting its memory.
inline constexpr std::size_t kMaxMembers = 4096;

enum class MessageKind : std::uint8_t { kPing, kAck, kPingReq, kPush };

/// One datagram of the protocol.
struct Message {
  MessageKind kind = MessageKind::kPush;
  /// Requests that the receiver include its own full record in the answer.
  bool request_record = false;
  /// Chosen by the prober and repeated in the ack.
  std::uint32_t sequence = 0;
  NodeId sender;
  Incarnation incarnation;
  /// Ping and ping-req: node to probe; empty for any node that listens at the
  /// address. Ack: node that answered.
  NodeId target;
  /// Wall clock of the sender in microseconds since the Unix epoch.
  std::int64_t wall_micros = 0;
  PolicyVersion policy_version;
  /// First 64 bits of the policy's SHA-256.
  std::uint64_t policy_digest = 0;
  /// Digest of the sender's view; see `MembershipState::view_digest`.
  std::uint64_t view_digest = 0;
  std::vector<Member> members;
};

/// Encodes a message as a 64-bit checksum followed by packed Cap'n Proto.
/// Members that do not fit into `kMaxDatagramBytes` are dropped from the end of
/// `message.members`.
std::string EncodeMessage(Message& message);

/// Fails if the datagram is malformed, corrupted or oversized. The checksum
/// detects corruption in transit; it does not authenticate the sender.
Result<Message> DecodeMessage(std::string_view bytes);

/// Encodes a list of full records, as returned by the control call
/// `fetchMembers`.
std::string EncodeMembers(const std::vector<Member>& members);
Result<std::vector<Member>> DecodeMembers(std::string_view bytes);

/// True for "IP:port" with a numeric IPv4 address or an IPv6 address in
/// brackets, and a port above 0.
bool IsNumericAddress(std::string_view address);

}  // namespace cassiakeel::membership
