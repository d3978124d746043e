#include "peer_calls.h"

#include <capnp/rpc-twoparty.h>
#include <peer.capnp.h>

#include <algorithm>
#include <utility>

#include "cassiakeel/membership/codec.h"
#include "rpc_bytes.h"
#include "sockets.h"

namespace cassiakeel::control::pvt {
namespace {

kj::StringPtr Text(const std::string& text) {
  return {text.c_str(), text.size()};
}

std::string FromBytes(kj::ArrayPtr<const kj::byte> bytes) {
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

capnp::ReaderOptions RpcLimits() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxRpcWords;
  return options;
}

/// Client connection of one call.
struct PeerConnection {
  PeerConnection(kj::Own<kj::AsyncIoStream> connected, ControlStats& stats)
      : stats(stats),
        stream(kj::mv(connected)),
        network(*this->stream, capnp::rpc::twoparty::Side::CLIENT, RpcLimits()),
        rpc(capnp::makeRpcClient(this->network)) {}
  ~PeerConnection() { CountBytes(*this->stream, this->stats); }
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  wire::Peer::Client Peer() {
    capnp::MallocMessageBuilder message;
    auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
    vat.setSide(capnp::rpc::twoparty::Side::SERVER);
    return this->rpc.bootstrap(vat).castAs<wire::Peer>();
  }

  ControlStats& stats;
  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

/// Connects to `peer` and runs `call`, which takes a `Peer::Client` and returns
/// a promise.
template <typename Call>
auto CallPeer(PeerCaller& caller, const PeerAddress& peer, Call call)
    -> decltype(call(std::declval<wire::Peer::Client>())) {
  ++caller.stats.rpc_calls_sent;
  auto address = ToNetworkAddress(caller.network, peer);
  auto& stats = caller.stats;
  auto connecting = address->connect();
  auto called = connecting.attach(kj::mv(address))
                    .then([&stats, call = kj::mv(call)](
                              kj::Own<kj::AsyncIoStream>&& stream) mutable {
                      auto open =
                          kj::heap<PeerConnection>(kj::mv(stream), stats);
                      auto answer = call(open->Peer());
                      return answer.attach(kj::mv(open));
                    });
  return caller.timer.timeoutAfter(caller.timeout.count() * kj::MILLISECONDS,
                                   kj::mv(called));
}

}  // namespace

kj::Promise<PolicyDocument> FetchPolicy(PeerCaller& caller,
                                        const PeerAddress& peer,
                                        const PolicyDocument& base,
                                        bool full_sheet) {
  return CallPeer(caller, peer, [base, full_sheet](wire::Peer::Client client) {
    auto request = client.fetchPolicyRequest();
    request.setMinVersion(base.version.Value() + 1);
    request.setBaseVersion(full_sheet ? 0 : base.version.Value());
    return request.send().then([base](auto&& response) {
      const auto head = response.getHeadJson();
      PolicyDocument fetched{PolicyVersion(response.getVersion()),
                             std::string(head.begin(), head.size()),
                             FromBytes(response.getSheetBytes())};
      const SheetDelta delta{base.version, response.getKeptPrefix(),
                             response.getKeptSuffix()};
      if (delta.prefix != 0 || delta.suffix != 0) {
        auto sheet = ApplySheetDelta(base, delta, fetched.sheet_bytes);
        if (!sheet) {
          throw Exception({"fetch policy", PeerAddress(),
                           "sheet delta does not match the base sheet"});
        }
        fetched.sheet_bytes = std::move(*sheet);
      }
      return fetched;
    });
  });
}

kj::Promise<std::vector<membership::Member>> FetchMembers(
    PeerCaller& caller,
    const PeerAddress& peer) {
  return CallPeer(caller, peer, [](wire::Peer::Client client) {
    return client.fetchMembersRequest().send().then([](auto&& response) {
      auto members =
          membership::DecodeMembers(FromBytes(response.getPackedMembers()));
      if (!members) {
        throw Exception(members.error());
      }
      return std::move(*members);
    });
  });
}

kj::Promise<LeaseGrant> CallGrantLease(PeerCaller& caller,
                                       const PeerAddress& peer,
                                       const LeaseRequest& lease) {
  return CallPeer(caller, peer, [lease](wire::Peer::Client client) {
    auto request = client.grantLeaseRequest();
    request.setHolder(Text(lease.holder.Value()));
    request.setIncarnation(lease.incarnation.Value());
    request.setGrantorIncarnation(lease.grantor_incarnation.Value());
    request.setTerm(Text(lease.term));
    return request.send().then(
        [](auto&& response) { return LeaseGrant{response.getGranted()}; });
  });
}

kj::Promise<Outcome> CallAttemptState(PeerCaller& caller,
                                      const PeerAddress& peer,
                                      const AttemptId& attempt) {
  return CallPeer(caller, peer, [attempt](wire::Peer::Client client) {
    auto request = client.attemptStateRequest();
    request.setId(Text(attempt.Value()));
    return request.send().then([](auto&& response) {
      const auto text = response.getOutcome();
      return ParseOutcome({text.begin(), text.size()})
          .value_or(Outcome::kUnknown);
    });
  });
}

}  // namespace cassiakeel::control::pvt
