#pragma once

#include <kj/async-io.h>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "cassiakeel/control/control_thread.h"
#include "mailbox.h"
#include "peer_calls.h"
#include "policy_sync.h"
#include "registration.h"
#include "reply.h"
#include "schedule.h"

namespace cassiakeel::control::pvt {

/// Options and dependencies of the control loop. Must outlive it.
struct Environment {
  ControlOptions options;
  platform::Table& table;
  platform::ObjectStore& store;
  const Clock& clock;
  Blackboard& blackboard;
  JobQueue& platform_queue;
  std::shared_ptr<Mailbox> mailbox;
};

/// Event handlers of the control thread and their state. Must be created, used
/// and destroyed on that thread.
class ControlLoop final : private kj::TaskSet::ErrorHandler {
 public:
  /// Binds the addresses; throws kj::Exception on failure.
  ControlLoop(Environment& environment, kj::AsyncIoContext& io);

  PeerAddress gossip_address() const { return this->state.self.gossip; }
  PeerAddress rpc_address() const { return this->state.self.rpc; }
  Incarnation incarnation() const { return this->state.self.incarnation; }

  /// Resolves after `Stop`.
  kj::Promise<void> Run();

  void SetService(const ServiceName& service, Slots slots);
  void SetLeaving();
  void Stop();
  void RequestLeaseGrant(const PeerAddress& peer,
                         const LeaseRequest& request,
                         ReplyPtr<LeaseGrant> reply);
  void QueryAttemptState(const PeerAddress& peer,
                         const AttemptId& attempt,
                         ReplyPtr<Outcome> reply);

 private:
  // control_loop.cc: event loop, datagrams, publication of snapshots.
  void Bind();
  kj::Promise<void> ReceiveLoop(kj::DatagramReceiver& receiver);
  kj::Promise<void> TickLoop();
  kj::Promise<void> MailboxLoop(kj::AsyncInputStream& wakeups);
  void HandleDatagram(kj::DatagramReceiver& receiver);
  void Advance();
  void SendDatagrams(std::vector<membership::Datagram> datagrams);
  void Publish(const membership::Instant& now);
  /// Encoded member list for peers, cached until the view changes.
  const std::string& PackedMembers();
  membership::Instant Now() const;
  void taskFailed(kj::Exception&& exception) override;

  // control_loop_store.cc: incarnation, registration, member lists.
  void RequestIncarnation();
  void StartWithoutStore();
  void QueryPredecessors();
  void AdvanceStartup(const membership::Instant& now);
  void JoinPeers(Incarnation incarnation);
  void WriteOwnRow();
  void AdvanceMemberRead(const membership::Instant& now);
  struct MemberRead {
    Incarnation incarnation;
    NodeRows rows;
  };
  void FinishMemberRead(const Result<MemberRead>& read);
  membership::Member RandomMember();
  void RemoveStaleRow(const std::vector<membership::Member>& rows);
  void AdvanceListFetch(const membership::Instant& now);

  // control_loop_policy.cc: policy updates from the store and from peers.
  void AdvancePolicy(const membership::Instant& now);
  void PollPolicy();
  void FetchPolicyFrom(const membership::Member& source);
  Result<std::shared_ptr<const policy::Policy>> CheckPolicy(
      const PolicyDocument& document);
  bool AcceptPolicy(PolicyDocument document);

  /// Runs `job` on the platform thread, then `done` with its result on the
  /// control thread.
  template <typename T>
  void RunOnPlatform(std::function<T()> job,
                     std::function<void(Result<T>)> done) {
    auto finish = [mailbox = this->environment.mailbox,
                   done = std::move(done)](Result<T> result) {
      mailbox->Post([done, result = std::move(result)]() { done(result); });
    };
    const bool accepted =
        this->environment.platform_queue.Post([job = std::move(job), finish]() {
          try {
            finish(job());
          } catch (const Exception& exception) {
            finish(tl::make_unexpected(exception.error()));
          } catch (const std::exception& exception) {
            finish(Fail("call platform", exception.what()));
          }
        });
    if (!accepted) {
      finish(Fail("call platform", "platform job queue is full"));
    }
  }

  Environment& environment;
  kj::AsyncIoContext& io;
  kj::Timer& timer;
  Rng rng;
  ControlStats stats;
  PeerCaller caller;
  membership::MembershipState state;
  kj::Own<kj::DatagramPort> port;
  kj::Own<kj::ConnectionReceiver> listener;

  // Startup.
  SteadyTime start_time;
  bool joined = false;
  bool starting_without_store = false;
  std::set<NodeId> queried_nodes;
  Incarnation predecessor_incarnation;

  // Publication.
  std::uint64_t published_view_version = ~std::uint64_t{0};
  std::uint64_t packed_view_version = ~std::uint64_t{0};
  std::string packed_members;
  SteadyTime next_view;
  SteadyTime next_stats;
  std::uint64_t handled_pauses = 0;

  // Store reads and member lists.
  Schedule member_schedule;
  SteadyTime next_member_read;
  bool reading_members = false;
  bool incarnation_recorded = false;
  bool list_fetched = false;
  bool fetching_list = false;
  SteadyTime next_list_fetch;

  // Policy.
  PolicyDocument document;
  SheetDelta sheet_delta;
  bool fetch_full_sheet = false;
  RefusedOffers refused_offers;
  Schedule policy_schedule;
  SteadyTime next_policy_poll;
  bool polling_policy = false;
  bool fetching_policy = false;

  kj::Own<kj::PromiseFulfiller<void>> stop;
  kj::Promise<void> stopped = nullptr;
  kj::TaskSet tasks;
};

}  // namespace cassiakeel::control::pvt
