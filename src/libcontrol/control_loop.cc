#include "control_loop.h"

#include <ctime>

#include "peer_server.h"
#include "sockets.h"

namespace cassiakeel::control::pvt {
namespace {

constexpr std::chrono::milliseconds kMaxTickInterval{100};
/// Limits how often a members view is built: building one takes about 1 ms with
/// 830 members, and hundreds of members may change within a second.
constexpr std::chrono::milliseconds kMinViewInterval{250};
constexpr std::chrono::milliseconds kStatsPeriod{1000};
constexpr std::chrono::milliseconds kReceiveRetryDelay{10};
/// One byte above the limit, so that oversized datagrams are detected and not
/// truncated to a valid size.
constexpr std::size_t kReceiveBufferBytes = membership::kMaxDatagramBytes + 1;

kj::Duration ToKj(std::chrono::nanoseconds duration) {
  return duration.count() * kj::NANOSECONDS;
}

PeerAddress WithPort(const PeerAddress& address, unsigned port) {
  const auto& text = address.Value();
  return PeerAddress(text.substr(0, text.rfind(':') + 1) +
                     std::to_string(port));
}

membership::Member MakeSelf(const ControlOptions& options) {
  membership::Member self;
  self.node = options.node;
  self.zone = options.zone;
  self.region = options.region;
  self.gossip = options.gossip;
  self.rpc = options.rpc;
  self.traffic = options.traffic;
  return self;
}

std::chrono::nanoseconds ThreadCpuTime() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return std::chrono::seconds(used.tv_sec) +
         std::chrono::nanoseconds(used.tv_nsec);
}

template <typename T>
kj::Promise<void> DeliverReply(kj::Promise<T> call,
                               const PeerAddress& peer,
                               ReplyPtr<T> reply,
                               ControlStats& stats) {
  return call.then(
      [reply](T&& value) { reply->Send(std::move(value)); },
      [reply, peer, &stats](kj::Exception&& exception) {
        ++stats.rpc_calls_failed;
        reply->Send(Fail("call peer", exception.getDescription().cStr(), peer));
      });
}

}  // namespace

ControlLoop::ControlLoop(Environment& environment, kj::AsyncIoContext& io)
    : environment(environment),
      io(io),
      timer(io.provider->getTimer()),
      rng(environment.options.random_seed),
      caller{io.provider->getNetwork(), this->timer, this->stats,
             environment.options.timings.rpc_timeout},
      tasks(*this) {
  const auto now = this->Now();
  const auto& timings = environment.options.timings;
  this->state =
      membership::MakeMembership(MakeSelf(environment.options),
                                 environment.options.membership_timings, now);
  this->start_time = now.steady;
  this->next_list_fetch = now.steady;
  this->policy_schedule.period = timings.policy_poll_period;
  this->member_schedule.period = timings.member_read_period;
  this->Bind();
}

void ControlLoop::Bind() {
  auto& network = this->io.provider->getNetwork();
  auto& self = this->state.self;
  this->port = BindDatagramPort(*this->io.lowLevelProvider, self.gossip);
  self.gossip = WithPort(self.gossip, this->port->getPort());
  this->listener = ToNetworkAddress(network, self.rpc)->listen();
  self.rpc = WithPort(self.rpc, this->listener->getPort());
}

kj::Promise<void> ControlLoop::Run() {
  auto pair = kj::newPromiseAndFulfiller<void>();
  this->stop = kj::mv(pair.fulfiller);

  PeerHandlers handlers;
  handlers.policy = [this]() -> const PolicyDocument& {
    return this->document;
  };
  handlers.sheet_delta = [this] { return this->sheet_delta; };
  handlers.packed_members = [this] { return this->PackedMembers(); };
  handlers.grant_lease = this->environment.options.grant_lease;
  handlers.attempt_state = this->environment.options.attempt_state;
  this->tasks.add(ServePeers(kj::mv(this->listener), std::move(handlers),
                             this->timer, this->stats));

  kj::DatagramReceiver::Capacity capacity;
  capacity.content = kReceiveBufferBytes;
  auto receiver = this->port->makeReceiver(capacity);
  auto receiving = this->ReceiveLoop(*receiver);
  this->tasks.add(receiving.attach(kj::mv(receiver)));

  auto wakeups = this->io.lowLevelProvider->wrapInputFd(
      this->environment.mailbox->fd(),
      kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
          kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
  auto reading_wakeups = this->MailboxLoop(*wakeups);
  this->tasks.add(reading_wakeups.attach(kj::mv(wakeups)));

  this->RequestIncarnation();
  this->tasks.add(this->TickLoop());
  return kj::mv(pair.promise);
}

kj::Promise<void> ControlLoop::ReceiveLoop(kj::DatagramReceiver& receiver) {
  return receiver.receive().then(
      [this, &receiver]() {
        this->HandleDatagram(receiver);
        return this->ReceiveLoop(receiver);
      },
      [this, &receiver](kj::Exception&&) {
        // After an error the loop goes on, with a delay so that a persistent
        // error does not keep the CPU busy.
        ++this->stats.tasks_failed;
        return this->timer.afterDelay(ToKj(kReceiveRetryDelay))
            .then([this, &receiver]() { return this->ReceiveLoop(receiver); });
      });
}

kj::Promise<void> ControlLoop::TickLoop() {
  this->Advance();
  const auto until =
      membership::NextTick(this->state) - this->environment.clock.Now();
  const auto wait =
      std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(until),
                 std::chrono::milliseconds(1), kMaxTickInterval);
  return this->timer.afterDelay(ToKj(this->joined ? wait : kMaxTickInterval))
      .then([this]() { return this->TickLoop(); });
}

