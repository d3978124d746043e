#include "cassiakeel/control/control_thread.h"

#include <future>
#include <thread>
#include <utility>

#include "control_loop.h"

namespace cassiakeel::control {
namespace {

/// Sufficient for the store reads of this library and the writes of a shard
/// owner. A longer queue means that the store does not keep up.
constexpr std::size_t kMaxPlatformJobs = 256;

}  // namespace

struct ControlThread::Impl {
  Impl(ControlOptions options,
       platform::Table& table,
       platform::ObjectStore& store,
       const Clock& clock,
       Blackboard& blackboard)
      : platform_queue(kMaxPlatformJobs),
        mailbox(std::make_shared<pvt::Mailbox>()),
        environment{std::move(options), table,          store,        clock,
                    blackboard,         platform_queue, this->mailbox} {}

  void Run(std::promise<Result<bool>>& started) {
    bool ready = false;
    try {
      auto io = kj::setupAsyncIo();
      pvt::ControlLoop control_loop(this->environment, io);
      this->loop = &control_loop;
      this->gossip = control_loop.gossip_address();
      this->rpc = control_loop.rpc_address();
      auto stopped = control_loop.Run();
      ready = true;
      started.set_value(true);
      stopped.wait(io.waitScope);
      this->incarnation = control_loop.incarnation();
      // The control loop is destroyed next, so no job may use it any more.
      this->mailbox->Close();
    } catch (const kj::Exception& exception) {
      this->mailbox->Close();
      if (!ready) {
        started.set_value(
            Fail("start control thread", exception.getDescription().cStr()));
      }
    }
  }

  JobQueue platform_queue;
  std::shared_ptr<pvt::Mailbox> mailbox;
  pvt::Environment environment;
  pvt::ControlLoop* loop = nullptr;
  PeerAddress gossip;
  PeerAddress rpc;
  Incarnation incarnation;
  std::thread thread;
};

Result<std::unique_ptr<ControlThread>> ControlThread::Create(
    ControlOptions options,
    platform::Table& table,
    platform::ObjectStore& store,
    const Clock& clock,
    Blackboard& blackboard) {
  if (!options.check_policy) {
    return Fail("start control thread", "no policy check function is set");
  }
  auto impl = std::make_unique<Impl>(std::move(options), table, store, clock,
                                     blackboard);
  std::promise<Result<bool>> started;
  auto result = started.get_future();
  impl->thread = std::thread([&impl = *impl, &started] { impl.Run(started); });
  auto ready = result.get();
  if (!ready) {
    impl->thread.join();
    return tl::make_unexpected(ready.error());
  }
  return std::unique_ptr<ControlThread>(new ControlThread(std::move(impl)));
}

ControlThread::ControlThread(std::unique_ptr<Impl> impl)
    : impl(std::move(impl)) {}

ControlThread::~ControlThread() {
  this->Stop();
}

const PeerAddress& ControlThread::gossip_address() const {
  return this->impl->gossip;
}

const PeerAddress& ControlThread::rpc_address() const {
  return this->impl->rpc;
}

void ControlThread::SetService(const ServiceName& service, Slots slots) {
  this->Post([loop = this->impl->loop, service, slots] {
    loop->SetService(service, slots);
  });
}

void ControlThread::SetLeaving() {
  this->Post([loop = this->impl->loop] { loop->SetLeaving(); });
}

void ControlThread::Stop() {
  if (!this->impl->thread.joinable()) {
    return;
  }
  this->Post([loop = this->impl->loop] { loop->Stop(); });
  this->impl->thread.join();
  auto& environment = this->impl->environment;
  environment.platform_queue.DropPending();
  environment.platform_queue.Post(
      [&environment, incarnation = this->impl->incarnation] {
        try {
          pvt::RemoveNodeRow(environment.table, environment.options.node,
                             incarnation);
        } catch (const Exception&) {
          // Peers remove the row after the node has been absent for an hour.
          return;
        }
      });
  environment.platform_queue.Stop();
}

void ControlThread::RequestLeaseGrant(
    const PeerAddress& peer,
    const LeaseRequest& request,
    std::function<void(Result<LeaseGrant>)> done) {
  auto reply = std::make_shared<pvt::Reply<LeaseGrant>>(std::move(done));
  this->Post([loop = this->impl->loop, peer, request, reply] {
    loop->RequestLeaseGrant(peer, request, reply);
  });
}

void ControlThread::QueryAttemptState(
    const PeerAddress& peer,
    const AttemptId& attempt,
    std::function<void(Result<Outcome>)> done) {
  auto reply = std::make_shared<pvt::Reply<Outcome>>(std::move(done));
  this->Post([loop = this->impl->loop, peer, attempt, reply] {
    loop->QueryAttemptState(peer, attempt, reply);
  });
}

void ControlThread::Post(std::function<void()> job) {
  this->impl->mailbox->Post(std::move(job));
}

bool ControlThread::PostPlatform(std::function<void()> job) {
  return this->impl->platform_queue.Post(std::move(job));
}

}  // namespace cassiakeel::control
