#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

#include "cassiakeel/admission/admission.h"

namespace cassiakeel::admission {

/// Position of work in shedding order; work with the lowest position is shed
/// first. Ordered by class, then by shed rank. Every hop computes the same
/// value for a request of the same class.
double ShedPosition(RequestClass request_class, double shed_rank);

/// Calls that wait for the same resource share a queue: those of the same class
/// and length, and of the same kind where its share of the slots is bounded.
struct QueueKey {
  RequestClass request_class = RequestClass::kCritical;
  WorkLength length = WorkLength::kShort;
  /// 0 where the share of the kind is not bounded.
  std::uint64_t bounded_kind = 0;
  friend bool operator<(const QueueKey& a, const QueueKey& b) {
    return std::tie(a.request_class, a.length, a.bounded_kind) <
           std::tie(b.request_class, b.length, b.bounded_kind);
  }
};

struct QueueEntry {
  Work work;
  SteadyTime enqueued;
  /// Time after which starting the call is of no use.
  SteadyTime expires;
  std::uint64_t sequence = 0;
};

/// Queue of calls with the same `QueueKey`.
struct Queue {
  /// By sequence number, that is in order of arrival.
  std::map<std::uint64_t, TicketId> order;
  /// Since when the wait of the oldest entry has been above the delay target
  /// without interruption.
  std::optional<SteadyTime> above_target_since;
  /// The wait has been above the target for at least the CoDel interval.
  bool delayed = false;
  /// While set, the newest entry starts first (adaptive LIFO).
  bool overloaded = false;
};

/// All queues of an endpoint, with indexes by ticket, expiry and shedding
/// order.
struct QueueSet {
  std::unordered_map<TicketId, QueueEntry> entries;
  std::map<QueueKey, Queue> queues;
  std::set<std::pair<SteadyTime, std::uint64_t>> by_expiry;
  /// For each length of work: (shed position, sequence).
  std::array<std::set<std::pair<double, std::uint64_t>>, 2> by_shed_position;
  std::map<std::uint64_t, TicketId> by_sequence;
  std::uint64_t next_sequence = 1;
};

QueueKey KeyOf(const Work& work);
std::size_t QueuedCount(const QueueSet& set, WorkLength length);

void Enqueue(QueueSet& set,
             const Work& work,
             SteadyTime expires,
             SteadyTime now);

/// Removes and returns the entry; nothing if the ticket is not queued.
std::optional<QueueEntry> Dequeue(QueueSet& set, TicketId ticket);

/// The entry of `length` that is first in shedding order, null for none.
const QueueEntry* LeastImportant(const QueueSet& set, WorkLength length);

/// The entry with the earliest expiry, null for none.
const QueueEntry* FirstToExpire(const QueueSet& set);

/// The entry of `queue` to start next: the oldest, or the newest while the
/// queue is overloaded. Null for an empty queue.
const QueueEntry* NextToStart(const QueueSet& set, const Queue& queue);

/// Updates `delayed` and `overloaded` of every queue from the wait of its
/// oldest entry. A delayed queue of long work switches to newest first at once.
/// A delayed queue of short work switches only when its class is being shed or
/// its oldest entry has used half of its allowed wait: as long as the endpoint
/// can serve the whole class, newest first would only expire its oldest calls.
void UpdateOverload(QueueSet& set, double shed_level, SteadyTime now);

}  // namespace cassiakeel::admission
