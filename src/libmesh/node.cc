#include "cassiakeel/mesh/node.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <thread>

#include "backend_gate.h"
#include "cassiakeel/h1/server.h"
#include "cassiakeel/mesh/run_loop.h"
#include "decision_log.h"
#include "dispatcher.h"
#include "header_values.h"
#include "memory_limits.h"
#include "metrics.h"
#include "neighbor_contact.h"
#include "peer_state.h"
#include "peer_versions.h"

namespace cassiakeel::mesh {
namespace {

using std::chrono::milliseconds;

// Minimum time between the request to stop and the end of the node. The
// deployment probes readiness once per second and removes a node after two
// failed probes; until then clients may still send requests.
constexpr milliseconds kMinStopTime{2600};
// Part of the grace period that is reserved for the exit of the process.
constexpr milliseconds kExitReserve{700};
constexpr milliseconds kStopPollInterval{50};
// For this time after the request to stop, the node accepts calls for its
// backend server, because it still receives clients' requests until then
// anyway. Later calls are refused, so that the last accepted ones have time to
// finish.
constexpr milliseconds kAcceptCallsWhileStopping{1700};
// Requests that arrive later than this after the request to stop are accepted
// only if their time limit ends before the node does, so that none is
// interrupted. Clients are told to go elsewhere before.
constexpr milliseconds kAcceptAllWhileStopping{2800};
// Time between the time limit of such a request and the end of the node.
constexpr milliseconds kResponseReserve{250};
// Delay before peers are asked for state; several times the duration of a read
// from the store.
constexpr milliseconds kStateRequestDelay{300};
// Longer than a peer takes to send a directory of 1,000 rows, so that few peers
// send it at the same time.
constexpr milliseconds kStateRequestInterval{400};

}  // namespace

class MeshNode::Impl {
 public:
  Impl(const MeshSettings& settings, const Clock& clock)
      : settings(settings),
        clock(clock),
        timers(h1::TimerQueue::Create(this->io_context, clock)),
        log(clock),
        server_memory(
            h1::ServerMemory::Create(pvt::kMaxServerMemory,
                                     [this](const h1::LimitReport& report) {
                                       this->RecordLimit(report);
                                     })),
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
        work_guard(asio::make_work_guard(this->io_context)) {
    const auto connections = pvt::MaxConnections(settings.max_descriptors);
    this->client_limits.max_connections = connections;
    this->peer_limits.max_connections = connections;
    this->ready_limits.max_connections = pvt::kMaxReadyConnections;
    this->ready_limits.message.body_bytes = 0;
  }

  ~Impl() {
    this->io_context.stop();
    this->Join();
  }

  Result<bool> Listen() {
    auto outbound = h1::Server::Create(
        this->io_context, this->timers, this->settings.outbound_address,
        this->client_limits,
        [this](std::shared_ptr<h1::Exchange> exchange) {
          this->Dispatch(std::move(exchange));
        },
        this->server_memory);
    if (!outbound) {
      return tl::unexpected(outbound.error());
    }
    this->outbound = std::move(*outbound);
    auto inbound = h1::Server::Create(
        this->io_context, this->timers, this->settings.inbound_address,
        this->peer_limits,
        [this](std::shared_ptr<h1::Exchange> exchange) {
          this->Serve(std::move(exchange));
        },
        this->server_memory);
    if (!inbound) {
      return tl::unexpected(inbound.error());
    }
    this->inbound = std::move(*inbound);
    auto ready = h1::Server::Create(
        this->io_context, this->timers, this->settings.ready_address,
        this->ready_limits,
        [this](std::shared_ptr<h1::Exchange> exchange) {
          this->AnswerReadiness(*exchange);
        },
        this->server_memory);
    if (!ready) {
      return tl::unexpected(ready.error());
    }
    this->ready = std::move(*ready);
    return true;
  }

  void Start() {
    this->next_state_request = this->clock.Now() + kStateRequestDelay;
    this->thread = std::thread([this] {
      RunLoop(this->io_context, [this](const std::string& cause) {
        this->log.WriteLimited("unexpected_error",
                               pvt::JsonString("thread", "traffic") + "," +
                                   pvt::JsonString("cause", cause));
      });
    });
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
    pvt::SetOwnPolicy(this->versions, next->version().Value());
    this->dispatcher->SetVersions(this->versions.own);
    const auto& limits = next->limits();
    this->client_limits.message = {limits.header_bytes, limits.body_bytes};
    this->client_limits.header_timeout = limits.header_timeout;
    this->client_limits.idle_timeout = limits.idle_timeout;
    this->peer_limits.message = {limits.header_bytes + pvt::kMaxCallFieldBytes,
                                 limits.body_bytes};
    this->dispatcher->SetPolicy(std::move(next));
  }

  void SetPeerHandlers(PeerHandlers handlers) {
    this->peer_handlers = std::move(handlers);
    this->dispatcher->OnPeerVersions(
        [this](const StateVersions& peer) { this->RecordPeerVersions(peer); });
    this->dispatcher->OnStateRequest(this->peer_handlers.on_state_request);
  }

