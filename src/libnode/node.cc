#include "cassiakeel/node/node.h"

#include <asio/signal_set.hpp>
#include <condition_variable>
#include <csignal>
#include <nlohmann/json.hpp>
#include <random>

#include "bootstrap.h"
#include "call_handler.h"
#include "cassiakeel/control/control_thread.h"
#include "deduplicator_thread.h"
#include "local_api.h"
#include "log.h"
#include "operations.h"
#include "router.h"

namespace cassiakeel::node {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPeriodicInterval{100};
// Other nodes learn within this time that this node is leaving. Until then it
// keeps accepting calls, so that callers do not get a refused connection.
constexpr milliseconds kLeaveNoticePeriod{1000};

}  // namespace

class Node::Impl {
 public:
  Impl(const NodeSettings& settings, Platform platform)
      : settings(settings), platform(std::move(platform)) {}

  ~Impl() { this->Stop(); }

  Result<void> Start(policy::TrustedKeys keys) {
    for (auto step : {&Impl::CreateThreads, &Impl::CreateComponents}) {
      auto done = (this->*step)();
      if (!done) {
        return done;
      }
    }
    auto control = this->StartControl(std::move(keys));
    if (!control) {
      return control;
    }
    return this->StartTraffic();
  }

  void Run() {
    asio::signal_set signals(this->threads.front()->io(), SIGTERM, SIGINT);
    signals.async_wait([this](const auto& error, int) {
      if (!error) {
        this->RequestStop();
      }
    });
    std::unique_lock<std::mutex> lock(this->stop_mutex);
    this->stop_signal.wait(lock, [this] { return this->stop_requested; });
    lock.unlock();
    this->Drain();
    this->Stop();
  }

 private:
  Result<void> CreateThreads() {
    std::random_device seed;
    for (int i = 0; i < this->settings.traffic_threads; ++i) {
      auto thread = TrafficThread::Create(
          (static_cast<std::uint64_t>(seed()) << 32U) | seed());
      if (!thread) {
        return tl::make_unexpected(thread.error());
      }
      this->threads.push_back(*std::move(thread));
    }
    return {};
  }

  Result<void> CreateComponents() {
    this->serving =
        std::make_unique<ServingEndpoint>(this->clock, *this->threads.front());
    this->pools = std::make_unique<EndpointPools>(
        this->settings.node_id, this->settings.zone_distance, this->blackboard);
    this->forward_environment.reset(new ForwardEnvironment{
        this->clock, this->settings.node_id, *this->pools, *this->serving,
        this->metrics, this->deduplicator,
        [this](const NodeId& node, const AttemptId& attempt,
               std::function<void(Outcome)> done) {
          this->QueryAttempt(node, attempt, std::move(done));
        }});
    this->call_handler = std::make_unique<CallHandler>(
        *this->forward_environment, this->blackboard, this->burn);
    this->sources.reset(new OperationSources{
        this->clock, this->settings.node_id, this->blackboard, *this->serving,
        this->metrics, this->burn});
    return {};
  }

  Result<void> StartControl(policy::TrustedKeys keys) {
    control::ControlOptions options;
    options.node = this->settings.node_id;
    options.zone = this->settings.zone;
    options.region = this->settings.region;
    options.gossip = this->settings.gossip;
    options.rpc = this->settings.rpc;
    options.traffic = this->settings.listen;
    options.seeds = this->settings.seed_peers;
    options.check_policy = MakePolicyCheck(std::move(keys));
    options.grant_lease = [this](const control::LeaseRequest& request) {
      return this->deduplicator_thread
                 ? this->deduplicator_thread->HandleGrant(request)
                 : control::LeaseGrant{};
    };
    options.attempt_state = [this](const AttemptId& attempt) {
      return this->serving->ResolveAttempt(attempt);
    };
    options.random_seed = this->threads.front()->rng()();
    auto control = control::ControlThread::Create(
        std::move(options), this->platform.table(), this->platform.objects(),
        this->clock, this->blackboard);
    if (!control) {
      return tl::make_unexpected(control.error());
    }
    this->control = *std::move(control);
    this->deduplicator_thread = std::make_unique<DeduplicatorThread>(
        this->settings, this->clock, this->platform.table(),
        this->platform.objects(), this->blackboard, *this->control,
        *this->serving, this->deduplicator);
    return {};
  }

