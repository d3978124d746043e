#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cassiakeel/base/error.h"

namespace cassiakeel::platform {

/// One row of the table service. `version` starts at 1 and grows with each
/// write of the row.
struct Row {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
};

/// One write of a transaction.
struct Write {
  std::string key;
  /// New value; empty optional deletes the row.
  std::optional<std::string> value;
  /// Version that the row must have, 0 for a row that must not exist; empty
  /// optional for an unconditional write.
  std::optional<std::uint64_t> expected_version;
};

/// Answer to a transaction: applied as a whole, or not at all because of
/// `conflict_key`. `versions` has one entry per write, in order.
struct Commit {
  bool applied = false;
  std::vector<std::uint64_t> versions;
  std::string conflict_key;
};

/// The platform did not answer as expected. `may_have_applied` is true for a
/// write whose answer was lost: the caller has to read back its change id.
class PlatformException : public Exception {
 public:
  PlatformException(Error error, bool may_have_applied)
      : Exception(std::move(error)), indeterminate(may_have_applied) {}
  bool may_have_applied() const { return this->indeterminate; }

 private:
  bool indeterminate;
};

/// The platform's transactional table service. All calls block, are safe from
/// any thread and throw `PlatformException`.
class Table {
 public:
  virtual ~Table() = default;
  virtual std::optional<Row> Get(const std::string& key) = 0;
  /// All writes or none; at most 100 writes.
  virtual Commit Transact(const std::vector<Write>& writes) = 0;
  /// Rows whose key starts with `prefix`, in key order, at most `limit`, with
  /// keys greater than `after`.
  virtual std::vector<Row> Scan(const std::string& prefix,
                                const std::string& after,
                                int limit) = 0;
};

/// The platform's object store. Same blocking, thread and error rules as
/// `Table`.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;
  virtual std::optional<std::string> Get(const std::string& key) = 0;
  virtual void Put(const std::string& key, const std::string& bytes) = 0;
};

}  // namespace cassiakeel::platform