  void SendState(const PeerAddress& address, std::string state) {
    this->dispatcher->SendState(address, std::move(state));
  }

  void SetDirectory(std::shared_ptr<const Directory> next,
                    const StorePosition& position) {
    pvt::SetOwnDirectory(this->versions, position);
    this->dispatcher->SetVersions(this->versions.own);
    this->directory_size = next->size();
    this->has_directory = true;
    this->dispatcher->SetDirectory(std::move(next));
  }

  void SetStoreStatus(const StoreStatus& status) {
    this->store_status = status;
  }

  void BeginStop() {
    if (this->stopping) {
      return;
    }
    this->stopping = true;
    this->stop_started = this->clock.Now();
    this->outbound->AnnounceClose();
    this->inbound->AnnounceClose();
    this->PollStop();
  }

  std::string Metrics() const {
    pvt::Gauges gauges;
    gauges.policy_version = this->policy ? this->policy->version().Value() : 0;
    gauges.directory_size = this->directory_size;
    gauges.gate_calls = this->gate->InFlight();
    gauges.gate_limit = this->gate->CurrentLoad().limit;
    gauges.server_memory = this->server_memory->used_bytes();
    gauges.log_lines_dropped = this->log.dropped_lines();
    gauges.store = this->store_status;
    return pvt::FormatMetrics(this->statistics, gauges,
                              this->dispatcher->allotment_exchange());
  }

  void RecordLimit(const h1::LimitReport& report) {
    const auto name = h1::ServerLimitName(report.limit);
    ++this->statistics.server_limits[static_cast<std::size_t>(report.limit)];
    this->log.WriteLimited(
        "server_limit",
        pvt::JsonString("limit", name) + "," +
            pvt::JsonString("listen", report.listen.Value()) + "," +
            pvt::JsonNumber("held_bytes",
                            static_cast<std::int64_t>(report.held_bytes)));
  }

  void SetBackend(const LocalBackend& backend) {
    this->gate->SetBackend(backend);
    if (backend.present && !backend.report.leaving) {
      this->dispatcher->OnOwnServerReady(backend.report.service);
    }
  }

 private:
  // Notifies the control thread once of each newer version that a peer has.
  void RecordPeerVersions(const StateVersions& peer) {
    if (!pvt::RecordPeerVersions(this->versions, peer, this->clock.Now())) {
      return;
    }
    this->dispatcher->SetNewestPolicy(this->versions.newest.policy);
    if (this->peer_handlers.on_newer_versions) {
      this->peer_handlers.on_newer_versions(this->versions.newest);
    }
  }

  // True if this node has the state that it needs to dispatch requests.
  bool HasState() const { return this->policy && this->has_directory; }

  // True if the store has not provided the state that this node needs, although
  // it had the time to.
  bool LacksState(SteadyTime now) const {
    return !this->HasState() || pvt::HasLackedPolicy(this->versions, now);
  }

  // True if the next result should ask the caller's node for control state: the
  // store has not provided it, and no other request for it was made recently.
  bool ShouldRequestState() {
    const auto now = this->clock.Now();
    if (!this->LacksState(now) || now < this->next_state_request) {
      return false;
    }
    this->next_state_request = now + kStateRequestInterval;
    return true;
  }

  void ReceiveState(h1::Exchange& exchange) {
    if (this->peer_handlers.on_state) {
      this->peer_handlers.on_state(exchange.request().body);
    }
    exchange.Respond({200, {}, {}});
  }

  bool HasBeenStoppingFor(milliseconds time) const {
    return this->stopping && this->clock.Now() - this->stop_started >= time;
  }

  // Handles a request that originates on this machine.
  void Dispatch(std::shared_ptr<h1::Exchange> exchange) {
    std::optional<SteadyTime> latest_end;
    if (this->HasBeenStoppingFor(kAcceptAllWhileStopping)) {
      latest_end = this->stop_started + this->settings.shutdown_grace -
                   kExitReserve - kResponseReserve;
    }
    this->dispatcher->Handle(std::move(exchange), latest_end);
  }