kj::Promise<void> ControlLoop::MailboxLoop(kj::AsyncInputStream& wakeups) {
  auto count = kj::heap<std::uint64_t>(0);
  auto reading = wakeups.read(count.get(), sizeof(std::uint64_t));
  return reading.attach(kj::mv(count)).then([this, &wakeups]() {
    for (auto& job : this->environment.mailbox->Take()) {
      try {
        job();
      } catch (const std::exception&) {
        // A failed job must not end the loop.
        ++this->stats.tasks_failed;
      }
    }
    return this->MailboxLoop(wakeups);
  });
}

void ControlLoop::HandleDatagram(kj::DatagramReceiver& receiver) {
  if (!this->joined && !this->starting_without_store) {
    return;
  }
  const auto content = receiver.getContent().value;
  const auto source = receiver.getSource().toString();
  const auto now = this->Now();
  this->SendDatagrams(membership::Receive(
      this->state,
      {reinterpret_cast<const char*>(content.begin()), content.size()},
      PeerAddress(source.cStr()), now, this->rng));
  this->AdvancePolicy(now);
}

void ControlLoop::Advance() {
  const auto now = this->Now();
  if (this->joined) {
    this->SendDatagrams(membership::Tick(this->state, now, this->rng));
    if (this->state.counters.pauses != this->handled_pauses) {
      // After a pause of this process, the policy and the member list may be
      // out of date.
      this->handled_pauses = this->state.counters.pauses;
      this->next_policy_poll = now.steady;
      this->next_member_read =
          std::min(this->next_member_read,
                   now.steady + FullJitter(kStatsPeriod, this->rng));
    }
    this->AdvanceMemberRead(now);
    this->AdvanceListFetch(now);
  } else {
    this->AdvanceStartup(now);
  }
  this->AdvancePolicy(now);
  this->Publish(now);
}

void ControlLoop::SendDatagrams(std::vector<membership::Datagram> datagrams) {
  for (auto& datagram : datagrams) {
    try {
      auto address =
          ToNetworkAddress(this->io.provider->getNetwork(), datagram.to);
      auto bytes = kj::heap<std::string>(std::move(datagram.bytes));
      auto sending = this->port->send(bytes->data(), bytes->size(), *address);
      this->tasks.add(
          sending.ignoreResult().attach(kj::mv(address), kj::mv(bytes)));
    } catch (const kj::Exception&) {
      ++this->stats.tasks_failed;
    }
  }
}

void ControlLoop::Publish(const membership::Instant& now) {
  auto& blackboard = this->environment.blackboard;
  if (this->joined &&
      this->published_view_version != this->state.view_version &&
      now.steady >= this->next_view) {
    this->next_view = now.steady + kMinViewInterval;
    this->published_view_version = this->state.view_version;
    blackboard.members.Write(std::make_shared<const membership::MembersView>(
        membership::MakeView(this->state)));
  }
  if (now.steady < this->next_stats) {
    return;
  }
  this->next_stats = now.steady + kStatsPeriod;
  blackboard.clock.Write(std::make_shared<const ClockCheck>(
      ClockCheck{membership::ClockOffset(this->state, now)}));
  this->stats.membership = this->state.counters;
  this->stats.processor_time = ThreadCpuTime();
  blackboard.stats.Write(std::make_shared<const ControlStats>(this->stats));
}

const std::string& ControlLoop::PackedMembers() {
  if (this->packed_view_version != this->state.view_version) {
    this->packed_view_version = this->state.view_version;
    this->packed_members =
        membership::EncodeMembers(membership::AllMembers(this->state));
  }
  return this->packed_members;
}

membership::Instant ControlLoop::Now() const {
  return membership::ReadClock(this->environment.clock);
}

void ControlLoop::SetService(const ServiceName& service, Slots slots) {
  const auto before = this->state.self;
  membership::UpdateSelf(this->state, service, slots, this->Now());
  if (this->joined && before != this->state.self) {
    this->WriteOwnRow();
  }
}

void ControlLoop::SetLeaving() {
  auto datagrams =
      membership::AnnounceLeaving(this->state, this->Now(), this->rng);
  if (this->joined) {
    this->SendDatagrams(std::move(datagrams));
    this->WriteOwnRow();
    this->Publish(this->Now());
  }
}

void ControlLoop::Stop() {
  if (this->joined) {
    this->SendDatagrams(
        membership::AnnounceLeft(this->state, this->Now(), this->rng));
  }
  this->stop->fulfill();
}

void ControlLoop::RequestLeaseGrant(const PeerAddress& peer,
                                    const LeaseRequest& request,
                                    ReplyPtr<LeaseGrant> reply) {
  auto call = kj::evalNow(
      [&]() { return CallGrantLease(this->caller, peer, request); });
  this->tasks.add(DeliverReply<LeaseGrant>(kj::mv(call), peer, std::move(reply),
                                           this->stats));
}

void ControlLoop::QueryAttemptState(const PeerAddress& peer,
                                    const AttemptId& attempt,
                                    ReplyPtr<Outcome> reply) {
  auto call = kj::evalNow(
      [&]() { return CallAttemptState(this->caller, peer, attempt); });
  this->tasks.add(
      DeliverReply<Outcome>(kj::mv(call), peer, std::move(reply), this->stats));
}

void ControlLoop::taskFailed(kj::Exception&& /*exception*/) {
  ++this->stats.tasks_failed;
}

}  // namespace cassiakeel::control::pvt
