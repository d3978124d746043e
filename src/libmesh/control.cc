#include "cassiakeel/mesh/control.h"

#include <algorithm>
#include <asio/post.hpp>

#include "cassiakeel/mesh/departure_keeper.h"
#include "cassiakeel/mesh/directory_view.h"
#include "control_log.h"
#include "decision_log.h"
#include "neighbor_contact.h"
#include "own_backend.h"
#include "peer_state.h"
#include "policy_poll_pace.h"
#include "row_announcer.h"
#include "store_pace.h"

namespace cassiakeel::mesh {
namespace {

using std::chrono::milliseconds;

// Policy changes are applied at once.
constexpr milliseconds kPolicyPollInterval{0};
// A backend server is considered gone after this number of report intervals
// plus kReportMargin without a report. Reports may be seconds late.
constexpr int kMaxMissedReports = 3;
constexpr milliseconds kReportMargin{700};

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
       PolicyDecoder decode_policy,
       PolicyRedactor redact_policy)
      : io_context(io_context),
        mesh(mesh),
        settings(settings),
        node(node),
        decode_policy(std::move(decode_policy)),
        redact_policy(std::move(redact_policy)),
        log(clock),
        timers(timers),
        grace_timer(timers) {
    this->history = StoreHistory::Create(
        [this](const StoreHistory::Return& noticed) {
          this->OnStoreReturned(noticed);
        },
        [this](StoreEra known) { pvt::LogEraMissing(this->log, known); });
    this->registrar = Registrar::Create(store, this->history, timers,
                                        settings.directory_table, mesh.node);
    this->registrar->OnStored([this](std::uint64_t version) {
      this->ReloadDirectoryIfBehind({this->history->era(), version});
      this->UpdateStoreStatus();
    });
    // A peer may have written a departure that this node lost in a restart.
    this->registrar->OnConflict([this](const StoredRow& row) {
      if (const auto entry = DecodeDirectoryEntry(row.key, row.value)) {
        this->backend->OnStoredRow(*entry);
      }
    });
    this->keeper = DepartureKeeper::Create(
        store, this->history, timers, settings.directory_table, mesh.node,
        [this](const DirectoryEntry& entry) {
          this->log.Write(
              "departure_rewritten",
              pvt::JsonString("node", entry.node.Value()) + "," +
                  pvt::JsonString("instance", entry.instance.Value()));
          ++this->store_status.departures_rewritten;
          this->UpdateStoreStatus();
        });
    this->announcer = pvt::RowAnnouncer::Create(
        io_context, timers, [this](const pvt::AnnouncementReport& report) {
          pvt::LogAnnouncement(this->log, report);
        });
    this->contact = pvt::NeighborContact::Create(
        io_context, timers, mesh.node,
        [this](const PeerAddress& address) { this->OnStateRequest(address); });
    this->backend = pvt::OwnBackend::Create(
        {io_context, this->mesh, clock, node, *this->registrar,
         *this->announcer, this->log},
        timers, settings.report_interval * kMaxMissedReports + kReportMargin,
        [this](const DirectoryEntry& entry) {
          // Later, because the directory may be about to change.
          asio::post(this->io_context,
                     [this, entry] { this->Announce(entry); });
        });
    this->policy_rows = TableFollower::Create(
        store, this->history, timers, settings.policy_table,
        kPolicyPollInterval,
        [this](const RowMap& rows) {
          this->OnPolicyRows(rows, true);
          this->UpdateStoreStatus();
        },
        this->ConnectionLogger(settings.policy_table),
        [this](const TableReadReport& report) {
          pvt::LogTableRead(this->log, this->settings.policy_table, report);
          this->directory_rows->Verify();
        });
    this->directory_rows = TableFollower::Create(
        store, this->history, timers, settings.directory_table,
        pvt::kDirectoryPollInterval,
        [this](const RowMap& rows) { this->OnDirectoryRows(rows); },
        this->ConnectionLogger(settings.directory_table),
        [this](const TableReadReport& report) {
          pvt::LogTableRead(this->log, this->settings.directory_table, report);
        });
    this->poll_pace = pvt::PolicyPollPace::Create(timers, this->policy_rows);
    node.SetPeerHandlers(this->MakePeerHandlers());
  }