  Result<void> StartTraffic() {
    for (const auto& thread : this->threads) {
      http::ServerOptions traffic;
      traffic.listen = this->settings.listen;
      http::ServerOptions local;
      local.listen = this->settings.local;
      auto* raw_thread = thread.get();
      for (const auto& [options, handler] :
           {std::pair(traffic, &Impl::HandleTraffic),
            std::pair(local, &Impl::HandleLocal)}) {
        auto listening = thread->Listen(
            options,
            [this, raw_thread, handler = handler](http::ServerRequest request) {
              (this->*handler)(*raw_thread, std::move(request));
            });
        if (!listening) {
          return listening;
        }
      }
    }
    for (const auto& thread : this->threads) {
      thread->Run();
    }
    this->threads.front()->Post([this] { this->RunPeriodicTasks(); });
    LogInfo("start", "node " + this->settings.node_id.Value() + " listens on " +
                         this->settings.listen.Value());
    return {};
  }

  void HandleTraffic(TrafficThread& thread, http::ServerRequest request) {
    const Route route = ParseRoute(request.path);
    switch (route.kind) {
      case RouteKind::kCall:
        this->call_handler->Handle(thread, Origin::kCaller, route.service,
                                   route.path, std::move(request));
        return;
      case RouteKind::kForwardedCall:
        this->call_handler->Handle(thread, Origin::kNode, route.service,
                                   route.path, std::move(request));
        return;
      case RouteKind::kOperation:
        this->RespondOperation(route.path, request);
        return;
      case RouteKind::kMalformed:
        request.responder->Send(404, {}, "no such path\n");
        return;
    }
  }

  void RespondOperation(const std::string& operation,
                        const http::ServerRequest& request) {
    if (request.method != "GET") {
      request.responder->Send(405, {{"Allow", "GET"}}, "");
      return;
    }
    const auto response = HandleOperation(*this->sources, operation);
    request.responder->Send(response.status,
                            {{"Content-Type", response.content_type}},
                            response.body);
  }

  void HandleLocal(TrafficThread& thread, http::ServerRequest request) {
    const Route route = ParseRoute(request.path);
    if (route.kind == RouteKind::kCall) {
      this->call_handler->Handle(thread, Origin::kBackendServer, route.service,
                                 route.path, std::move(request));
    } else if (route.path == "announce" && request.method == "PUT") {
      this->HandleAnnounce(request);
    } else if (route.path == "drain" && request.method == "POST") {
      this->serving->Drain();
      this->control->SetService(ServiceName(), Slots(0));
      request.responder->Send(204, {}, "");
    } else if (route.path == "gone" && request.method == "POST") {
      this->serving->MarkUnavailable();
      this->control->SetService(ServiceName(), Slots(0));
      request.responder->Send(204, {}, "");
    } else {
      this->RespondOperation(route.path, request);
    }
  }

  void HandleAnnounce(const http::ServerRequest& request) {
    const auto announcement = ParseAnnouncement(request.body);
    if (!announcement) {
      const nlohmann::json body = {{"error", announcement.error().ToString()}};
      request.responder->Send(400, {{"Content-Type", "application/json"}},
                              body.dump() + "\n");
      return;
    }
    if (this->serving->Announce(*announcement)) {
      LogInfo("register backend server", announcement->service.Value() +
                                             " at " +
                                             announcement->address.Value());
      this->ApplyPolicy();
      this->deduplicator_thread->SetService(announcement->service);
      this->control->SetService(announcement->service, announcement->slots);
    }
    request.responder->Send(204, {}, "");
  }

  void ApplyPolicy() {
    if (const auto policy = this->blackboard.policy.Read()) {
      this->serving->ApplyPolicy(*policy);
    }
  }

  /// Checks the heartbeat of the backend server, the identity of this node and
  /// the policy. Runs on the first traffic thread.
  void RunPeriodicTasks() {
    if (this->serving->CheckHeartbeat()) {
      LogInfo("check heartbeat",
              "backend server missed its heartbeats; marked as unavailable");
      this->control->SetService(ServiceName(), Slots(0));
    }
    const auto view = this->blackboard.members.Read();
    if (view && view->superseded) {
      LogInfo("check membership",
              "another process uses this node id with a higher incarnation; "
              "stopping");
      this->serving->MarkUnavailable();
      this->RequestStop();
      return;
    }
    const auto policy = this->blackboard.policy.Read();
    if (policy != this->applied_policy) {
      this->applied_policy = policy;
      this->ApplyPolicy();
      LogInfo("apply policy",
              "version " + std::to_string(policy->version.Value()));
    }
    this->threads.front()->RunAfter(kPeriodicInterval,
                                    [this] { this->RunPeriodicTasks(); });
  }

