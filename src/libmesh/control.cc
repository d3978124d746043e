#include "cassiakeel/mesh/control.h"

#include <algorithm>
#include <asio/post.hpp>

#include "decision_log.h"
#include "peer_state.h"

namespace cassiakeel::mesh {
namespace {

using std::chrono::milliseconds;

// A new policy is applied at once. A series of directory rows is gathered,
// because each answer costs every node a call to the store; a departure is
// known to its own gate at once, and a new server may wait for some seconds.
constexpr milliseconds kPolicyPause{0};
constexpr milliseconds kDirectoryPause{1800};
// Reports may come seconds late.
constexpr int kMissedReports = 3;
constexpr milliseconds kReportSlack{700};

}  // namespace

class MeshControl::Impl {
 public:
  Impl(asio::io_context& io_context,
       const MeshSettings& mesh,
       const ControlSettings& settings,
       SharedStore& store,
       std::shared_ptr<h1::TimerQueue> timers,
       const Clock& clock,
       MeshNode& node,
       PolicyDecoder decode_policy)
      : mesh(mesh),
        settings(settings),
        node(node),
        decode_policy(std::move(decode_policy)),
        log(clock) {
    this->registrar =
        Registrar::Create(store, timers, settings.directory_table, mesh.node);
    this->watch = BackendWatch::Create(
        timers, clock, settings.report_interval * kMissedReports + kReportSlack,
        [this](const LocalBackend& backend) { this->OnBackend(backend); });
    this->policy_rows = TableFollower::Create(
        store, timers, settings.policy_table, kPolicyPause,
        [this](const RowMap& rows) { this->OnPolicyRows(rows); },
        this->LinkLogger(settings.policy_table));
    this->directory_rows = TableFollower::Create(
        store, timers, settings.directory_table, kDirectoryPause,
        [this](const RowMap& rows) { this->OnDirectoryRows(rows); },
        this->LinkLogger(settings.directory_table));
    node.SetPeerHandlers(this->PeerHandlersOn(io_context));
  }

  void Start() {
    this->policy_rows->Start();
    this->directory_rows->Start();
  }

  void OnReport(const BackendReport& report, std::function<void()> applied) {
    this->on_applied = std::move(applied);
    this->watch->OnReport(report);
    this->RunApplied();
  }

  void OnDeparture(const InstanceId& instance,
                   std::int64_t started_at_ms,
                   std::function<void()> applied) {
    this->on_applied = std::move(applied);
    this->watch->OnDeparture(instance, started_at_ms);
    this->RunApplied();
  }

 private:
  // The handlers run on the traffic thread and hand over to this one.
  PeerHandlers PeerHandlersOn(asio::io_context& io_context) {
    return {
        [this, &io_context](const StateVersions& peer) {
          asio::post(io_context, [this, peer] { this->OnPeerVersions(peer); });
        },
        [this, &io_context](const PeerAddress& address) {
          asio::post(io_context,
                     [this, address] { this->OnStateWanted(address); });
        },
        [this, &io_context](const std::string& state) {
          asio::post(io_context, [this, state] { this->OnPeerState(state); });
        }};
  }

  void OnPeerVersions(const StateVersions& peer) {
    if (peer.policy > this->policy_version.Value()) {
      this->policy_rows->Expect([this, wanted = peer.policy] {
        return this->policy_version.Value() < wanted;
      });
    }
    if (peer.directory > this->directory_version) {
      this->directory_rows->Expect([this, wanted = peer.directory] {
        return this->directory_version < wanted;
      });
    }
  }

  void OnStateWanted(const PeerAddress& address) {
    if (this->policy_in_force.empty() || !this->directory_rows->loaded()) {
      return;
    }
    this->node.SendState(
        address, pvt::EncodePeerState(
                     {this->policy_in_force, this->directory_rows->rows()}));
  }

  void OnPeerState(const std::string& text) {
    const auto state = pvt::DecodePeerState(text);
    if (!state) {
      this->log.Write("state_refused",
                      pvt::Text("cause", state.error().ToString()));
      return;
    }
    if (this->policy_in_force.empty()) {
      this->OnPolicyRows(state->policy);
    }
    if (!this->directory_rows->loaded()) {
      this->ApplyDirectory(state->directory, "peer");
    }
  }

  TableFollower::LinkHandler LinkLogger(const std::string& table) {
    return [this, table](bool up, const std::string& cause) {
      this->log.Write(
          up ? "store_regained" : "store_lost",
          pvt::Text("table", table) + "," + pvt::Text("cause", cause));
    };
  }

  // Reports that change nothing are confirmed at once.
  void RunApplied() {
    if (const auto applied = std::exchange(this->on_applied, nullptr)) {
      applied();
    }
  }

