#include "cassiakeel/admission/queue.h"

namespace cassiakeel::admission {
namespace {

// Target and interval of CoDel (Nichols and Jacobson, 2012).
constexpr std::chrono::milliseconds kDelayTarget{5};
constexpr std::chrono::milliseconds kDelayInterval{100};

std::size_t LengthIndex(WorkLength length) {
  return static_cast<std::size_t>(length);
}

}  // namespace

double ShedPosition(RequestClass request_class, double shed_rank) {
  const auto importance = kRequestClassCount - 1 - ClassIndex(request_class);
  return static_cast<double>(importance) + shed_rank;
}

QueueKey KeyOf(const Work& work) {
  return {work.request_class, work.length,
          work.kind_share.Value() < 100 ? work.kind : 0};
}

std::size_t QueuedCount(const QueueSet& set, WorkLength length) {
  return set.by_shed_position[LengthIndex(length)].size();
}

void Enqueue(QueueSet& set,
             const Work& work,
             SteadyTime expires,
             SteadyTime now) {
  const auto sequence = set.next_sequence++;
  set.entries.emplace(work.ticket, QueueEntry{work, now, expires, sequence});
  set.queues[KeyOf(work)].order.emplace(sequence, work.ticket);
  set.by_expiry.emplace(expires, sequence);
  set.by_shed_position[LengthIndex(work.length)].emplace(
      ShedPosition(work.request_class, work.shed_rank), sequence);
  set.by_sequence.emplace(sequence, work.ticket);
}

std::optional<QueueEntry> Dequeue(QueueSet& set, TicketId ticket) {
  const auto found = set.entries.find(ticket);
  if (found == set.entries.end()) {
    return std::nullopt;
  }
  const QueueEntry entry = found->second;
  set.entries.erase(found);
  set.queues[KeyOf(entry.work)].order.erase(entry.sequence);
  set.by_expiry.erase({entry.expires, entry.sequence});
  set.by_shed_position[LengthIndex(entry.work.length)].erase(
      {ShedPosition(entry.work.request_class, entry.work.shed_rank),
       entry.sequence});
  set.by_sequence.erase(entry.sequence);
  return entry;
}

const QueueEntry* LeastImportant(const QueueSet& set, WorkLength length) {
  const auto& positions = set.by_shed_position[LengthIndex(length)];
  if (positions.empty()) {
    return nullptr;
  }
  return &set.entries.at(set.by_sequence.at(positions.begin()->second));
}

const QueueEntry* FirstToExpire(const QueueSet& set) {
  if (set.by_expiry.empty()) {
    return nullptr;
  }
  return &set.entries.at(set.by_sequence.at(set.by_expiry.begin()->second));
}

const QueueEntry* NextToStart(const QueueSet& set, const Queue& queue) {
  if (queue.order.empty()) {
    return nullptr;
  }
  const auto next =
      queue.overloaded ? std::prev(queue.order.end()) : queue.order.begin();
  return &set.entries.at(next->second);
}

void UpdateOverload(QueueSet& set, double shed_level, SteadyTime now) {
  for (auto& [key, queue] : set.queues) {
    if (queue.order.empty()) {
      queue.above_target_since.reset();
      queue.delayed = queue.overloaded = false;
      continue;
    }
    // The delay is that of the oldest entry, not of the next one to start:
    // under newest first, the latter would hide the delay.
    const auto& oldest = set.entries.at(queue.order.begin()->second);
    const auto above_from = oldest.enqueued + kDelayTarget;
    if (now < above_from) {
      queue.above_target_since.reset();
      queue.delayed = queue.overloaded = false;
      continue;
    }
    if (!queue.above_target_since) {
      queue.above_target_since = above_from;
    }
    queue.delayed = now - *queue.above_target_since >= kDelayInterval;
    const bool class_shed = shed_level > ShedPosition(key.request_class, 0);
    const bool half_used =
        now - oldest.enqueued > (oldest.expires - oldest.enqueued) / 2;
    // The shed level is determined for short work only.
    queue.overloaded = queue.delayed && (key.length == WorkLength::kLong ||
                                         class_shed || half_used);
  }
}

}  // namespace cassiakeel::admission