  void QueryAttempt(const NodeId& node,
                    const AttemptId& attempt,
                    std::function<void(Outcome)> done) {
    const auto view = this->blackboard.members.Read();
    if (view) {
      for (const auto& member : view->members) {
        if (member.node == node) {
          this->control->QueryAttemptState(
              member.rpc, attempt,
              [done = std::move(done)](const Result<Outcome>& outcome) {
                done(outcome ? *outcome : Outcome::kUnknown);
              });
          return;
        }
      }
    }
    done(Outcome::kUnknown);
  }

  void RequestStop() {
    const std::lock_guard<std::mutex> lock(this->stop_mutex);
    this->stop_requested = true;
    this->stop_signal.notify_all();
  }

  /// Announces to peers that this node is leaving, waits for calls in flight
  /// and hands over its key shards.
  void Drain() {
    LogInfo("shut down", "waiting for calls in flight");
    const SteadyTime begin = this->clock.Now();
    const SteadyTime end = begin + this->settings.shutdown_grace;
    this->control->SetLeaving();
    this->serving->Drain();
    this->deduplicator_thread->Leave();
    bool refusing = false;
    while (this->clock.Now() < end) {
      const auto waited = this->clock.Now() - begin;
      if (!refusing && waited >= kLeaveNoticePeriod) {
        refusing = true;
        this->call_handler->StopAccepting();
      }
      if (refusing && this->call_handler->ActiveCalls() == 0 &&
          this->serving->ActiveCalls() == 0 &&
          this->deduplicator_thread->HasLeft()) {
        break;
      }
      std::this_thread::sleep_for(milliseconds(20));
    }
    LogInfo("shut down", std::to_string(this->call_handler->ActiveCalls()) +
                             " calls still in flight when the drain ended");
  }

  void Stop() {
    if (this->deduplicator_thread) {
      this->deduplicator_thread->Stop();
    }
    for (const auto& thread : this->threads) {
      thread->Stop();
    }
    if (this->control) {
      this->control->Stop();
    }
  }

  const NodeSettings settings;
  SystemClock clock;
  Platform platform;
  control::Blackboard blackboard;
  Metrics metrics;
  SharedBurnCollector burn;
  std::atomic<once::Deduplicator*> deduplicator{nullptr};
  std::vector<std::unique_ptr<TrafficThread>> threads;
  std::unique_ptr<ServingEndpoint> serving;
  std::unique_ptr<EndpointPools> pools;
  std::unique_ptr<ForwardEnvironment> forward_environment;
  std::unique_ptr<CallHandler> call_handler;
  std::unique_ptr<OperationSources> sources;
  std::unique_ptr<control::ControlThread> control;
  std::unique_ptr<DeduplicatorThread> deduplicator_thread;
  std::shared_ptr<const policy::Policy> applied_policy;
  std::mutex stop_mutex;
  std::condition_variable stop_signal;
  bool stop_requested = false;
};

Result<std::unique_ptr<Node>> Node::Create(const NodeSettings& settings) {
  auto platform = MakePlatform(settings);
  if (!platform) {
    return tl::make_unexpected(platform.error());
  }
  auto keys = ParseApproverKeys(settings);
  if (!keys) {
    return tl::make_unexpected(keys.error());
  }
  if (!settings.policy_file.empty()) {
    const auto approved = InstallLocalPolicy(settings.policy_file,
                                             SystemClock(), *platform, *keys);
    if (!approved) {
      return tl::make_unexpected(approved.error());
    }
  }
  auto impl = std::make_unique<Impl>(settings, *std::move(platform));
  const auto started = impl->Start(*std::move(keys));
  if (!started) {
    return tl::make_unexpected(started.error());
  }
  return std::unique_ptr<Node>(new Node(std::move(impl)));
}

Node::Node(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}
Node::~Node() = default;

void Node::Run() {
  this->impl->Run();
}

}  // namespace cassiakeel::node