  void OnBackend(const LocalBackend& backend) {
    this->log.Write(
        "backend",
        pvt::Text("instance", backend.report.instance.Value()) + "," +
            pvt::Num("present", static_cast<int>(backend.present)) + "," +
            pvt::Num("leaving", static_cast<int>(backend.report.leaving)) +
            "," + pvt::Num("slots", backend.report.slots.Value()));
    this->node.SetBackend(backend, std::exchange(this->on_applied, nullptr));
    DirectoryEntry entry;
    entry.node = this->mesh.node;
    entry.address = this->mesh.advertised.Value().empty()
                        ? this->mesh.inbound
                        : this->mesh.advertised;
    entry.zone = this->mesh.zone;
    entry.service = backend.report.service;
    entry.instance = backend.report.instance;
    entry.slots = backend.report.slots;
    entry.started_at_ms = backend.report.started_at_ms;
    entry.leaving = backend.report.leaving || !backend.present;
    this->registrar->Publish(entry);
  }

  void OnPolicyRows(const RowMap& rows) {
    const auto found = rows.find(this->settings.policy_key);
    if (found == rows.end()) {
      return;
    }
    const auto policy = this->decode_policy(found->second.value);
    if (!policy) {
      this->log.Write("policy_refused",
                      pvt::Text("cause", policy.error().ToString()));
      return;
    }
    const auto version = (*policy)->version();
    if (version <= this->policy_version) {
      return;
    }
    this->log.Write(
        "policy",
        pvt::Num("version", static_cast<std::int64_t>(version.Value())) + "," +
            pvt::Num("routes",
                     static_cast<std::int64_t>((*policy)->routes().size())));
    this->policy_version = version;
    this->policy_in_force = {*found};
    this->node.SetPolicy(*policy);
  }

  void OnDirectoryRows(const RowMap& rows) {
    this->registrar->OnRows(rows);
    this->ApplyDirectory(rows, "store");
  }

  void ApplyDirectory(const RowMap& rows, std::string_view source) {
    auto directory = std::make_shared<const Directory>(DecodeDirectory(rows));
    for (const auto& [key, row] : rows) {
      this->directory_version = std::max(this->directory_version, row.version);
    }
    this->log.Write(
        "directory",
        pvt::Num("entries", static_cast<std::int64_t>(directory->size())) +
            "," +
            pvt::Num("version",
                     static_cast<std::int64_t>(this->directory_version)) +
            "," + pvt::Text("source", source));
    this->RestoreBackend(*directory);
    this->node.SetDirectory(std::move(directory), this->directory_version);
  }

  // A restarted node serves its backend server again before the next report.
  // Each request names the instance expected, so that a row of a server that is
  // gone does no harm.
  void RestoreBackend(const Directory& directory) {
    const auto found = directory.find(this->mesh.node);
    if (found == directory.end() || found->second.leaving ||
        found->second.service != this->mesh.service ||
        this->mesh.backend.Value().empty()) {
      return;
    }
    BackendReport report;
    report.instance = found->second.instance;
    report.service = found->second.service;
    report.address = this->mesh.backend;
    report.slots = found->second.slots;
    report.started_at_ms = found->second.started_at_ms;
    this->watch->Restore(report);
  }

  MeshSettings mesh;
  ControlSettings settings;
  MeshNode& node;
  PolicyDecoder decode_policy;
  pvt::DecisionLog log;
  std::shared_ptr<Registrar> registrar;
  std::unique_ptr<BackendWatch> watch;
  std::shared_ptr<TableFollower> policy_rows;
  std::shared_ptr<TableFollower> directory_rows;
  PolicyVersion policy_version;
  /// The row that the policy was read from; the store may hold a later one that
  /// was refused.
  RowMap policy_in_force;
  std::uint64_t directory_version = 0;
  std::function<void()> on_applied;
};

std::unique_ptr<MeshControl> MeshControl::Create(
    asio::io_context& io_context,
    const MeshSettings& mesh,
    const ControlSettings& settings,
    SharedStore& store,
    std::shared_ptr<h1::TimerQueue> timers,
    const Clock& clock,
    MeshNode& node,
    PolicyDecoder decode_policy) {
  return std::unique_ptr<MeshControl>(new MeshControl(std::make_unique<Impl>(
      io_context, mesh, settings, store, std::move(timers), clock, node,
      std::move(decode_policy))));
}

MeshControl::MeshControl(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}

MeshControl::~MeshControl() = default;

void MeshControl::Start() {
  this->impl->Start();
}

void MeshControl::OnReport(const BackendReport& report,
                           std::function<void()> applied) {
  this->impl->OnReport(report, std::move(applied));
}

void MeshControl::OnDeparture(const InstanceId& instance,
                              std::int64_t started_at_ms,
                              std::function<void()> applied) {
  this->impl->OnDeparture(instance, started_at_ms, std::move(applied));
}

}  // namespace cassiakeel::mesh
