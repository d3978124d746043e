#include "dispatcher.h"

#include <algorithm>
#include <random>

#include "dispatched_call.h"
#include "header_values.h"
#include "memory_limits.h"
#include "peer_state.h"

namespace cassiakeel::mesh::pvt {
namespace {

using std::chrono::milliseconds;

// Several times the round trip between zones. A connection attempt to a machine
// that is powered off delays a request by this time.
constexpr milliseconds kConnectTimeout{400};
// Longer than the time between two peaks in demand, so that connections are
// reused in the next one.
constexpr milliseconds kPeerIdleTimeout{20000};
// Three TCP retransmissions at the kernel's minimum interval take 1.4 s (0.2,
// 0.4 and 0.8 s). A peer that has not acknowledged by then cannot be reached
// over this connection.
constexpr milliseconds kDeadPeerTimeout{1500};
// Number of concurrent calls from one node to another at a peak in demand.
constexpr std::size_t kMaxIdleConnectionsPerPeer = 48;
// A few round trips with a directory of 1,000 rows on a loaded machine.
constexpr milliseconds kSendStateTimeout{2000};
// A node that learns of a newer policy from a peer has read it by then.
constexpr milliseconds kBehindRetryAfter{300};
// Sufficient to identify the intended route.
constexpr std::size_t kMaxLoggedPathBytes = 128;

}  // namespace

std::unique_ptr<Dispatcher> Dispatcher::Create(
    asio::io_context& io_context,
    std::shared_ptr<h1::TimerQueue> timers,
    const MeshSettings& settings,
    BackendGate& gate,
    DecisionLog& log,
    Statistics& statistics) {
  return std::unique_ptr<Dispatcher>(new Dispatcher(
      io_context, std::move(timers), settings, gate, log, statistics));
}

Dispatcher::Dispatcher(asio::io_context& io_context,
                       std::shared_ptr<h1::TimerQueue> timers,
                       const MeshSettings& settings,
                       BackendGate& gate,
                       DecisionLog& log,
                       Statistics& statistics)
    : timers(std::move(timers)),
      settings(settings),
      gate(gate),
      log(log),
      statistics(statistics),
      client(h1::Client::Create(io_context,
                                this->timers,
                                {kConnectTimeout,
                                 kPeerIdleTimeout,
                                 kDeadPeerTimeout,
                                 kMaxIdleConnectionsPerPeer,
                                 {kMaxResponseHeader, kMaxResponseBody},
                                 kMaxBufferedResponses})),
      allotments(AllotmentExchange::Create(this->timers,
                                           settings,
                                           *this->client,
                                           log)),
      pools(settings),
      rng(std::random_device()()) {
  this->quota.SetBounds(settings.retry, 1);
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::SetPolicy(std::shared_ptr<const TrafficPolicy> next) {
  this->allotments->SetPolicy(*next);
  this->policy = std::move(next);
}

void Dispatcher::SetDirectory(std::shared_ptr<const Directory> next) {
  this->quota.SetBounds(this->settings.retry, next->size());
  this->pools.Update(*next);
  this->allotments->SetDirectory(*next);
}

void Dispatcher::Handle(std::shared_ptr<h1::Exchange> exchange,
                        std::optional<SteadyTime> latest_end) {
  ++this->statistics.requests;
  const auto& request = exchange->request();
  if (!this->policy) {
    this->Reject(*exchange, {503, {{"Retry-After", "0.3"}}, {}},
                 Reason::kNoPolicy);
    return;
  }
  const auto* host = h1::FindHeader(request.headers, "Host");
  if (host == nullptr || request.target.empty() || request.target[0] != '/') {
    this->Reject(*exchange, {400, {}, {}}, Reason::kBadRequest);
    return;
  }
  const auto* route = this->policy->Find(*host, request.target);
  if (route == nullptr) {
    this->Reject(*exchange, {404, {}, {}}, Reason::kUnknownKind);
    return;
  }
  std::optional<tenancy::Caller> caller;
  if (!this->policy->tenants().empty() &&
      !this->AdmitCaller(*exchange, *route, caller)) {
    return;
  }
  const auto caller_timeout = ParseMilliseconds(
      h1::FindHeader(request.headers, this->settings.fields.timeout_ms));
  std::make_shared<Call>(*this, std::move(exchange), this->policy, *route,
                         std::move(caller), caller_timeout)
      ->Run(latest_end);
}

bool Dispatcher::AdmitCaller(h1::Exchange& exchange,
                             const Route& route,
                             std::optional<tenancy::Caller>& caller) {
  auto& headers = exchange.request().headers;
  if (!route.is_public) {
    caller = tenancy::Authenticate(this->policy->tenants(), headers);
    if (!caller) {
      this->Reject(exchange, this->RefuseCaller(), Reason::kUnauthenticated);
      return false;
    }
    const auto admission = this->allotments->Admit(caller->tenant);
    if (!admission.admitted) {
      this->Reject(
          exchange,
          {429, {{"Retry-After", FormatSeconds(admission.retry_after)}}, {}},
          Reason::kAllotment);
      return false;
    }
  }
  tenancy::ReplaceCredential(headers, this->settings.fields.tenant, caller);
  return true;
}

h1::Response Dispatcher::RefuseCaller() const {
  if (this->policy->version().Value() < this->newest_policy) {
    // The policy that another node already has may hold the key.
    return {503, {{"Retry-After", FormatSeconds(kBehindRetryAfter)}}, {}};
  }
  return {401, {{"WWW-Authenticate", "Bearer"}}, {}};
}

void Dispatcher::SendState(const PeerAddress& address, std::string state) {
  h1::Fetch fetch;
  fetch.peer = address;
  fetch.request = {
      "POST", kPeerStatePath, {{"Host", address.Value()}}, std::move(state)};
  fetch.deadline = this->timers->Now() + kSendStateTimeout;
  this->client->Start(
      std::move(fetch), [this, address](const h1::FetchResult& result) {
        this->log.Write("state_sent",
                        JsonString("to", address.Value()) + "," +
                            JsonNumber("status", result.response.status) + "," +
                            JsonString("cause", result.message));
      });
}

void Dispatcher::Reject(h1::Exchange& exchange,
                        h1::Response response,
                        Reason reason) {
  CountReason(this->statistics.failures, reason);
  const auto& request = exchange.request();
  if (this->log.TakeToken()) {
    const auto* id =
        h1::FindHeader(request.headers, this->settings.fields.attempt_id);
    const auto* host = h1::FindHeader(request.headers, "Host");
    const auto path = request.target.substr(
        0, std::min(request.target.find('?'), kMaxLoggedPathBytes));
    const auto version =
        this->policy ? this->policy->version() : PolicyVersion(0);
    this->log.Write(
        "request_rejected",
        JsonString("attempt", id == nullptr ? "" : *id) + "," +
            JsonString("host", host == nullptr ? "" : *host) + "," +
            JsonString("path", path) + "," +
            JsonString("reason", ReasonName(reason)) + "," +
            JsonNumber("status", response.status) + "," +
            JsonNumber("policy", static_cast<std::int64_t>(version.Value())));
  }
  // After a malformed request, the rest of the connection's input is not
  // trusted either, so the connection is closed.
  exchange.Respond(std::move(response), reason == Reason::kBadRequest);
}

}  // namespace cassiakeel::mesh::pvt