  void Start() {
    this->policy_rows->Start();
    this->directory_rows->Start();
  }

  void OnReport(const BackendReport& report, ConfirmHandler confirm) {
    this->backend->OnReport(report, std::move(confirm));
  }

  void OnDeparture(const InstanceId& instance,
                   std::int64_t started_at_ms,
                   ConfirmHandler confirm) {
    this->backend->OnDeparture(instance, started_at_ms, std::move(confirm));
  }

 private:
  // The handlers run on the traffic thread and post to the control thread.
  PeerHandlers MakePeerHandlers() {
    return {[this](const StateVersions& peer) {
              asio::post(this->io_context,
                         [this, peer] { this->OnPeerVersions(peer); });
            },
            [this](const PeerAddress& address) {
              asio::post(this->io_context,
                         [this, address] { this->OnStateRequest(address); });
            },
            [this](const std::string& state) {
              asio::post(this->io_context,
                         [this, state] { this->OnPeerState(state); });
            }};
  }

  void OnPeerVersions(const StateVersions& peer) {
    this->newest.policy = std::max(this->newest.policy, peer.policy);
    if (this->newest.policy > this->policy_version.Value()) {
      this->policy_rows->ReloadIfBehind([this] {
        return this->policy_version.Value() < this->newest.policy;
      });
    }
    if (peer.directory.era > this->history->era()) {
      this->policy_rows->CheckWithin(
          pvt::RereadSpread(this->poll_pace->nodes()));
    }
    this->ReloadDirectoryIfBehind(peer.directory);
  }

  // Reads the directory again if the poll does not bring `position`, which a
  // peer or this node's own write has shown to exist. A poll that began while
  // the store was silent has no reply until it times out, on all nodes alike.
  void ReloadDirectoryIfBehind(const StorePosition& position) {
    this->newest.directory = std::max(this->newest.directory, position);
    if (this->newest.directory > this->directory_position) {
      this->directory_rows->ReloadIfBehind(
          [this] { return this->directory_position < this->newest.directory; });
    }
  }

  // Ends the recovery from a return once both tables were read and this node's
  // row is stored. Called after each step.
  void UpdateStoreStatus() {
    this->store_status.era = this->history->era();
    if (this->recovery_started && this->policy_rows->is_current() &&
        this->directory_rows->is_current() && this->registrar->IsStored()) {
      const auto time = std::chrono::duration_cast<milliseconds>(
          this->timers->Now() - *std::exchange(this->recovery_started, {}));
      this->store_status.rebuild_time = time;
      this->log.Write("store_rebuilt",
                      pvt::JsonNumber("after_ms", time.count()));
    }
    this->node.SetStoreStatus(this->store_status);
  }

  // What the store has lost is in its tables again once their owners have read
  // them.
  void OnStoreReturned(const StoreHistory::Return& noticed) {
    pvt::LogStoreReturned(this->log, noticed, this->history->epoch());
    this->directory_position = {this->history->era(), 0};
    // What peers told may be of an earlier era that the store did not name.
    if (this->newest.directory.era <= this->history->era()) {
      this->newest.directory = this->directory_position;
    }
    this->store_status.returns = this->history->epoch();
    this->store_status.rebuild_time.reset();
    const auto now = this->timers->Now();
    this->recovery_started = now;
    BeginReturn(this->view, now);
    this->grace_timer.Cancel();
    this->keeper->OnStoreReturned();
    this->registrar->OnStoreReturned();
    pvt::CountReturn(this->recent_returns, now);
    const auto spread =
        pvt::RereadSpread(this->poll_pace->nodes(), this->recent_returns);
    this->policy_rows->OnStoreReturned(spread);
    this->directory_rows->OnStoreReturned(spread);
    this->UpdateStoreStatus();
  }

  void OnStateRequest(const PeerAddress& address) {
    if (this->policy_in_force.empty() || !this->directory_rows->loaded()) {
      return;
    }
    this->node.SendState(address, pvt::EncodePeerState({this->policy_in_force,
                                                        this->KnownRows()}));
  }

