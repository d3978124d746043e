#include "peer_server.h"

#include <capnp/rpc-twoparty.h>
#include <netinet/in.h>
// Declares the byte counters of tcp_info, which netinet/tcp.h lacks.
#include <linux/tcp.h>
#include <peer.capnp.h>

#include <cstddef>
#include <utility>

#include "rpc_bytes.h"

namespace cassiakeel::control::pvt {
namespace {

constexpr int kMaxConnections = 64;
constexpr auto kMaxConnectionDuration = 10 * kj::SECONDS;

kj::StringPtr Text(const std::string& text) {
  return {text.c_str(), text.size()};
}

kj::ArrayPtr<const kj::byte> Bytes(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

class PeerService final : public wire::Peer::Server {
 public:
  explicit PeerService(PeerHandlers handlers) : handlers(std::move(handlers)) {}

 protected:
  kj::Promise<void> fetchPolicy(FetchPolicyContext context) override {
    const auto& policy = this->handlers.policy();
    if (policy.version.Value() != 0 &&
        policy.version.Value() >= context.getParams().getMinVersion()) {
      const auto delta = this->handlers.sheet_delta();
      const bool partial =
          delta.base.Value() != 0 &&
          delta.base.Value() == context.getParams().getBaseVersion();
      const auto prefix = partial ? delta.prefix : 0;
      const auto suffix = partial ? delta.suffix : 0;
      const auto& sheet = policy.sheet_bytes;
      auto results = context.getResults();
      results.setVersion(policy.version.Value());
      results.setHeadJson(Text(policy.head_json));
      results.setSheetBytes(Bytes(sheet).slice(prefix, sheet.size() - suffix));
      results.setKeptPrefix(prefix);
      results.setKeptSuffix(suffix);
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> fetchMembers(FetchMembersContext context) override {
    const auto packed = this->handlers.packed_members();
    context.getResults().setPackedMembers(Bytes(packed));
    return kj::READY_NOW;
  }

  kj::Promise<void> grantLease(GrantLeaseContext context) override {
    const auto params = context.getParams();
    const auto holder = params.getHolder();
    KJ_REQUIRE(holder.size() > 0, "holder is empty");
    LeaseRequest request;
    request.holder = NodeId({holder.begin(), holder.size()});
    request.incarnation = Incarnation(params.getIncarnation());
    request.grantor_incarnation = Incarnation(params.getGrantorIncarnation());
    const auto term = params.getTerm();
    request.term.assign(term.begin(), term.size());
    if (this->handlers.grant_lease) {
      const auto grant = this->handlers.grant_lease(request);
      context.getResults().setGranted(grant.granted);
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> attemptState(AttemptStateContext context) override {
    const auto id = context.getParams().getId();
    auto outcome = Outcome::kUnknown;
    if (this->handlers.attempt_state) {
      outcome =
          this->handlers.attempt_state(AttemptId({id.begin(), id.size()}));
    }
    context.getResults().setOutcome(Text(std::string(OutcomeName(outcome))));
    return kj::READY_NOW;
  }

 private:
  PeerHandlers handlers;
};

capnp::ReaderOptions RpcLimits() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxRpcWords;
  return options;
}

struct ServedConnection {
  ServedConnection(kj::Own<kj::AsyncIoStream> accepted,
                   wire::Peer::Client peer,
                   ControlStats& stats)
      : stats(stats),
        stream(kj::mv(accepted)),
        network(*this->stream, capnp::rpc::twoparty::Side::SERVER, RpcLimits()),
        rpc(capnp::makeRpcServer(this->network, kj::mv(peer))) {}
  ~ServedConnection() { CountBytes(*this->stream, this->stats); }
  ServedConnection(const ServedConnection&) = delete;
  ServedConnection& operator=(const ServedConnection&) = delete;

  ControlStats& stats;
  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

class PeerServer final : private kj::TaskSet::ErrorHandler {
 public:
  PeerServer(kj::Own<kj::ConnectionReceiver> receiver,
             PeerHandlers handlers,
             kj::Timer& timer,
             ControlStats& stats)
      : receiver(kj::mv(receiver)),
        peer(kj::heap<PeerService>(std::move(handlers))),
        timer(timer),
        stats(stats),
        connections(*this) {}

  kj::Promise<void> Accept() {
    return this->receiver->accept().then(
        [this](kj::Own<kj::AsyncIoStream>&& stream) {
          if (this->open < kMaxConnections) {
            this->Serve(kj::mv(stream));
          }
          return this->Accept();
        });
  }

 private:
  void Serve(kj::Own<kj::AsyncIoStream> stream) {
    ++this->open;
    ++this->stats.rpc_connections_served;
    auto connection =
        kj::heap<ServedConnection>(kj::mv(stream), this->peer, this->stats);
    auto closed = connection->network.onDisconnect();
    this->connections.add(
        this->timer.timeoutAfter(kMaxConnectionDuration, kj::mv(closed))
            .attach(kj::mv(connection), kj::defer([this]() { --this->open; })));
  }

  void taskFailed(kj::Exception&& /*exception*/) override {
    ++this->stats.tasks_failed;
  }

  kj::Own<kj::ConnectionReceiver> receiver;
  wire::Peer::Client peer;
  kj::Timer& timer;
  ControlStats& stats;
  int open = 0;
  kj::TaskSet connections;
};

}  // namespace

void CountBytes(kj::AsyncIoStream& stream, ControlStats& stats) {
  tcp_info info{};
  kj::uint length = sizeof(info);
  try {
    stream.getsockopt(IPPROTO_TCP, TCP_INFO, &info, &length);
  } catch (const kj::Exception&) {
    return;
  }
  constexpr auto kNeeded = offsetof(tcp_info, tcpi_bytes_received) +
                           sizeof(info.tcpi_bytes_received);
  if (length >= kNeeded) {
    stats.rpc_bytes_sent += info.tcpi_bytes_acked;
    stats.rpc_bytes_received += info.tcpi_bytes_received;
  }
}

kj::Promise<void> ServePeers(kj::Own<kj::ConnectionReceiver> listener,
                             PeerHandlers handlers,
                             kj::Timer& timer,
                             ControlStats& stats) {
  auto server =
      kj::heap<PeerServer>(kj::mv(listener), std::move(handlers), timer, stats);
  auto accepting = server->Accept();
  return accepting.attach(kj::mv(server));
}

}  // namespace cassiakeel::control::pvt