  // Handles a call from another node for the backend server of this machine.
  void Serve(std::shared_ptr<h1::Exchange> exchange) {
    auto& request = exchange->request();
    const auto* id_field =
        h1::FindHeader(request.headers, this->settings.fields.attempt_id);
    const std::string attempt = id_field == nullptr ? "" : *id_field;
    if (this->HasBeenStoppingFor(kAcceptCallsWhileStopping)) {
      pvt::CountReason(this->statistics.gate_refusals, Reason::kLeaving);
      ServeResult result;
      result.outcome = Outcome::kNotRun;
      result.reason = Reason::kLeaving;
      result.load = this->gate->CurrentLoad();
      this->Reply(*exchange, attempt, std::move(result));
      return;
    }
    const auto* text = h1::FindHeader(request.headers, kCallField);
    // Forwarded client requests may have any path, also this one, but each of
    // them has the call field.
    if (text == nullptr && request.target == pvt::kPeerStatePath) {
      this->ReceiveState(*exchange);
      return;
    }
    if (text == nullptr && request.target == pvt::kContactPath) {
      h1::Response response{200, {}, {}};
      if (this->ShouldRequestState()) {
        response.headers.emplace_back(pvt::kNeedsStateField, "1");
      }
      exchange->Respond(std::move(response));
      return;
    }
    if (text == nullptr && request.target == pvt::kAllotmentPath) {
      const auto grant =
          this->dispatcher->allotment_exchange().OnReport(request.body);
      exchange->Respond({grant ? 200 : 400, {}, grant.value_or("")});
      return;
    }
    const auto timeout = pvt::ParseMilliseconds(
        h1::FindHeader(request.headers, this->settings.fields.timeout_ms));
    const auto info = text == nullptr
                          ? Fail("read call", "header field Ck-Call is missing")
                          : ParseCall(*text);
    if (!info || !timeout) {
      exchange->Respond({400, {}, {}}, true);
      return;
    }
    this->RecordPeerVersions(info->sender);
    ServeRequest serve;
    serve.info = *info;
    serve.deadline = exchange->received() + *timeout;
    serve.request = std::move(request);
    pvt::RemoveHopByHopFields(serve.request.headers, this->settings.fields);
    const auto id = this->gate->Submit(
        std::move(serve), [this, exchange, attempt](ServeResult result) {
          this->Reply(*exchange, attempt, std::move(result));
        });
    // No effect on a finished call.
    exchange->OnPeerClosed([this, id] { this->gate->Withdraw(id); });
  }

  // Responds to another node. The response repeats the id of the attempt, so
  // that the caller's node can tell a late copy from the next response.
  void Reply(h1::Exchange& exchange,
             const std::string& attempt,
             ServeResult result) {
    result.load.leaving = result.load.leaving ||
                          this->HasBeenStoppingFor(kAcceptCallsWhileStopping);
    result.sender = this->versions.own;
    result.needs_state = this->ShouldRequestState();
    auto response = std::move(result.response);
    if (result.outcome != Outcome::kRan) {
      response = {result.outcome == Outcome::kNotRun ? 503 : 502, {}, {}};
    }
    const auto& id_field = this->settings.fields.attempt_id;
    if (!attempt.empty() &&
        h1::FindHeader(response.headers, id_field) == nullptr) {
      response.headers.emplace_back(id_field, attempt);
    }
    response.headers.emplace_back(kResultField, FormatResult(result));
    exchange.Respond(std::move(response));
  }

  void AnswerReadiness(h1::Exchange& exchange) {
    if (exchange.request().target != this->settings.ready_path) {
      exchange.Respond({404, {}, {}});
      return;
    }
    const bool is_ready = this->HasState() && !this->stopping;
    exchange.Respond({is_ready ? 200 : 503, {}, {}});
  }

  void PollStop() {
    const auto elapsed = this->clock.Now() - this->stop_started;
    const bool idle = this->outbound->InProgress() == 0 &&
                      this->inbound->InProgress() == 0 &&
                      this->gate->InFlight() == 0;
    const bool time_is_up =
        elapsed >= this->settings.shutdown_grace - kExitReserve;
    const bool may_end = idle && elapsed >= kMinStopTime;
    if (time_is_up || may_end) {
      this->outbound->Shutdown();
      this->inbound->Shutdown();
    }
    const bool closed = this->outbound->OpenConnections() == 0 &&
                        this->inbound->OpenConnections() == 0;
    if (time_is_up || (may_end && closed)) {
      this->ready->Shutdown();
      this->work_guard.reset();
      this->io_context.stop();
      return;
    }
    this->timers->Add(this->clock.Now() + kStopPollInterval,
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
  h1::ServerLimits ready_limits;
  std::shared_ptr<h1::ServerMemory> server_memory;
  std::unique_ptr<pvt::BackendGate> gate;
  std::unique_ptr<pvt::Dispatcher> dispatcher;
  std::unique_ptr<h1::Server> outbound;
  std::unique_ptr<h1::Server> inbound;
  std::unique_ptr<h1::Server> ready;
  std::shared_ptr<const TrafficPolicy> policy;
  pvt::PeerVersions versions;
  PeerHandlers peer_handlers;
  StoreStatus store_status;
  SteadyTime next_state_request;
  std::size_t directory_size = 0;
  bool has_directory = false;
  bool stopping = false;
  SteadyTime stop_started;
  asio::executor_work_guard<asio::io_context::executor_type> work_guard;
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
                            const StorePosition& position) {
  this->impl->Post([impl = this->impl.get(), directory = std::move(directory),
                    position] { impl->SetDirectory(directory, position); });
}

void MeshNode::SetStoreStatus(const StoreStatus& status) {
  this->impl->Post(
      [impl = this->impl.get(), status] { impl->SetStoreStatus(status); });
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
    impl->SetBackend(backend);
    if (applied) {
      applied();
    }
  });
}

void MeshNode::RecordLimit(h1::LimitReport report) {
  this->impl->Post([impl = this->impl.get(), report = std::move(report)] {
    impl->RecordLimit(report);
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
