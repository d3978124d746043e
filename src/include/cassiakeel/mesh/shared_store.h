#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cassiakeel/base/error.h"

namespace cassiakeel::mesh {

/// One row of a shared table.
struct StoredRow {
  std::string key;
  std::string value;
  /// Grows with each write of the row; 0 stands for a row that does not exist.
  std::uint64_t version = 0;
  bool removed = false;
};

/// Rows of a table with the table's version that they show.
struct RowSet {
  std::vector<StoredRow> rows;
  std::uint64_t version = 0;
};

/// Why a call to the store did not give its result.
enum class StoreFault {
  kNone,
  /// Refused or failed without effect.
  kUnavailable,
  /// No answer; a write may take effect, even later.
  kUnknown,
  /// The changes asked for are no longer kept; the table has to be read anew.
  kHistoryLost,
};

struct StoreReply {
  StoreFault fault = StoreFault::kNone;
  std::string message;
  RowSet content;
};

struct WriteReply {
  StoreFault fault = StoreFault::kNone;
  std::string message;
  /// False when the row had another version; `current` then holds that one.
  bool applied = false;
  std::uint64_t version = 0;
  std::optional<StoredRow> current;
};

/// The deployment's shared store, as the control thread uses it. Calls return
/// at once; handlers run on the control thread, exactly once.
class SharedStore {
 public:
  virtual ~SharedStore() = default;
  /// Reads all rows of a table.
  virtual void Read(const std::string& table,
                    std::function<void(StoreReply)> handler) = 0;
  /// Answers with the changes after `version` as soon as there are any, or
  /// with none after `wait`.
  virtual void Follow(const std::string& table,
                      std::uint64_t version,
                      std::chrono::milliseconds wait,
                      std::function<void(StoreReply)> handler) = 0;
  /// Writes a row, or removes it without a value, if it has the version
  /// expected.
  virtual void Write(const std::string& table,
                     const std::string& key,
                     const std::optional<std::string>& value,
                     std::uint64_t expected_version,
                     std::function<void(WriteReply)> handler) = 0;
};

}  // namespace cassiakeel::mesh
