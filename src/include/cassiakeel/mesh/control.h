#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "cassiakeel/base/clock.h"
#include "cassiakeel/h1/timer_queue.h"
#include "cassiakeel/mesh/backend_watch.h"
#include "cassiakeel/mesh/node.h"
#include "cassiakeel/mesh/registrar.h"
#include "cassiakeel/mesh/shared_store.h"
#include "cassiakeel/mesh/table_follower.h"

namespace cassiakeel::mesh {

struct ControlSettings {
  /// Table and key of the row that contains the approved policy.
  std::string policy_table;
  std::string policy_key;
  /// Table in which nodes publish their backend servers.
  std::string directory_table;
  /// Expected interval between reports of the backend server.
  std::chrono::milliseconds report_interval{1000};
};

/// Decodes a policy from the value of its row.
using PolicyDecoder =
    std::function<Result<std::shared_ptr<const TrafficPolicy>>(
        const std::string& value)>;

/// Removes the secrets of callers from the value of a policy's row, so that
/// nodes neither keep them nor send them to each other. `PolicyDecoder` accepts
/// the result.
using PolicyRedactor = std::function<std::string(const std::string& value)>;

/// Tells a backend server whether what it said is in effect. May run on another
/// thread than the control thread.
using ConfirmHandler = std::function<void(bool in_effect)>;

/// Control plane of a node: follows the policy and the directory in the shared
/// store, tracks the backend server of this machine, and passes immutable
/// snapshots to the traffic thread. Runs on the control thread.
class MeshControl {
 public:
  /// `io_context` is run by the control thread. State that `node` receives from
  /// peers is posted to it.
  static std::unique_ptr<MeshControl> Create(
      asio::io_context& io_context,
      const MeshSettings& mesh,
      const ControlSettings& settings,
      SharedStore& store,
      std::shared_ptr<h1::TimerQueue> timers,
      const Clock& clock,
      MeshNode& node,
      PolicyDecoder decode_policy,
      PolicyRedactor redact_policy = {});
  ~MeshControl();

  void Start();
  /// Processes a report of the backend server. `confirm` runs once the report
  /// is in effect. For a leaving server that means that it gets no new work any
  /// more, also after a restart of this node: its departure is in the store.
  /// `confirm` gets false if the store did not take it in time.
  void OnReport(const BackendReport& report, ConfirmHandler confirm);
  /// Processes a deregistration of the backend server, see
  /// BackendWatch::OnDeparture; `confirm` as for a report of a leaving server.
  void OnDeparture(const InstanceId& instance,
                   std::int64_t started_at_ms,
                   ConfirmHandler confirm);

 private:
  class Impl;
  explicit MeshControl(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl;
};

}  // namespace cassiakeel::mesh
