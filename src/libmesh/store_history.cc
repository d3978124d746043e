#include "cassiakeel/mesh/store_history.h"

#include <algorithm>
#include <utility>

namespace cassiakeel::mesh {

ReplyPlace PlaceReply(const StoreHistoryState& state,
                      std::optional<StoreEra> era,
                      std::uint64_t call_epoch) {
  const bool is_late = call_epoch != state.epoch;
  if (!era) {
    return is_late ? ReplyPlace::kLate : ReplyPlace::kUnplaced;
  }
  const bool is_first = state.era == StoreEra(0);
  if (*era == state.era || (is_first && !state.has_used_unplaced)) {
    return is_late ? ReplyPlace::kLate : ReplyPlace::kSame;
  }
  // A late reply with a lower era was sent before the return. One with the
  // first era ever seen says nothing about the calls of this epoch.
  if (is_late && (*era < state.era || is_first)) {
    return ReplyPlace::kLate;
  }
  return ReplyPlace::kReturned;
}

std::shared_ptr<StoreHistory> StoreHistory::Create(
    ReturnHandler on_return,
    MissingEraHandler on_missing_era) {
  std::shared_ptr<StoreHistory> history(new StoreHistory());
  history->on_return = std::move(on_return);
  history->on_missing_era = std::move(on_missing_era);
  return history;
}

ReplyPlace StoreHistory::Observe(std::optional<StoreEra> era,
                                 std::uint64_t call_epoch) {
  const auto place = PlaceReply(this->state, era, call_epoch);
  switch (place) {
    case ReplyPlace::kSame:
      this->state.era = *era;
      this->era_is_missing = false;
      break;
    case ReplyPlace::kReturned: {
      const Return noticed{this->state.era, era, "era"};
      this->state = {*era, this->state.epoch + 1, false};
      this->era_is_missing = false;
      this->on_return(noticed);
      break;
    }
    case ReplyPlace::kUnplaced:
      this->state.has_used_unplaced = true;
      if (this->state.era != StoreEra(0) &&
          !std::exchange(this->era_is_missing, true)) {
        this->on_missing_era(this->state.era);
      }
      break;
    case ReplyPlace::kLate:
      break;
  }
  return place;
}

bool StoreHistory::ObserveWrite(const SentWrite& write,
                                const WriteReply& reply) {
  // A failed call without a reply of the store says nothing about its era.
  if (reply.fault == StoreFault::kNone || reply.era) {
    this->Observe(reply.era, write.epoch);
  }
  if (write.epoch != this->state.epoch) {
    return false;
  }
  if (reply.fault == StoreFault::kNone && reply.applied) {
    this->RecordVersion(reply.version);
    auto& rows = this->state.written[write.table];
    rows.erase(write.key);
    if (!write.removes_row) {
      rows[write.key] = reply.version;
    }
  }
  return true;
}

bool StoreHistory::LacksWrittenRow(const std::string& table,
                                   const RowSet& content,
                                   std::uint64_t version_at_call) const {
  const auto written = this->state.written.find(table);
  return written != this->state.written.end() &&
         std::ranges::any_of(written->second, [&](const auto& item) {
           const auto& [key, version] = item;
           const auto row =
               std::ranges::find(content.rows, key, &StoredRow::key);
           return version <= version_at_call &&
                  (row == content.rows.end() || row->version < version);
         });
}

void StoreHistory::RecordVersion(std::uint64_t version) {
  this->state.newest_version = std::max(this->state.newest_version, version);
}

void StoreHistory::RecordReturn(std::string_view cause) {
  const Return noticed{this->state.era, std::nullopt, cause};
  this->state = {this->state.era, this->state.epoch + 1, false};
  this->on_return(noticed);
}

}  // namespace cassiakeel::mesh