  // The rows of the directory as this node knows them. The stored ones may lack
  // what was announced, and after a return of the store more than that.
  RowMap KnownRows() const {
    if (this->view.kept.empty() && this->view.announced_departures.empty()) {
      return this->directory_rows->rows();
    }
    RowMap rows;
    for (const auto& [node, entry] :
         KnownDirectory(this->view, this->timers->Now())) {
      const auto version = this->view.stored_versions.find(node);
      rows[node.Value()] = {
          node.Value(), EncodeDirectoryEntry(entry),
          version == this->view.stored_versions.end() ? 0 : version->second};
    }
    return rows;
  }

  void OnPeerState(const std::string& text) {
    const auto state = pvt::DecodePeerState(text);
    if (!state) {
      this->log.Write("state_refused",
                      pvt::JsonString("cause", state.error().ToString()));
      return;
    }
    if (state->announced) {
      this->OnAnnouncement(*state->announced);
      return;
    }
    // The store may turn this node away while a peer can read it.
    this->OnPolicyRows(state->policy, false);
    if (!this->directory_rows->loaded()) {
      ApplyPeerRows(this->view, state->directory);
      this->UseDirectory("peer");
    }
  }

  void OnAnnouncement(const DirectoryEntry& entry) {
    if (entry.node == this->mesh.node ||
        !ApplyAnnouncement(this->view, entry)) {
      return;
    }
    pvt::LogAnnouncedEntry(this->log, entry);
    this->UseAnnounced(entry);
  }

  void UseAnnounced(const DirectoryEntry& entry) {
    if (!entry.departed && this->directory_in_use) {
      this->UseDirectory("announcement");
    }
  }

  // Tells the other nodes of a departure at once, and of a server if they
  // cannot read its row.
  void Announce(const DirectoryEntry& entry) {
    const bool is_readable =
        this->directory_rows->loaded() && this->directory_rows->is_connected();
    if ((!entry.departed && is_readable) || !this->directory_in_use ||
        !ApplyAnnouncement(this->view, entry)) {
      return;
    }
    this->announcer->Send(entry, *this->directory_in_use);
    this->UseAnnounced(entry);
  }

  TableFollower::ConnectionHandler ConnectionLogger(const std::string& table) {
    return [this, table](bool up, const std::string& cause) {
      pvt::LogConnection(this->log, table, up, cause);
      if (!up) {
        this->backend->OnStoreLost();
      }
    };
  }

  // `from_store`: the rows were read by this node, and not by a peer.
  void OnPolicyRows(const RowMap& rows, bool from_store) {
    const auto found = rows.find(this->settings.policy_key);
    if (found == rows.end()) {
      return;
    }
    const auto policy = this->decode_policy(found->second.value);
    if (!policy) {
      this->log.Write("policy_refused",
                      pvt::JsonString("cause", policy.error().ToString()));
      return;
    }
    const auto version = (*policy)->version();
    const auto value = this->redact_policy
                           ? this->redact_policy(found->second.value)
                           : found->second.value;
    if (version < this->policy_version ||
        (version == this->policy_version &&
         !(from_store && this->IsRewritten(value)))) {
      return;
    }
    pvt::LogPolicy(this->log, **policy);
    this->policy_version = version;
    this->policy_epoch.reset();
    if (from_store) {
      this->policy_epoch = this->history->epoch();
    }
    this->policy_in_force = {*found};
    this->policy_in_force.begin()->second.value = value;
    this->node.SetPolicy(*policy);
  }

  // Whether the store has another policy under the number of the one in force,
  // which it lost in a return. `value` is what it has now.
  bool IsRewritten(const std::string& value) {
    const auto epoch =
        std::exchange(this->policy_epoch, this->history->epoch());
    return epoch != this->policy_epoch && !this->policy_in_force.empty() &&
           value != this->policy_in_force.begin()->second.value;
  }

  void OnDirectoryRows(const RowMap& rows) {
    // First, so that a departure that was held back is published before its
    // confirmation.
    this->ApplyDirectory(rows);
    this->registrar->OnRows(rows);
    this->UpdateStoreStatus();
  }

