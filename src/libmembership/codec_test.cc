#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include "cassiakeel/base/hash.h"
#include "cassiakeel/membership/state.h"
#include "fake_network.h"

namespace cassiakeel::membership {
namespace {

Message MakePing(int members) {
  Message message;
  message.kind = MessageKind::kPing;
  message.sequence = 7;
  message.sender = NodeId("node-1");
  message.wall_micros = 1'700'000'000'000'000;
  message.policy_version = PolicyVersion(9);
  for (int i = 0; i < members; ++i) {
    message.members.push_back(FakeNetwork::MakeMember(i));
  }
  return message;
}

std::string WithChecksum(const std::string& payload) {
  const auto hash = StableHash(payload);
  std::string bytes;
  for (int i = 0; i < 8; ++i) {
    bytes += static_cast<char>(hash >> (8 * i));
  }
  return bytes + payload;
}

}  // namespace

TEST_CASE("a message survives encoding and stays within the datagram size") {
  auto message = MakePing(3);
  const auto read = DecodeMessage(EncodeMessage(message));
  REQUIRE(read.has_value());
  CHECK(read->members == message.members);
  CHECK(read->sequence == 7);
  CHECK(read->policy_version == PolicyVersion(9));

  auto large = MakePing(100);
  const auto bytes = EncodeMessage(large);
  CHECK(bytes.size() <= kMaxDatagramBytes);
  CHECK(large.members.size() >= 5);
  CHECK(DecodeMessage(bytes)->members == large.members);
}

// Guards against applying reports from datagrams that were corrupted in
// transit.
TEST_CASE("a datagram with any bit flipped or cut short has no effect") {
  auto message = MakePing(2);
  const auto bytes = EncodeMessage(message);
  FakeNetwork net(1);
  net.AddConnectedNodes(3);
  auto& node = net.At(0);
  const auto before = PresentMembers(node.state);
  std::uint64_t refused = 0;
  const auto receive = [&](const std::string& altered) {
    CHECK(Receive(node.state, altered, PeerAddress("10.9.9.9:1"),
                  net.NowOf(node), net.rng)
              .empty());
    ++refused;
  };
  for (std::size_t bit = 0; bit < 8 * bytes.size(); ++bit) {
    auto altered = bytes;
    altered[bit / 8] = static_cast<char>(altered[bit / 8] ^ (1 << (bit % 8)));
    receive(altered);
  }
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    receive(bytes.substr(0, size));
  }
  receive(std::string(2000, 'x'));
  CHECK(node.state.counters.malformed_datagrams == refused);
  CHECK(PresentMembers(node.state) == before);
}

// Guards against crafted payloads with a valid checksum that make the decoder
// crash, loop forever or allocate much memory.
TEST_CASE("the decoder handles random payloads with a valid checksum") {
  Rng rng(5);
  auto message = MakePing(5);
  const auto payload = EncodeMessage(message).substr(8);
  for (int i = 0; i < 20000; ++i) {
    auto altered = payload;
    for (int change = 0; change <= i % 8; ++change) {
      altered[rng() % altered.size()] = static_cast<char>(rng());
    }
    const auto read = DecodeMessage(WithChecksum(altered));
    if (read) {
      for (const auto& member : read->members) {
        CHECK_FALSE(member.node.Value().empty());
      }
    }
    (void)DecodeMembers(altered);
  }
}

TEST_CASE("only numeric addresses with a port are accepted") {
  CHECK(IsNumericAddress("127.0.0.1:80"));
  CHECK(IsNumericAddress("[::1]:80"));
  for (const auto* bad : {"", ":80", "localhost:80", "127.0.0.1", "1.2.3.4:0",
                          "1.2.3.4:99999", "1.2.3.4:8x", "::1:80"}) {
    CHECK_FALSE(IsNumericAddress(bad));
  }
}

}  // namespace cassiakeel::membership
