#include "cassiakeel/routing/retry.h"

#include <algorithm>

namespace cassiakeel::routing {
namespace {

using std::chrono::milliseconds;

constexpr double kTokensPerSuccess = 0.1;
constexpr double kMaxTokens = 10.0;
constexpr milliseconds kBackoffBase{5};
constexpr milliseconds kBackoffMax{500};

// Refusals that every endpoint would repeat, or that result from an error in
// the request.
bool IsFinal(Reason reason) {
  switch (reason) {
    case Reason::kDeadline:
    case Reason::kNoPolicy:
    case Reason::kUnknownService:
    case Reason::kUnknownKind:
    case Reason::kBadRequest:
    case Reason::kTooLarge:
    case Reason::kTooDeep:
    case Reason::kNotVouched:
    case Reason::kKeyConflict:
    case Reason::kCancelled:
      return true;
    default:
      return false;
  }
}

}  // namespace

RetryBudget OpenBudget(int retries) {
  const int given = std::max(0, retries);
  return {given, given, false};
}

bool SpendRetry(RetryBudget& budget) {
  if (budget.closed || budget.remaining <= 0) {
    return false;
  }
  --budget.remaining;
  return true;
}

Delegation Delegate(RetryBudget& budget) {
  const int given = budget.closed ? 0 : budget.remaining / 2;
  budget.remaining -= given;
  return {given, false};
}

void ReclaimUnspent(RetryBudget& budget, Delegation& delegation, int unspent) {
  if (!delegation.settled && !budget.closed) {
    budget.remaining += std::clamp(unspent, 0, delegation.given);
  }
  delegation.settled = true;
}

void Abandon(Delegation& delegation) {
  delegation.settled = true;
}

int CloseBudget(RetryBudget& budget) {
  const int unspent =
      budget.closed ? 0 : std::clamp(budget.remaining, 0, budget.given);
  budget.remaining = 0;
  budget.closed = true;
  return unspent;
}

RetryBudget& OpenEntry(RetryBudgetTable& table,
                       const AttemptId& attempt,
                       int retries,
                       SteadyTime expires) {
  const auto [entry, added] = table.entries.try_emplace(
      attempt, RetryBudgetTable::Entry{OpenBudget(retries), expires});
  return entry->second.budget;
}

RetryBudget* FindEntry(RetryBudgetTable& table, const AttemptId& attempt) {
  const auto found = table.entries.find(attempt);
  return found == table.entries.end() ? nullptr : &found->second.budget;
}

int CloseEntry(RetryBudgetTable& table, const AttemptId& attempt) {
  const auto found = table.entries.find(attempt);
  if (found == table.entries.end()) {
    return 0;
  }
  const int unspent = CloseBudget(found->second.budget);
  table.entries.erase(found);
  return unspent;
}

std::size_t ExpireEntries(RetryBudgetTable& table, SteadyTime now) {
  return std::erase_if(table.entries, [now](const auto& item) {
    return item.second.expires <= now;
  });
}

void AddSuccess(RetryTokens& tokens) {
  tokens.tokens = std::min(kMaxTokens, tokens.tokens + kTokensPerSuccess);
}

bool HasToken(const RetryTokens& tokens) {
  // Adding 0.1 ten times gives slightly less than 1 in floating point.
  constexpr double kRounding = 1e-9;
  return tokens.tokens >= 1.0 - kRounding;
}

bool TakeToken(RetryTokens& tokens) {
  if (!HasToken(tokens)) {
    return false;
  }
  tokens.tokens = std::max(0.0, tokens.tokens - 1.0);
  return true;
}

milliseconds RetryDelay(int retry, milliseconds retry_after, Rng& rng) {
  // 10 doublings exceed `kBackoffMax` and cannot overflow the shift.
  const int doublings = std::clamp(retry - 1, 0, 10);
  const auto bound =
      std::min(kBackoffMax, milliseconds(kBackoffBase.count() << doublings));
  return std::max(retry_after, milliseconds(0)) + FullJitter(bound, rng);
}

bool NeedsToken(const AttemptResult& result) {
  return result.reason != Reason::kConnectFailed;
}

bool MayRetry(const AttemptResult& result,
              const RetryBudget& budget,
              const RetryTokens& tokens) {
  if (budget.closed || budget.remaining <= 0 ||
      (NeedsToken(result) && !HasToken(tokens))) {
    return false;
  }
  if (result.outcome == Outcome::kRan || IsFinal(result.reason)) {
    return false;
  }
  if (result.outcome == Outcome::kUnknown && !result.idempotent) {
    return false;
  }
  return result.time_left.count() > 0 &&
         result.time_left > result.expected_latency;
}

}  // namespace cassiakeel::routing