  void ApplyDirectory(const RowMap& rows) {
    ApplyRows(this->view, rows, this->timers->Now());
    this->directory_position.era = this->history->era();
    for (const auto& [key, row] : rows) {
      this->directory_position.version =
          std::max(this->directory_position.version, row.version);
    }
    this->UseDirectory("store");
    this->keeper->Update(UnstoredDepartures(this->view), rows,
                         VisibleDirectory(this->view, this->timers->Now()));
  }

  void UseDirectory(std::string_view source) {
    const auto now = this->timers->Now();
    auto directory =
        std::make_shared<const Directory>(VisibleDirectory(this->view, now));
    const bool has_restarted =
        !this->backend->row_is_known() && directory->contains(this->mesh.node);
    this->poll_pace->OnDirectory(directory->size(), has_restarted);
    this->backend->OnDirectory(*directory, this->directory_rows->loaded());
    if (!this->directory_in_use || *directory != *this->directory_in_use ||
        this->directory_position != this->position_in_use) {
      pvt::LogDirectory(this->log, directory->size(), this->directory_position,
                        source);
      this->directory_in_use = directory;
      this->position_in_use = this->directory_position;
      this->contact->SetDirectory(directory);
      this->node.SetDirectory(std::move(directory), this->directory_position);
    }
    if (const auto next = NextChange(this->view, now)) {
      this->grace_timer.Set(*next, [this] { this->UseDirectory("grace_end"); });
    } else {
      this->grace_timer.Cancel();
    }
  }

  asio::io_context& io_context;
  MeshSettings mesh;
  ControlSettings settings;
  MeshNode& node;
  PolicyDecoder decode_policy;
  PolicyRedactor redact_policy;
  pvt::DecisionLog log;
  std::shared_ptr<StoreHistory> history;
  std::shared_ptr<h1::TimerQueue> timers;
  std::shared_ptr<Registrar> registrar;
  std::shared_ptr<DepartureKeeper> keeper;
  std::unique_ptr<pvt::RowAnnouncer> announcer;
  std::unique_ptr<pvt::NeighborContact> contact;
  std::unique_ptr<pvt::OwnBackend> backend;
  std::shared_ptr<TableFollower> policy_rows;
  std::shared_ptr<TableFollower> directory_rows;
  std::unique_ptr<pvt::PolicyPollPace> poll_pace;
  PolicyVersion policy_version;
  /// Epoch of the store in which the policy in force was read last; nothing if
  /// only a peer has shown it.
  std::optional<std::uint64_t> policy_epoch;
  /// The row of the policy in force. The store may contain a later one that was
  /// refused.
  RowMap policy_in_force;
  StorePosition directory_position;
  /// What the node has got.
  std::shared_ptr<const Directory> directory_in_use;
  StorePosition position_in_use;
  /// Newest versions that peers, or this node's own writes, have shown.
  StateVersions newest;
  DirectoryView view;
  StoreStatus store_status;
  pvt::RecentReturns recent_returns;
  /// When the return was noticed from which this node is recovering.
  std::optional<SteadyTime> recovery_started;
  /// Ends the grace of entries that the store lacks.
  h1::Timer grace_timer;
};

std::unique_ptr<MeshControl> MeshControl::Create(
    asio::io_context& io_context,
    const MeshSettings& mesh,
    const ControlSettings& settings,
    SharedStore& store,
    std::shared_ptr<h1::TimerQueue> timers,
    const Clock& clock,
    MeshNode& node,
    PolicyDecoder decode_policy,
    PolicyRedactor redact_policy) {
  return std::unique_ptr<MeshControl>(new MeshControl(std::make_unique<Impl>(
      io_context, mesh, settings, store, std::move(timers), clock, node,
      std::move(decode_policy), std::move(redact_policy))));
}

MeshControl::MeshControl(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}

MeshControl::~MeshControl() = default;

void MeshControl::Start() {
  this->impl->Start();
}

void MeshControl::OnReport(const BackendReport& report,
                           ConfirmHandler confirm) {
  this->impl->OnReport(report, std::move(confirm));
}

void MeshControl::OnDeparture(const InstanceId& instance,
                              std::int64_t started_at_ms,
                              ConfirmHandler confirm) {
  this->impl->OnDeparture(instance, started_at_ms, std::move(confirm));
}

}  // namespace cassiakeel::mesh
