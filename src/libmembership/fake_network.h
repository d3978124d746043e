#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cassiakeel/membership/state.h"

namespace cassiakeel::membership {

/// Simulates nodes and the datagrams between them in one process with simulated
/// time. Tests set `delivery` to drop, delay, duplicate or reorder datagrams.
class FakeNetwork {
 public:
  struct Node {
    MembershipState state;
    bool running = true;
    std::chrono::microseconds wall_clock_offset{0};
  };

  /// Returns the delay of each copy of a datagram that is delivered. An empty
  /// result drops the datagram.
  using DeliveryPolicy = std::function<std::vector<std::chrono::milliseconds>(
      const Member& from,
      const PeerAddress& to)>;

  explicit FakeNetwork(unsigned seed) : rng(seed) {}

  static Member MakeMember(int index, int zones = 2) {
    Member member;
    member.node = NodeId("node-" + std::to_string(1000 + index));
    member.incarnation = Incarnation(100);
    const auto host = "10.0." + std::to_string(index / 250) + "." +
                      std::to_string(index % 250 + 1);
    member.gossip = PeerAddress(host + ":7000");
    member.traffic = PeerAddress(host + ":8000");
    member.rpc = PeerAddress(host + ":7001");
    member.zone = ZoneName("zone-" + std::to_string(index % zones));
    member.region = RegionName("region-" + std::to_string(index % 2));
    member.service = ServiceName("service-" + std::to_string(index % 3));
    member.slots = Slots(70);
    return member;
  }

  Node& Add(const Member& member, const std::vector<PeerAddress>& seeds) {
    auto& node = this->nodes[member.gossip];
    node.state = MakeMembership(member, Timings(), this->NowOf(node));
    this->Post(node, Join(node.state, seeds, this->NowOf(node), this->rng));
    return node;
  }

  /// Adds `count` nodes that know each other, as after a read of the store.
  void AddConnectedNodes(int count, int zones = 2) {
    std::vector<Member> members;
    members.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      members.push_back(MakeMember(i, zones));
    }
    for (const auto& member : members) {
      auto& node = this->Add(member, {});
      MergeMembers(node.state, members, this->NowOf(node), this->rng);
      node.state.broadcasts.clear();
    }
  }

  Node& At(int index) { return this->nodes.at(MakeMember(index).gossip); }

  Instant NowOf(const Node& node) const {
    return {SteadyTime(this->now),
            WallTime(this->now) + node.wall_clock_offset};
  }

  void Post(Node& from, const std::vector<Datagram>& datagrams) {
    for (const auto& datagram : datagrams) {
      for (const auto delay : this->delivery(from.state.self, datagram.to)) {
        this->queue.emplace(this->now + delay,
                            QueuedDatagram{from.state.self.gossip, datagram});
      }
    }
  }

  void Run(std::chrono::milliseconds duration) {
    const auto end = this->now + duration;
    for (; this->now < end; this->now += kTickInterval) {
      this->Deliver();
      for (auto& [address, node] : this->nodes) {
        if (node.running) {
          this->Post(node, Tick(node.state, this->NowOf(node), this->rng));
        }
      }
    }
  }

  /// Number of running nodes whose state satisfies `test`.
  int Count(const std::function<bool(const MembershipState&)>& test) const {
    int count = 0;
    for (const auto& [address, node] : this->nodes) {
      count += node.running && test(node.state) ? 1 : 0;
    }
    return count;
  }

  /// Number of running nodes that have `member` recorded with `status`.
  int CountSeeing(const NodeId& member, MemberStatus status) const {
    return this->Count([&](const MembershipState& state) {
      const auto found = state.records.find(member);
      return found != state.records.end() &&
             found->second.member.status == status;
    });
  }

  DeliveryPolicy delivery = [](const Member&, const PeerAddress&) {
    return std::vector{std::chrono::milliseconds(2)};
  };
  std::map<PeerAddress, Node> nodes;
  Rng rng;

 private:
  static constexpr std::chrono::milliseconds kTickInterval{50};
  struct QueuedDatagram {
    PeerAddress from;
    Datagram datagram;
  };

  void Deliver() {
    while (!this->queue.empty() && this->queue.begin()->first <= this->now) {
      const auto queued = this->queue.begin()->second;
      this->queue.erase(this->queue.begin());
      const auto found = this->nodes.find(queued.datagram.to);
      if (found != this->nodes.end() && found->second.running) {
        auto& node = found->second;
        this->Post(node, Receive(node.state, queued.datagram.bytes, queued.from,
                                 this->NowOf(node), this->rng));
      }
    }
  }

  std::chrono::nanoseconds now{std::chrono::hours(1)};
  std::multimap<std::chrono::nanoseconds, QueuedDatagram> queue;
};

}  // namespace cassiakeel::membership
