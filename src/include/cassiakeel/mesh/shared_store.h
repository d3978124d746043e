#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "cassiakeel/base/error.h"
#include "cassiakeel/base/strong.h"

namespace cassiakeel::mesh {

/// Number that the store shows in its replies. It rises each time the store
/// comes back from an older copy of its data. Row versions of different eras
/// cannot be compared, because the store gives the lost ones out again.
using StoreEra = Strong<std::uint64_t, struct StoreEraTag>;

/// A row version and the era in which the store gave it out.
struct StorePosition {
  StoreEra era;
  std::uint64_t version = 0;
  friend auto operator<=>(const StorePosition& a, const StorePosition& b) {
    return std::tie(a.era, a.version) <=> std::tie(b.era, b.version);
  }
  friend bool operator==(const StorePosition&, const StorePosition&) = default;
};

/// One row of a shared table.
struct StoredRow {
  std::string key;
  std::string value;
  /// Increases with each write of the row within an era; 0 if the row does not
  /// exist.
  std::uint64_t version = 0;
  bool removed = false;
};

/// Rows of a table together with the table version that they reflect.
struct RowSet {
  std::vector<StoredRow> rows;
  std::uint64_t version = 0;
};

/// Reason why a call to the store failed.
enum class StoreFault {
  kNone,
  /// The call was refused or failed, without effect.
  kUnavailable,
  /// No response. A write may have taken effect or may still do so.
  kUnknown,
  /// The store no longer keeps the requested changes; the whole table has to be
  /// read again.
  kHistoryLost,
};

struct StoreReply {
  StoreFault fault = StoreFault::kNone;
  std::string message;
  RowSet content;
  /// Era of the store that replied; nothing if the reply names none.
  std::optional<StoreEra> era = std::nullopt;
};

struct WriteReply {
  StoreFault fault = StoreFault::kNone;
  std::string message;
  /// False if the row did not have the expected version; `current` then
  /// contains the stored row, if there is one.
  bool applied = false;
  std::uint64_t version = 0;
  std::optional<StoredRow> current;
  /// As in `StoreReply`.
  std::optional<StoreEra> era = std::nullopt;
};

/// Interface to the deployment's shared store, for use on the control thread.
/// Versions come from one counter for all tables.
/// Calls do not block. Each handler runs exactly once, on the control thread.
class SharedStore {
 public:
  virtual ~SharedStore() = default;
  /// Reads all rows of a table.
  virtual void Read(const std::string& table,
                    std::function<void(StoreReply)> handler) = 0;
  /// Long poll: replies with the changes after `version` as soon as there are
  /// any, or with no rows after `wait`.
  virtual void Follow(const std::string& table,
                      std::uint64_t version,
                      std::chrono::milliseconds wait,
                      std::function<void(StoreReply)> handler) = 0;
  /// Writes a row, or removes it if `value` is empty, provided that the row has
  /// the expected version.
  virtual void Write(const std::string& table,
                     const std::string& key,
                     const std::optional<std::string>& value,
                     std::uint64_t expected_version,
                     std::function<void(WriteReply)> handler) = 0;
};

}  // namespace cassiakeel::mesh
