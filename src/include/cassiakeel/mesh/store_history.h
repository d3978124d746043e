#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "cassiakeel/mesh/shared_store.h"

namespace cassiakeel::mesh {

/// What a node knows of the history of the shared store, see
/// docs/design/store-return.md.
struct StoreHistoryState {
  /// Era of the latest reply that counted; 0 before the first that named one.
  StoreEra era;
  /// Number of returns of the store that were noticed.
  std::uint64_t epoch = 0;
  /// A reply without an era was used in this epoch.
  bool has_used_unplaced = false;
  /// Newest version of any table that was seen in this epoch.
  std::uint64_t newest_version = 0;
  /// Versions of the rows that this node has written in this epoch and the
  /// store has acknowledged, by table and key.
  std::map<std::string, std::map<std::string, std::uint64_t>> written;
};

/// A write that waits for its reply.
struct SentWrite {
  std::string table;
  std::string key;
  bool removes_row = false;
  /// Epoch in which it was sent.
  std::uint64_t epoch = 0;
};

/// What an operator sees of the store's history, as metrics.
struct StoreStatus {
  /// 0 if the store names none.
  StoreEra era;
  /// Returns noticed since the start of the process.
  std::uint64_t returns = 0;
  /// Departures of other nodes' backend servers written again.
  std::uint64_t departures_rewritten = 0;
  /// Time from noticing the latest return until both tables were read and this
  /// node's row was stored; nothing before the first return and until then.
  std::optional<std::chrono::milliseconds> rebuild_time;
};

/// How a reply of the store relates to what was read before.
enum class ReplyPlace {
  /// Belongs to the history that this node knows.
  kSame,
  /// Shows that the store has come back from an older copy.
  kReturned,
  /// Answers a call that was sent before the latest return was noticed.
  kLate,
  /// Names no era, so that its place is unknown.
  kUnplaced,
};

/// Places a reply that names `era` to a call that was sent in `call_epoch`. An
/// era that falls, or appears after replies without one, counts as a return: a
/// needless read is harmless, a missed return is not.
ReplyPlace PlaceReply(const StoreHistoryState& state,
                      std::optional<StoreEra> era,
                      std::uint64_t call_epoch);

/// Notices the returns of the shared store from all replies of a node. Used on
/// the control thread.
class StoreHistory {
 public:
  struct Return {
    StoreEra known_era;
    /// Nothing if the return shows otherwise.
    std::optional<StoreEra> era;
    std::string_view cause;
  };
  /// Called once for each return, when the new epoch has begun.
  using ReturnHandler = std::function<void(const Return& noticed)>;
  /// Called when a reply has no valid era although the one before it had.
  using MissingEraHandler = std::function<void(StoreEra known_era)>;

  static std::shared_ptr<StoreHistory> Create(ReturnHandler on_return,
                                              MissingEraHandler on_missing_era);

  /// Records the era of a reply and places the reply. On a return the handler
  /// has run before this function ends.
  ReplyPlace Observe(std::optional<StoreEra> era, std::uint64_t call_epoch);
  /// Does the same for a write and records its version. Returns false if it was
  /// sent in an earlier epoch, so that its reply counts for nothing.
  bool ObserveWrite(const SentWrite& write, const WriteReply& reply);
  /// Records a version that a reply to a call of this epoch has shown.
  void RecordVersion(std::uint64_t version);
  /// Begins a new epoch because of a return that shows otherwise than by the
  /// era.
  void RecordReturn(std::string_view cause);
  std::uint64_t epoch() const { return this->state.epoch; }
  StoreEra era() const { return this->state.era; }
  /// Replies to calls sent from now on show at least this version, unless the
  /// store comes back from a copy or a whole read is stale.
  std::uint64_t newest_version() const { return this->state.newest_version; }
  /// Whether `content`, read from `table` by a call that was sent when
  /// `version_at_call` was the newest version, lacks a row written before.
  bool LacksWrittenRow(const std::string& table,
                       const RowSet& content,
                       std::uint64_t version_at_call) const;
  /// The latest reply named no valid era, although an earlier one did.
  bool lacks_era() const { return this->era_is_missing; }

 private:
  StoreHistory() = default;

  StoreHistoryState state;
  bool era_is_missing = false;
  ReturnHandler on_return;
  MissingEraHandler on_missing_era;
};

}  // namespace cassiakeel::mesh
