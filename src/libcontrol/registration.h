#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cassiakeel/base/clock.h"
#include "cassiakeel/base/error.h"
#include "cassiakeel/membership/member.h"
#include "cassiakeel/platform/platform.h"

namespace cassiakeel::control::pvt {

// The functions that take a table or an object store block, so they must run on
// the platform thread. They throw `Exception` on failure.

/// Assigns the next incarnation of `address` by a conditional write on
/// `incarnation/<address>`. It is higher than any assigned before and not below
/// the wall clock in seconds, so that it also exceeds one that a predecessor
/// derived from the clock during a store outage.
Incarnation AcquireIncarnation(platform::Table& table,
                               const PeerAddress& address,
                               WallTime wall);

/// Raises the counter to `incarnation` if it is lower. Used after a startup
/// without the store. Returns the resulting value of the counter.
Incarnation RecordIncarnation(platform::Table& table,
                              const PeerAddress& address,
                              Incarnation incarnation);

/// Writes `node/<id>` unless the row belongs to a higher incarnation. Returns
/// the resulting incarnation of the row.
Incarnation WriteNodeRow(platform::Table& table,
                         const membership::Member& member);

/// Removes the row of `node` if it was written by `incarnation` or cannot be
/// parsed.
void RemoveNodeRow(platform::Table& table,
                   const NodeId& node,
                   Incarnation incarnation);

/// Valid rows under `node/`, and the size of all rows read. Malformed rows are
/// skipped.
struct NodeRows {
  std::vector<membership::Member> members;
  std::size_t bytes = 0;
};

/// Reads all rows. Used for the first read.
NodeRows ReadNodeRows(platform::Table& table);

/// Reads one page of rows that follow the id `after`. Reads after the first one
/// fetch a page at a random position. They only serve to discover nodes that
/// gossip has missed, and all 830 rows, about 250 KB, once per minute would use
/// most of the control traffic budget of 5 KB/s.
NodeRows ReadNodePage(platform::Table& table, const NodeId& after);

std::string FormatNodeRow(const membership::Member& member);
Result<membership::Member> ParseNodeRow(const std::string& text);

/// Policy head row and the sheet that it refers to.
struct PolicyDocument {
  PolicyVersion version;
  std::string head_json;
  std::string sheet_bytes;
};

/// Version and sheet digest of a head row. Not verified.
struct PolicyHead {
  PolicyVersion version;
  std::string digest;
};
Result<PolicyHead> ParsePolicyHead(const std::string& head_json);

/// Reads `policy/head` and, if its version is higher than `current`, the object
/// `sheets/<digest>`. Empty if there is no newer version.
std::optional<PolicyDocument> ReadPolicy(platform::Table& table,
                                         platform::ObjectStore& store,
                                         PolicyVersion current);

}  // namespace cassiakeel::control::pvt
