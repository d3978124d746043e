#include "cassiakeel/mesh/node.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <thread>

#include "backend_gate.h"
#include "cassiakeel/h1/server.h"
#include "decision_log.h"
#include "dispatcher.h"
#include "header_values.h"
#include "metrics.h"
#include "peer_state.h"

namespace cassiakeel::mesh {
namespace {

using std::chrono::milliseconds;

// The deployment asks for readiness once a second and takes a node out after
// two misses; clients that were told before still come until then.
constexpr milliseconds kLeastLeavingTime{2600};
// Part of the grace time that is left for the end of the process.
constexpr milliseconds kExitReserve{700};
constexpr milliseconds kStopPoll{50};
// A stopping node serves calls for its backend server for this long, because
// clients are sent to it until then anyway, and refuses them afterwards, so
// that what was accepted last has time to end.
constexpr milliseconds kServeWhileStopping{1700};
// Later requests get no more time than this node has left, so that none is cut
// off by its end.
constexpr milliseconds kDispatchWhileStopping{2800};
constexpr milliseconds kAnswerReserve{250};
// Many times what the store takes to answer a read.
constexpr milliseconds kStateAskDelay{300};
// Longer than a peer takes to hand over a directory of a thousand rows, so that
// few send it at the same time.
constexpr milliseconds kStateAskInterval{400};

}  // namespace

class MeshNode::Impl {
 public:
  Impl(const MeshSettings& settings, const Clock& clock)
      : settings(settings),
        clock(clock),
        timers(h1::TimerQueue::Create(this->io_context, clock)),
        log(clock),
        gate(pvt::BackendGate::Create(this->io_context,
                                      this->timers,
                                      this->settings.fields,
                                      this->log,
                                      this->statistics)),
        dispatcher(pvt::Dispatcher::Create(this->io_context,
                                           this->timers,
                                           this->settings,
                                           *this->gate,
                                           this->log,
                                           this->statistics)),
        work(asio::make_work_guard(this->io_context)) {}

  ~Impl() {
    this->io_context.stop();
    this->Join();
  }

  Result<bool> Listen() {
    auto outbound = h1::Server::Create(
        this->io_context, this->timers, this->settings.outbound,
        this->client_limits, [this](std::shared_ptr<h1::Exchange> exchange) {
          this->Dispatch(std::move(exchange));
        });
    if (!outbound) {
      return tl::unexpected(outbound.error());
    }
    this->outbound = std::move(*outbound);
    auto inbound = h1::Server::Create(
        this->io_context, this->timers, this->settings.inbound,
        this->peer_limits, [this](std::shared_ptr<h1::Exchange> exchange) {
          this->Serve(std::move(exchange));
        });
    if (!inbound) {
      return tl::unexpected(inbound.error());
    }
    this->inbound = std::move(*inbound);
    auto ready = h1::Server::Create(
        this->io_context, this->timers, this->settings.ready, this->peer_limits,
        [this](std::shared_ptr<h1::Exchange> exchange) {
          this->AnswerReadiness(*exchange);
        });
    if (!ready) {
      return tl::unexpected(ready.error());
    }
    this->ready = std::move(*ready);
    return true;
  }

  void Start() {
    this->next_state_ask = this->clock.Now() + kStateAskDelay;
    this->thread = std::thread([this] { this->io_context.run(); });
  }

