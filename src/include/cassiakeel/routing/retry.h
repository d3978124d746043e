#pragma once

#include <chrono>
#include <cstddef>
#include <unordered_map>

#include "cassiakeel/base/clock.h"
#include "cassiakeel/base/outcome.h"
#include "cassiakeel/base/random.h"
#include "cassiakeel/base/strong.h"

namespace cassiakeel::routing {

/// Retries that one node may still spend on one request and all calls below it.
/// The sum over a request tree never exceeds the budget that the ingress node
/// opened: the share of an attempt is deducted before the attempt is sent, and
/// only a response in time returns its unused part.
struct RetryBudget {
  /// Retries received by this node; upper bound of what it returns.
  int given = 0;
  int remaining = 0;
  /// Set once the unused part was returned; no retry can be spent afterwards.
  bool closed = false;
};

/// Part of a budget that was handed to one attempt.
struct Delegation {
  int given = 0;
  /// The attempt got a response or was abandoned.
  bool settled = false;
};

/// A budget of `retries`; a negative value counts as 0.
RetryBudget OpenBudget(int retries);

/// Takes one retry or hedge from the budget. Returns false if none is left.
bool SpendRetry(RetryBudget& budget);

/// Deducts the share of an attempt that is about to be sent: half of what
/// remains, rounded down, so that the sender keeps retries for this call and
/// for its other calls.
Delegation Delegate(RetryBudget& budget);

/// Returns the unused part of an attempt's share to the budget after a response
/// in time. Has no effect for a second response, after `Abandon` or after the
/// budget was closed. `unspent` is clamped to the share.
void ReclaimUnspent(RetryBudget& budget, Delegation& delegation, int unspent);

/// Abandons an attempt that was lost or timed out. Its share is not returned,
/// because the receiver may still be spending it.
void Abandon(Delegation& delegation);

/// Closes the budget and returns the unused part for `Cassiakeel-Unspent`.
int CloseBudget(RetryBudget& budget);

/// Retry budgets of the attempts that run on this node's backend server. All
/// calls that the server makes for one attempt share that attempt's budget.
struct RetryBudgetTable {
  struct Entry {
    RetryBudget budget;
    SteadyTime expires;
  };
  std::unordered_map<AttemptId, Entry> entries;
};

/// Opens the budget of an attempt that is dispatched to the backend server;
/// `expires` is its deadline. An attempt whose budget is already open keeps it.
RetryBudget& OpenEntry(RetryBudgetTable& table,
                       const AttemptId& attempt,
                       int retries,
                       SteadyTime expires);

/// The budget of an attempt, or null if none is open on this node, in which
/// case there are no retries.
RetryBudget* FindEntry(RetryBudgetTable& table, const AttemptId& attempt);

/// Closes the budget of an attempt and returns its unused part.
int CloseEntry(RetryBudgetTable& table, const AttemptId& attempt);

/// Removes entries past their deadline and returns their number.
std::size_t ExpireEntries(RetryBudgetTable& table, SteadyTime now);

/// Token bucket that limits retries to one peer to 10% of the successful calls
/// there, so that retries to a failing peer stop.
struct RetryTokens {
  double tokens = 10.0;
};

void AddSuccess(RetryTokens& tokens);
bool HasToken(const RetryTokens& tokens);
/// Takes one token. Returns false if there is none.
bool TakeToken(RetryTokens& tokens);

/// Delay before retry number `retry` (1 for the first): `retry_after` of the
/// refusal plus full jitter up to an exponentially growing bound.
std::chrono::milliseconds RetryDelay(int retry,
                                     std::chrono::milliseconds retry_after,
                                     Rng& rng);

/// Properties of a failed attempt that determine whether it may be retried.
struct AttemptResult {
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  bool idempotent = false;
  /// Time left for the request after the delay before the retry.
  std::chrono::nanoseconds time_left{0};
  /// Typical latency of such a call. No retry is sent if it exceeds
  /// `time_left`.
  std::chrono::nanoseconds expected_latency{0};
};

/// Whether a retry takes a token of the peer that failed. An attempt whose
/// connection failed put no load on the peer, so its retry needs no token; it
/// still counts against the request's budget.
bool NeedsToken(const AttemptResult& result);

/// Whether another attempt is allowed. Work that may have run is retried only
/// if it is idempotent. A refusal that every node would repeat is final.
bool MayRetry(const AttemptResult& result,
              const RetryBudget& budget,
              const RetryTokens& tokens);

}  // namespace cassiakeel::routing
