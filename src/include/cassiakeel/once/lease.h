#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cassiakeel/base/clock.h"
#include "cassiakeel/base/error.h"
#include "cassiakeel/once/shard.h"

namespace cassiakeel::once {

/// Authority that a confirmed renewal or grant gives, counted from the sending
/// of its request.
inline constexpr std::chrono::seconds kLeaseDuration{15};
/// Margin for clocks that run at different rates.
inline constexpr std::chrono::seconds kClockRateMargin{2};
inline constexpr std::chrono::seconds kRenewInterval{5};
/// Time without renewal or grant after which the lease grantor may expire a
/// holder's lease.
inline constexpr std::chrono::seconds kExpireAfter{20};
/// The same for every other node of the service. These nodes do not see grants.
inline constexpr std::chrono::minutes kExpireByNonGrantorAfter{120};
/// Grants extend authority at most this long after the last confirmed renewal
/// of the row. Otherwise a holder and its lease grantor that are both cut off
/// from the store for longer than `kExpireByNonGrantorAfter` would continue
/// while another node becomes the owner.
inline constexpr std::chrono::minutes kMaxAuthorityWithoutStore{110};
static_assert(kLeaseDuration + kClockRateMargin < kExpireAfter);
static_assert(kMaxAuthorityWithoutStore < kExpireByNonGrantorAfter);

/// The row `lease/<node>`. Rows are marked as ended but never deleted: a
/// deleted and recreated row could repeat version numbers, and a delayed
/// conditional write for the old row would then succeed.
struct LeaseRow {
  NodeRef holder;
  ServiceName service;
  /// The only process that may expire the lease after `kExpireAfter`. A
  /// restarted process of the same node does not know the grants of its
  /// predecessor and may not.
  NodeRef grantor;
  /// Id of this lease, unchanged by renewals.
  std::string term;
  /// Id of the write that produced this value.
  std::string change;
  /// The lease has expired or was released.
  bool ended = false;
};

std::string LeaseRowKey(const NodeId& node);
std::string FormatLease(const LeaseRow& row);
Result<LeaseRow> ParseLease(std::string_view json);

/// The node that `self` uses as its lease grantor: the next other node in id
/// order, in a different availability zone if there is one.
std::optional<NodeRef> ChooseGrantor(const ServiceNode& self,
                                     const std::vector<ServiceNode>& nodes);

/// Grant request of a holder to its lease grantor.
struct GrantRequest {
  NodeRef holder;
  NodeRef grantor;
  std::string term;
};

// --- Holder -----------------------------------------------------------------

/// A renewal whose result is unknown. Reading the row shows whether it was
/// applied. An unchanged row does not prove that it was not: the write may
/// still be in flight until another write of the row is applied.
struct PendingRenewal {
  std::string change;
  NodeRef grantor;
  SteadyTime sent;
};

/// A holder's view of its own lease.
struct LeaseHolder {
  NodeRef self;
  /// Empty without a lease.
  std::string term;
  /// Version and lease grantor of the last confirmed row.
  std::uint64_t version = 0;
  NodeRef grantor;
  std::vector<PendingRenewal> pending;
  SteadyTime last_confirmed_renewal{};
  /// End of the grant of each grantor process.
  std::map<NodeRef, SteadyTime> grants;
  /// End of the authority, exclusive.
  SteadyTime authority_end{};
};

bool HasAuthority(const LeaseHolder& holder, SteadyTime now);
bool RenewalDue(const LeaseHolder& holder, SteadyTime now);

/// Row to write for the next renewal, or for a new lease when there is none.
LeaseRow NextLeaseRow(const LeaseHolder& holder,
                      const ServiceName& service,
                      const NodeRef& grantor,
                      const std::string& change);

/// Call before the write is sent, so that the renewal is recorded even if no
/// response arrives.
void RecordRenewal(LeaseHolder& holder, const LeaseRow& row, SteadyTime sent);

/// Processes a row that was read or written. Confirms the pending renewal that
/// wrote it, or drops the lease when another process changed the row.
void ApplyLeaseRow(LeaseHolder& holder,
                   const std::optional<LeaseRow>& row,
                   std::uint64_t version);

/// Records a grant for a request sent at `sent`. Authority is extended only
/// when every node that the row may currently name as grantor has given a
/// grant.
void RecordGrant(LeaseHolder& holder,
                 const GrantRequest& request,
                 SteadyTime sent);

/// Processes whose grants are required while the store is unavailable.
std::vector<NodeRef> RequiredGrantors(const LeaseHolder& holder);

/// Drops the lease. The node owns nothing until it has a new lease and has read
/// the shard map after that.
void DropLease(LeaseHolder& holder);

// --- Lease grantor ----------------------------------------------------------

/// Last observed lease row of another node.
struct ObservedLease {
  LeaseRow row;
  std::uint64_t version = 0;
  /// When this version was first read.
  SteadyTime first_seen{};
};

/// Grants issued to one holder.
struct IssuedGrant {
  std::string term;
  SteadyTime last{};
  /// Terms for which an expiry was sent, with the time of sending. No more
  /// grants are given for them, even if the write seems to have failed, because
  /// it may still be applied. There can be several: a process that was replaced
  /// on the same address may resume and request a grant for its own term. Kept
  /// for `kExpireByNonGrantorAfter`; no holder can use a grant after that time.
  std::map<std::string, SteadyTime> expired_terms;
};

struct LeaseGrantor {
  NodeRef self;
  std::map<NodeId, ObservedLease> observed;
  std::map<NodeId, IssuedGrant> issued;
};

/// Records a row that was read. `now` is the time after the response to the
/// read. A later version of the same term shows that an expiry sent for the
/// earlier version can no longer be applied, so grants may be given again.
void ObserveLease(LeaseGrantor& grantor,
                  const LeaseRow& row,
                  std::uint64_t version,
                  SteadyTime now);

/// Grants the holder `kLeaseDuration` + `kClockRateMargin` during which this
/// process does not expire its lease. False when the request names another
/// process as grantor or an expiry of the term was sent.
bool TryGrant(LeaseGrantor& grantor,
              const GrantRequest& request,
              SteadyTime now);

/// True when this node may expire the observed lease. A lease without a grantor
/// is never extended by grants, so any node may expire it after `kExpireAfter`.
/// `non_grantor_timeout` applies when another node is the lease grantor.
bool MayExpire(
    const LeaseGrantor& grantor,
    const NodeId& holder,
    SteadyTime now,
    SteadyTime::duration non_grantor_timeout = kExpireByNonGrantorAfter);

/// Stops grants for the observed term. Call it before the expiry is sent.
void BeginExpiry(LeaseGrantor& grantor, const NodeId& holder, SteadyTime now);

}  // namespace cassiakeel::once
