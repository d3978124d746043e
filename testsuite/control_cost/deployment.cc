#include "deployment.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

namespace cassiakeel::control_cost {
namespace {

constexpr int kEndpointsPerService = 18;
constexpr int kZones = 10;
constexpr int kRegions = 3;
constexpr int kSlots = 70;
/// Size of the IPv4 and UDP headers, which the gossip counters do not include.
constexpr std::uint64_t kDatagramHeaderBytes = 28;
constexpr std::chrono::milliseconds kPollInterval{10};

/// Accepts any sheet with a higher version. The cost of signature checks and
/// parsing is measured separately, with libpolicy.
Result<std::shared_ptr<const policy::Policy>> CheckPolicy(
    PolicyVersion current,
    const std::string& head_json,
    const std::string& /*sheet*/) {
  const auto head = nlohmann::json::parse(head_json);
  auto checked = std::make_shared<policy::Policy>();
  checked->version = PolicyVersion(head.at("version").get<std::uint64_t>());
  checked->digest = head.at("digest").get<std::string>();
  if (checked->version <= current) {
    return Fail("check policy", "version is not higher than the current one");
  }
  return checked;
}

control::ControlOptions MakeOptions(int index) {
  control::ControlOptions options;
  options.node = NodeId(fmt::format("node-{:04}", index));
  options.zone = ZoneName(fmt::format("zone-{}", index % kZones));
  options.region =
      RegionName(fmt::format("region-{}", index % kZones % kRegions));
  options.gossip = PeerAddress("127.0.0.1:0");
  options.rpc = PeerAddress("127.0.0.1:0");
  options.traffic = PeerAddress(fmt::format("127.0.0.1:{}", 20000 + index));
  options.check_policy = CheckPolicy;
  options.random_seed = static_cast<std::uint64_t>(index) + 1;
  return options;
}

}  // namespace

Deployment::Deployment(int count) {
  for (int index = 0; index < count; ++index) {
    auto node = std::make_unique<Node>();
    auto thread = control::ControlThread::Create(
        MakeOptions(index), this->memory.table(), this->memory.objects(),
        this->clock, node->board);
    if (!thread) {
      throw std::runtime_error(thread.error().ToString());
    }
    node->thread = std::move(*thread);
    node->thread->SetService(
        ServiceName(fmt::format("service-{:02}", index / kEndpointsPerService)),
        Slots(kSlots));
    this->nodes.push_back(std::move(node));
  }
}

Deployment::~Deployment() {
  // Stop all nodes in parallel; if they stopped one after the other, each would
  // notify the remaining ones.
  std::vector<std::thread> stopping;
  stopping.reserve(this->nodes.size());
  for (auto& node : this->nodes) {
    stopping.emplace_back([&node] { node->thread->Stop(); });
  }
  for (auto& thread : stopping) {
    thread.join();
  }
}

PolicyVersion Deployment::ApprovePolicy(std::size_t sheet_bytes) {
  this->version = PolicyVersion(this->version.Value() + 1);
  const auto digest = fmt::format("{:064x}", this->version.Value());
  std::string sheet(sheet_bytes, 's');
  // Changes a single line in the middle, as most policy changes do.
  sheet.replace(sheet_bytes / 2, digest.size(), digest);
  this->memory.objects().Put("sheets/" + digest, sheet);
  const nlohmann::json head{{"version", this->version.Value()},
                            {"digest", digest}};
  this->memory.table().Transact({{"policy/head", head.dump(), std::nullopt}});
  return this->version;
}

std::optional<std::chrono::milliseconds> Deployment::TimeUntilAll(
    const std::function<bool(const Node&)>& test,
    std::chrono::seconds limit,
    int except) {
  const auto start = std::chrono::steady_clock::now();
  std::size_t passed = 0;
  while (std::chrono::steady_clock::now() - start < limit) {
    while (passed < this->nodes.size() &&
           (static_cast<int>(passed) == except || test(*this->nodes[passed]))) {
      ++passed;
    }
    if (passed == this->nodes.size()) {
      return std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::steady_clock::now() - start);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return std::nullopt;
}

Usage Deployment::ReadUsage() const {
  Usage usage;
  for (const auto& node : this->nodes) {
    const auto stats = node->board.stats.Read();
    if (!stats) {
      continue;
    }
    const auto& gossip = stats->membership;
    usage.bytes_sent += gossip.bytes_sent + stats->rpc_bytes_sent +
                        kDatagramHeaderBytes * gossip.datagrams_sent;
    usage.bytes_received += gossip.bytes_received + stats->rpc_bytes_received +
                            stats->store_bytes_read +
                            kDatagramHeaderBytes * gossip.datagrams_received;
    usage.messages += gossip.datagrams_sent + stats->rpc_calls_sent +
                      stats->rpc_connections_served;
    usage.cpu_time += stats->processor_time;
    usage.suspicions += gossip.suspicions;
    usage.deaths += gossip.deaths;
    usage.store_failures += stats->store_failures;
  }
  return usage;
}

}  // namespace cassiakeel::control_cost