  void Join() {
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

  template <typename Action>
  void Post(Action action) {
    asio::post(this->io_context, std::move(action));
  }

  void SetPolicy(std::shared_ptr<const TrafficPolicy> next) {
    this->policy = next;
    this->versions.policy = next->version().Value();
    this->dispatcher->SetVersions(this->versions);
    const auto& limits = next->limits();
    this->client_limits.message = {limits.header_bytes, limits.body_bytes};
    this->client_limits.header_timeout = limits.header_timeout;
    this->client_limits.idle_timeout = limits.idle_timeout;
    this->dispatcher->SetPolicy(std::move(next));
  }

  void SetPeerHandlers(PeerHandlers handlers) {
    this->peers = std::move(handlers);
    this->dispatcher->OnPeerVersions(
        [this](const StateVersions& peer) { this->NotePeer(peer); });
    this->dispatcher->OnStateWanted(this->peers.on_state_wanted);
  }

  void SendState(const PeerAddress& address, std::string state) {
    this->dispatcher->SendState(address, std::move(state));
  }

  void SetDirectory(std::shared_ptr<const Directory> next,
                    std::uint64_t version) {
    this->versions.directory = version;
    this->dispatcher->SetVersions(this->versions);
    this->directory_size = next->size();
    this->has_directory = true;
    this->dispatcher->SetDirectory(std::move(next));
  }

  void BeginStop() {
    if (this->stopping) {
      return;
    }
    this->stopping = true;
    this->stop_began = this->clock.Now();
    this->outbound->AnnounceClose();
    this->inbound->AnnounceClose();
    this->PollStop();
  }

  std::string Metrics() const {
    pvt::Gauges gauges;
    gauges.policy_version = this->policy ? this->policy->version().Value() : 0;
    gauges.directory_size = this->directory_size;
    gauges.calls_in_gate = this->gate->InFlight();
    gauges.gate_limit = this->gate->LoadNow().limit;
    gauges.log_lines_left_out = this->log.left_out();
    return pvt::FormatMetrics(this->statistics, gauges);
  }

  pvt::BackendGate& gate_ref() { return *this->gate; }

 private:
  // Tells the control thread once of each version that this node lacks.
  void NotePeer(const StateVersions& peer) {
    if (peer.policy <= std::max(this->versions.policy, this->told.policy) &&
        peer.directory <=
            std::max(this->versions.directory, this->told.directory)) {
      return;
    }
    this->told.policy = std::max(this->told.policy, peer.policy);
    this->told.directory = std::max(this->told.directory, peer.directory);
    if (this->peers.on_news) {
      this->peers.on_news(this->told);
    }
  }

  // What it takes to send requests.
  bool KnowsState() const { return this->policy && this->has_directory; }

  // True for one result at a time while the store has not given this node what
  // it needs to send requests.
  bool AsksForState() {
    const auto now = this->clock.Now();
    if (this->KnowsState() || now < this->next_state_ask) {
      return false;
    }
    this->next_state_ask = now + kStateAskInterval;
    return true;
  }

  void TakeState(h1::Exchange& exchange) {
    if (this->peers.on_state) {
      this->peers.on_state(exchange.request().body);
    }
    exchange.Respond({200, {}, {}});
  }

  bool StoppingFor(milliseconds time) const {
    return this->stopping && this->clock.Now() - this->stop_began >= time;
  }

  // A request that begins on this machine.
  void Dispatch(std::shared_ptr<h1::Exchange> exchange) {
    std::optional<SteadyTime> latest_end;
    if (this->StoppingFor(kDispatchWhileStopping)) {
      latest_end = this->stop_began + this->settings.grace - kExitReserve -
                   kAnswerReserve;
    }
    this->dispatcher->Handle(std::move(exchange), latest_end);
  }

  // A call from another node for the backend server of this machine.
  void Serve(std::shared_ptr<h1::Exchange> exchange) {
    if (this->StoppingFor(kServeWhileStopping)) {
      pvt::Count(this->statistics.gate_refusals, Reason::kLeaving);
      ServeResult result;
      result.outcome = Outcome::kNotRun;
      result.reason = Reason::kLeaving;
      result.load = this->gate->LoadNow();
      this->Reply(*exchange, std::move(result));
      return;
    }
    auto& request = exchange->request();
    const auto* text = h1::FindHeader(request.headers, kCallField);
    // A client's request may have any path, but each call has the field.
    if (text == nullptr && request.target == pvt::kPeerStatePath) {
      this->TakeState(*exchange);
      return;
    }
    const auto timeout = pvt::ParseMs(
        h1::FindHeader(request.headers, this->settings.fields.timeout_ms));
    const auto info =
        text == nullptr ? Fail("read call", "no call field") : ParseCall(*text);
    if (!info || !timeout) {
      exchange->Respond({400, {}, {}}, true);
      return;
    }
    this->NotePeer(info->sender);
    ServeRequest serve;
    serve.info = *info;
    serve.deadline = exchange->received() + *timeout;
    serve.request = std::move(request);
    pvt::RemoveHopFields(serve.request.headers, this->settings.fields);
    const auto id = this->gate->Submit(
        std::move(serve), [this, exchange](ServeResult result) {
          this->Reply(*exchange, std::move(result));
        });
    // Does nothing for a call that has ended.
    exchange->OnPeerClosed([this, id] { this->gate->Withdraw(id); });
  }

  void Reply(h1::Exchange& exchange, ServeResult result) {
    result.load.leaving =
        result.load.leaving || this->StoppingFor(kServeWhileStopping);
    result.sender = this->versions;
    result.wants_state = this->AsksForState();
    auto response = std::move(result.response);
    if (result.outcome != Outcome::kRan) {
      response = {result.outcome == Outcome::kNotRun ? 503 : 502, {}, {}};
    }
    response.headers.emplace_back(kResultField, FormatResult(result));
    exchange.Respond(std::move(response));
  }

  void AnswerReadiness(h1::Exchange& exchange) {
    if (exchange.request().target != this->settings.ready_path) {
      exchange.Respond({404, {}, {}});
      return;
    }
    const bool is_ready = this->KnowsState() && !this->stopping;
    exchange.Respond({is_ready ? 200 : 503, {}, {}});
  }

  void PollStop() {
    const auto passed = this->clock.Now() - this->stop_began;
    const bool idle = this->outbound->InProgress() == 0 &&
                      this->inbound->InProgress() == 0 &&
                      this->gate->InFlight() == 0;
    const bool time_is_up = passed >= this->settings.grace - kExitReserve;
    const bool may_end = idle && passed >= kLeastLeavingTime;
    if (time_is_up || may_end) {
      this->outbound->Shutdown();
      this->inbound->Shutdown();
    }
    const bool closed = this->outbound->OpenConnections() == 0 &&
                        this->inbound->OpenConnections() == 0;
    if (time_is_up || (may_end && closed)) {
      this->ready->Shutdown();
      this->work.reset();
      this->io_context.stop();
      return;
    }
    this->timers->Add(this->clock.Now() + kStopPoll,
                      [this] { this->PollStop(); });
  }

  MeshSettings settings;
  const Clock& clock;
  asio::io_context io_context{1};
  std::shared_ptr<h1::TimerQueue> timers;
  pvt::DecisionLog log;
  pvt::Statistics statistics;
  h1::ServerLimits client_limits;
  h1::ServerLimits peer_limits;
  std::unique_ptr<pvt::BackendGate> gate;
  std::unique_ptr<pvt::Dispatcher> dispatcher;
  std::unique_ptr<h1::Server> outbound;
  std::unique_ptr<h1::Server> inbound;
  std::unique_ptr<h1::Server> ready;
  std::shared_ptr<const TrafficPolicy> policy;
  StateVersions versions;
  StateVersions told;
  PeerHandlers peers;
  SteadyTime next_state_ask;
  std::size_t directory_size = 0;
  bool has_directory = false;
  bool stopping = false;
  SteadyTime stop_began;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  std::thread thread;
};

Result<std::unique_ptr<MeshNode>> MeshNode::Create(const MeshSettings& settings,
                                                   const Clock& clock) {
  auto impl = std::make_unique<Impl>(settings, clock);
  if (const auto listening = impl->Listen(); !listening) {
    return tl::unexpected(listening.error());
  }
  return std::unique_ptr<MeshNode>(new MeshNode(std::move(impl)));
}

MeshNode::MeshNode(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}

MeshNode::~MeshNode() = default;

void MeshNode::Start() {
  this->impl->Start();
}

void MeshNode::SetPolicy(std::shared_ptr<const TrafficPolicy> policy) {
  this->impl->Post([impl = this->impl.get(), policy = std::move(policy)] {
    impl->SetPolicy(policy);
  });
}

void MeshNode::SetDirectory(std::shared_ptr<const Directory> directory,
                            std::uint64_t version) {
  this->impl->Post([impl = this->impl.get(), directory = std::move(directory),
                    version] { impl->SetDirectory(directory, version); });
}

void MeshNode::SetPeerHandlers(PeerHandlers handlers) {
  this->impl->Post(
      [impl = this->impl.get(), handlers = std::move(handlers)]() mutable {
        impl->SetPeerHandlers(std::move(handlers));
      });
}

void MeshNode::SendState(const PeerAddress& address, std::string state) {
  this->impl->Post(
      [impl = this->impl.get(), address, state = std::move(state)] {
        impl->SendState(address, state);
      });
}

void MeshNode::SetBackend(LocalBackend backend, std::function<void()> applied) {
  this->impl->Post([impl = this->impl.get(), backend = std::move(backend),
                    applied = std::move(applied)] {
    impl->gate_ref().SetBackend(backend);
    if (applied) {
      applied();
    }
  });
}

void MeshNode::RequestStop() {
  this->impl->Post([impl = this->impl.get()] { impl->BeginStop(); });
}

void MeshNode::Join() {
  this->impl->Join();
}

void MeshNode::CollectMetrics(std::function<void(std::string text)> done) {
  this->impl->Post([impl = this->impl.get(), done = std::move(done)] {
    done(impl->Metrics());
  });
}

}  // namespace cassiakeel::mesh
