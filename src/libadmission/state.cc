#include "cassiakeel/admission/state.h"

#include <algorithm>
#include <cmath>

namespace cassiakeel::admission {
namespace {

using std::chrono::milliseconds;

// At small endpoints the mean of a shorter window varies so much that the
// highest one would leave hardly any slot to long work.
constexpr milliseconds kDemandWindow{1000};
// While calls are queued, they are checked for start at least this often.
constexpr milliseconds kRecheckInterval{20};

std::uint64_t WorkKeyOf(std::uint64_t kind, WorkLength length) {
  return kind != 0 ? kind : static_cast<std::uint64_t>(length);
}

// Mean of `Decision::retry_after`: how long the refusing condition usually
// lasts.
milliseconds BaseRetryAfter(Reason reason) {
  switch (reason) {
    case Reason::kLeaving:
      // Another endpoint can serve the call immediately.
      return milliseconds(10);
    case Reason::kLongShare:
      return milliseconds(1000);
    default:
      return milliseconds(200);
  }
}

Decision Refuse(const Work& work, Reason reason) {
  // 0.5 to 1.5 times the base; work that is shed first waits longest.
  const double spread = 1.5 - std::clamp(work.shed_rank, 0.0, 1.0);
  const auto wait = milliseconds(static_cast<milliseconds::rep>(
      static_cast<double>(BaseRetryAfter(reason).count()) * spread));
  return {work.ticket, Verdict::kRefuse, reason,
          std::max(wait, milliseconds(1))};
}

int InFlight(const State& state) {
  return static_cast<int>(state.running.size());
}

// Slots that long work leaves free. At least one slot is always available to
// long work, because a server with no more slots than the reserve could
// otherwise never run any.
int ReservedShortSlots(const State& state) {
  return std::min(state.config.short_reserved.Value(), state.limit.ceiling - 1);
}

// Slots required by short work of this class and more important ones: the mean
// number in flight plus its square root, by the square-root staffing rule
// (Halfin and Whitt, 1981). With that many slots, few calls wait, and only
// briefly.
int RequiredShortSlots(const ShortDemand& demand, RequestClass request_class) {
  const auto index = ClassIndex(request_class);
  const auto latest = (demand.current_window + ShortDemand::kWindows - 1) %
                      ShortDemand::kWindows;
  double mean = 0;
  for (const auto& window : demand.means) {
    mean += window[index] / ShortDemand::kWindows;
  }
  // A rise takes effect at once, a fall only as the average over all windows.
  mean = std::max(mean, demand.means[latest][index]);
  return static_cast<int>(std::ceil(mean + std::sqrt(mean)));
}

// Extends the time integrals up to `now`. Must be called before the number of
// calls in flight changes.
void AccumulateShortDemand(State& state, SteadyTime now) {
  auto& demand = state.short_demand;
  const auto elapsed_ns =
      static_cast<double>((now - demand.integrated_until).count());
  if (elapsed_ns <= 0) {
    return;
  }
  int in_flight = 0;
  for (std::size_t i = 0; i < kRequestClassCount; ++i) {
    in_flight += state.short_in_flight[i];
    demand.in_flight_time_ns[i] += in_flight * elapsed_ns;
  }
  demand.integrated_until = now;
}

void UpdateShortDemand(State& state, SteadyTime now) {
  auto& demand = state.short_demand;
  const auto elapsed = now - demand.window_start;
  if (elapsed < kDemandWindow) {
    return;
  }
  AccumulateShortDemand(state, now);
  const auto steps =
      std::min<std::int64_t>(elapsed / kDemandWindow, ShortDemand::kWindows);
  for (std::int64_t step = 0; step < steps; ++step) {
    for (std::size_t i = 0; i < kRequestClassCount; ++i) {
      demand.means[demand.current_window][i] =
          demand.in_flight_time_ns[i] / static_cast<double>(elapsed.count());
    }
    demand.current_window = (demand.current_window + 1) % ShortDemand::kWindows;
  }
  demand.in_flight_time_ns.fill(0);
  demand.window_start = now;
}

bool KindHasRoom(const State& state, const Work& work) {
  if (work.kind_share.Value() >= 100 || work.kind == 0) {
    return true;
  }
  const auto found = state.kind_in_flight.find(work.kind);
  const int held = found == state.kind_in_flight.end() ? 0 : found->second;
  return held <
         std::max(1, state.limit.ceiling * work.kind_share.Value() / 100);
}

// Whether one more long call fits the share of long work and leaves the slots
// required by short work of its class and more important ones. Does not check
// for a free slot.
bool IsLongAllowed(const State& state, const Work& work, int limit) {
  const int max_long =
      std::max(1, limit * state.config.long_share.Value() / 100);
  const int long_after_start = state.long_in_flight + 1;
  return long_after_start <= max_long && KindHasRoom(state, work) &&
         long_after_start + std::max(ReservedShortSlots(state),
                                     RequiredShortSlots(state.short_demand,
                                                        work.request_class)) <=
             limit;
}

bool CanStart(const State& state, const Work& work, int limit) {
  const int in_flight = InFlight(state);
  if (in_flight >= limit) {
    return false;
  }
  if (work.length == WorkLength::kLong) {
    return in_flight + 1 + ReservedShortSlots(state) <= limit &&
           IsLongAllowed(state, work, limit);
  }
  return KindHasRoom(state, work);
}

void Start(State& state, const Work& work, SteadyTime now) {
  AccumulateShortDemand(state, now);
  state.running[work.ticket] = {work.request_class, work.length, work.kind,
                                now};
  RecordInFlight(state.limit, InFlight(state));
  if (work.kind != 0) {
    ++state.kind_in_flight[work.kind];
  }
  if (work.length == WorkLength::kLong) {
    ++state.long_in_flight;
    return;
  }
  ++state.short_in_flight[ClassIndex(work.request_class)];
  ++state.shed.starts;
}

// Most important class with queued long work that lacks only a free slot. Short
// work of less important classes must leave a slot to it.
std::optional<RequestClass> HighestWaitingLongClass(const State& state,
                                                    int limit) {
  for (const auto& [key, queue] : state.queues.queues) {
    if (key.length != WorkLength::kLong || queue.order.empty()) {
      continue;
    }
    const auto* next = NextToStart(state.queues, queue);
    if (IsLongAllowed(state, next->work, limit)) {
      return key.request_class;
    }
  }
  return std::nullopt;
}

bool MustYieldToLong(const State& state,
                     const Work& work,
                     std::optional<RequestClass> waiting_long,
                     int limit) {
  return waiting_long && work.length == WorkLength::kShort &&
         work.request_class > *waiting_long &&
         InFlight(state) + 2 + ReservedShortSlots(state) > limit;
}

// The next queued call that can start, by class, then short before long, then
// arrival; null for none.
const QueueEntry* NextStartable(const State& state, int limit) {
  const auto waiting_long = HighestWaitingLongClass(state, limit);
  const QueueEntry* best = nullptr;
  for (const auto& [key, queue] : state.queues.queues) {
    const auto* next = NextToStart(state.queues, queue);
    if (next == nullptr) {
      continue;
    }
    if (best != nullptr && (best->work.request_class != key.request_class ||
                            best->work.length != key.length)) {
      return best;
    }
    if (CanStart(state, next->work, limit) &&
        !MustYieldToLong(state, next->work, waiting_long, limit) &&
        (best == nullptr || next->sequence < best->sequence)) {
      best = next;
    }
  }
  return best;
}

Reason ExpiryReason(const State& state, const QueueEntry& entry) {
  if (state.leaving) {
    return Reason::kLeaving;
  }
  if (entry.expires < entry.enqueued + entry.work.max_wait) {
    return Reason::kDeadline;
  }
  return entry.work.length == WorkLength::kLong ? Reason::kLongShare
                                                : Reason::kOverload;
}

void ExpireQueued(State& state,
                  SteadyTime now,
                  std::vector<Decision>& decisions) {
  while (const auto* entry = FirstToExpire(state.queues)) {
    if (!state.leaving && entry->expires > now) {
      return;
    }
    const auto removed = Dequeue(state.queues, entry->work.ticket);
    decisions.push_back(Refuse(removed->work, ExpiryReason(state, *removed)));
  }
}

void StartQueued(State& state,
                 SteadyTime now,
                 std::vector<Decision>& decisions) {
  const int limit = CurrentLimit(state.limit, now);
  while (!state.queues.entries.empty() && InFlight(state) < limit) {
    const auto* next = NextStartable(state, limit);
    if (next == nullptr) {
      return;
    }
    const auto entry = Dequeue(state.queues, next->work.ticket);
    Start(state, entry->work, now);
    decisions.push_back(
        {entry->work.ticket, Verdict::kStart, Reason::kNone, milliseconds(0)});
  }
}

bool IsAnyShortQueueDelayed(const State& state) {
  return std::any_of(state.queues.queues.begin(), state.queues.queues.end(),
                     [](const auto& item) {
                       return item.first.length == WorkLength::kShort &&
                              item.second.delayed;
                     });
}

// Updates all controllers whose window is complete.
void UpdateControllers(State& state, SteadyTime now) {
  UpdateLimit(state.limit, InFlight(state), now);
  UpdateShortDemand(state, now);
  UpdateOverload(state.queues, state.shed.level, now);
  UpdateShedLevel(state.shed, IsAnyShortQueueDelayed(state), now);
}

std::vector<Decision> ProcessQueue(State& state, SteadyTime now) {
  std::vector<Decision> decisions = std::move(state.pending_decisions);
  state.pending_decisions.clear();
  state.queue_processed_at = now;
  UpdateControllers(state, now);
  ExpireQueued(state, now, decisions);
  if (!state.leaving) {
    StartQueued(state, now, decisions);
  }
  return decisions;
}

// Removes a running call and returns it; nothing for an unknown ticket.
std::optional<RunningCall> Release(State& state,
                                   TicketId ticket,
                                   SteadyTime now) {
  const auto found = state.running.find(ticket);
  if (found == state.running.end()) {
    return std::nullopt;
  }
  AccumulateShortDemand(state, now);
  const RunningCall running = found->second;
  state.running.erase(found);
  if (running.kind != 0) {
    const auto kind = state.kind_in_flight.find(running.kind);
    if (--kind->second == 0) {
      state.kind_in_flight.erase(kind);
    }
  }
  if (running.length == WorkLength::kLong) {
    --state.long_in_flight;
  } else {
    --state.short_in_flight[ClassIndex(running.request_class)];
  }
  return running;
}

SteadyTime LatestStart(const State& state, const Work& work, SteadyTime now) {
  const auto by_deadline =
      work.deadline -
      ExpectedServiceTime(state.limit, WorkKeyOf(work.kind, work.length));
  return std::min(now + work.max_wait, by_deadline);
}

// Whether the call is refused before it is queued. Up to a quarter of the limit
// may always queue, so that no slot becomes idle.
bool ShouldShedEarly(const State& state, const Work& work, int limit) {
  return work.length == WorkLength::kShort &&
         ShedPosition(work.request_class,
                      work.shed_rank)<state.shed.level&& static_cast<int>(
             QueuedCount(state.queues, WorkLength::kShort))>
                 limit / 4;
}

// Makes room in a full queue by refusing the entry that is first in shedding
// order, if `work` comes later in that order. Returns false if there is no
// room.
bool MakeRoom(State& state, const Work& work) {
  const auto capacity =
      static_cast<std::size_t>(std::max(1, state.config.queue_capacity));
  if (QueuedCount(state.queues, work.length) < capacity) {
    return true;
  }
  const auto* least = LeastImportant(state.queues, work.length);
  if (ShedPosition(least->work.request_class, least->work.shed_rank) >=
      ShedPosition(work.request_class, work.shed_rank)) {
    return false;
  }
  const auto removed = Dequeue(state.queues, least->work.ticket);
  state.pending_decisions.push_back(Refuse(removed->work, Reason::kQueueFull));
  return true;
}

// Whether `work` may start ahead of the queue. All queued calls that can start
// were started before, so those left wait for something other than a free slot.
bool CanStartImmediately(const State& state, const Work& work, int limit) {
  return CanStart(state, work, limit) &&
         (state.queues.entries.empty() ||
          !MustYieldToLong(state, work, HighestWaitingLongClass(state, limit),
                           limit));
}

}  // namespace

State MakeState(const Config& config, SteadyTime now) {
  State state;
  state.config = config;
  state.limit = MakeLimit(config, now);
  state.shed.window_start = now;
  state.short_demand.window_start = now;
  state.short_demand.integrated_until = now;
  state.queue_processed_at = now;
  return state;
}

void Reconfigure(State& state, const Config& config, SteadyTime now) {
  state.config = config;
  ReconfigureLimit(state.limit, config);
  std::erase_if(state.queues.queues,
                [](const auto& item) { return item.second.order.empty(); });
  UpdateControllers(state, now);
}

void SetLeaving(State& state, bool leaving) {
  state.leaving = leaving;
}

Decision Offer(State& state, const Work& work, SteadyTime now) {
  UpdateControllers(state, now);
  if (state.leaving) {
    return Refuse(work, Reason::kLeaving);
  }
  if (work.deadline <= now) {
    return Refuse(work, Reason::kDeadline);
  }
  if (state.running.contains(work.ticket) ||
      state.queues.entries.contains(work.ticket)) {
    return Refuse(work, Reason::kBadRequest);
  }
  if (work.length == WorkLength::kShort) {
    CountArrival(state.shed, ShedPosition(work.request_class, work.shed_rank));
  }
  ExpireQueued(state, now, state.pending_decisions);
  StartQueued(state, now, state.pending_decisions);
  const int limit = CurrentLimit(state.limit, now);
  if (CanStartImmediately(state, work, limit)) {
    Start(state, work, now);
    return {work.ticket, Verdict::kStart, Reason::kNone, milliseconds(0)};
  }
  const auto latest_start = LatestStart(state, work, now);
  if (latest_start <= now) {
    return Refuse(work, work.max_wait.count() <= 0 ? Reason::kOverload
                                                   : Reason::kDeadline);
  }
  if (ShouldShedEarly(state, work, limit)) {
    return Refuse(work, Reason::kOverload);
  }
  if (!MakeRoom(state, work)) {
    return Refuse(work, Reason::kQueueFull);
  }
  Enqueue(state.queues, work, latest_start, now);
  return {work.ticket, Verdict::kQueue, Reason::kNone, milliseconds(0)};
}

std::vector<Decision> Finish(State& state,
                             TicketId ticket,
                             const Completion& completion,
                             SteadyTime now) {
  if (const auto running = Release(state, ticket, now)) {
    if (completion.refused_by_server) {
      state.limit.server_refused = true;
    } else if (completion.counts_for_limit) {
      AddSample(state.limit, WorkKeyOf(running->kind, running->length),
                completion.service_time, now);
    }
  }
  return ProcessQueue(state, now);
}

std::vector<Decision> Cancel(State& state, TicketId ticket, SteadyTime now) {
  if (!Dequeue(state.queues, ticket)) {
    Release(state, ticket, now);
  }
  return ProcessQueue(state, now);
}

std::vector<Decision> Advance(State& state, SteadyTime now) {
  return ProcessQueue(state, now);
}

std::optional<SteadyTime> NextEvent(const State& state) {
  if (!state.pending_decisions.empty() ||
      (state.leaving && !state.queues.entries.empty())) {
    return state.queue_processed_at;
  }
  const auto* first = FirstToExpire(state.queues);
  if (first == nullptr) {
    return std::nullopt;
  }
  // While calls are queued, the limit and the slots available to long work may
  // grow without any call ending.
  return std::min(first->expires, state.queue_processed_at + kRecheckInterval);
}

Load LoadOf(const State& state, SteadyTime now) {
  Load load;
  load.in_flight = InFlight(state);
  load.limit = CurrentLimit(state.limit, now);
  load.queued = static_cast<int>(state.queues.entries.size());
  load.accepts = AcceptedClass(state.shed);
  load.leaving = state.leaving;
  return load;
}

}  // namespace cassiakeel::admission
