#define CATCH_CONFIG_MAIN
#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <cstdio>
#include <functional>

#include "cassiakeel/routing/context.h"
#include "cassiakeel/routing/retry.h"

namespace cassiakeel::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Simulates one request tree call by call. A node holds the retry budget of the
// attempt that it serves; all calls of its backend server draw on it.
struct RequestTreeSim {
  int depth = 13;
  int max_calls = 2;
  int fail_percent = 50;
  Rng rng;
  int extra_attempts = 0;
  /// Ends the simulation, because the size of the tree may be exponential.
  int attempts_left = 20000;

  bool Chance(int percent) {
    return static_cast<int>(this->rng() % 100) < percent;
  }

  // A response that arrives after its attempt was abandoned.
  struct LateResponse {
    RetryBudget* budget;
    Delegation delegation;
    int unspent;
  };

  // Serves one attempt at a node of `level`. Returns the unspent retries that
  // its response carries back.
  int Serve(int level, int retries) {
    RetryBudget budget = OpenBudget(retries);
    std::vector<LateResponse> late;
    if (level < this->depth) {
      const int calls =
          1 + static_cast<int>(this->rng() %
                               static_cast<unsigned>(this->max_calls));
      for (int i = 0; i < calls; ++i) {
        this->Call(level + 1, budget, late);
      }
    }
    // Late responses arrive in any order, twice each, and before or after the
    // budget is closed.
    std::shuffle(late.begin(), late.end(), this->rng);
    const bool before_close = this->Chance(50);
    int unspent = before_close ? 0 : CloseBudget(budget);
    for (auto& response : late) {
      ReclaimUnspent(*response.budget, response.delegation, response.unspent);
      ReclaimUnspent(*response.budget, response.delegation, response.unspent);
    }
    unspent += CloseBudget(budget);
    RC_ASSERT(unspent >= 0);
    RC_ASSERT(unspent <= retries);
    return unspent;
  }

  void Call(int level, RetryBudget& budget, std::vector<LateResponse>& late) {
    for (int attempt = 0;; ++attempt) {
      if (--this->attempts_left <= 0) {
        return;
      }
      if (attempt > 0) {
        if (!SpendRetry(budget)) {
          return;
        }
        ++this->extra_attempts;
      }
      Delegation delegation = Delegate(budget);
      const int unspent = this->Serve(level, delegation.given);
      const bool failed = this->Chance(this->fail_percent);
      if (!failed || this->Chance(30)) {
        ReclaimUnspent(budget, delegation, unspent);
      } else {
        Abandon(delegation);
        late.push_back({&budget, delegation, unspent});
      }
      if (!failed) {
        return;
      }
    }
  }
};

// Extra attempts in a chain of `depth` nodes with three tries at every hop, all
// of which fail at the last node.
double ExtraAttemptsWithThreeTries(int depth) {
  double attempts = 0;
  double at_level = 1;
  for (int level = 1; level <= depth; ++level) {
    at_level *= 3;
    attempts += at_level;
  }
  return attempts - depth;
}

}  // namespace

// Guards against retries that multiply from hop to hop (invariant I1).
TEST_CASE("extra attempts of a request tree never exceed its budget") {
  int max_extra_attempts = 0;
  int budget_at_max = 0;
  const bool holds = rc::check("retry budget bounds the tree", [&] {
    RequestTreeSim tree;
    const int budget = *rc::gen::inRange(0, 40);
    tree.depth = *rc::gen::inRange(1, 14);
    tree.max_calls = *rc::gen::inRange(1, 4);
    tree.fail_percent = *rc::gen::inRange(0, 101);
    tree.rng.seed(*rc::gen::arbitrary<std::uint64_t>());
    tree.Serve(0, budget);
    RC_ASSERT(tree.extra_attempts <= budget);
    if (tree.extra_attempts > max_extra_attempts) {
      max_extra_attempts = tree.extra_attempts;
      budget_at_max = budget;
    }
  });
  CHECK(holds);

  // A chain of 13 hops of which the last always fails.
  RequestTreeSim chain;
  chain.max_calls = 1;
  chain.fail_percent = 100;
  constexpr int kBudget = 6;
  chain.Serve(0, kBudget);
  CHECK(chain.extra_attempts <= kBudget);
  CHECK(max_extra_attempts > 0);
  std::printf(
      "retry-storm: at most %d extra attempts (budget %d) in random trees; "
      "chain of 13 that fails everywhere: %d (budget %d), three tries per hop: "
      "%.0f\n",
      max_extra_attempts, budget_at_max, chain.extra_attempts, kBudget,
      ExtraAttemptsWithThreeTries(13));
}

// Guards against repeating non-idempotent work that may have run already
// (invariant I5).
TEST_CASE("only idempotent work or work that did not run is retried") {
  const RetryBudget budget = OpenBudget(1);
  RetryTokens tokens;
  AttemptResult result;
  result.time_left = milliseconds(100);
  result.expected_latency = milliseconds(10);
  const auto may_retry = [&](Outcome outcome, Reason reason, bool idempotent) {
    result.outcome = outcome;
    result.reason = reason;
    result.idempotent = idempotent;
    return MayRetry(result, budget, tokens);
  };
  CHECK_FALSE(may_retry(Outcome::kUnknown, Reason::kConnectionLost, false));
  CHECK(may_retry(Outcome::kUnknown, Reason::kConnectionLost, true));
  CHECK(may_retry(Outcome::kNotRun, Reason::kLeaving, false));
  CHECK_FALSE(may_retry(Outcome::kNotRun, Reason::kKeyConflict, true));
  CHECK_FALSE(may_retry(Outcome::kRan, Reason::kNone, true));
  CHECK_FALSE(MayRetry(result, OpenBudget(0), tokens));
  result.outcome = Outcome::kNotRun;
  result.expected_latency = milliseconds(200);
  CHECK_FALSE(MayRetry(result, budget, tokens));
  result.expected_latency = milliseconds(10);
  while (TakeToken(tokens)) {
  }
  CHECK_FALSE(MayRetry(result, budget, tokens));
  for (int i = 0; i < 10; ++i) {
    AddSuccess(tokens);
  }
  CHECK(MayRetry(result, budget, tokens));
}

// Guards against calls to a failed peer using up its retry tokens, after which
// a call that another peer could serve would be refused.
TEST_CASE("a retry after a failed connect needs no token of the peer") {
  RetryTokens tokens;
  while (TakeToken(tokens)) {
  }
  AttemptResult result{Outcome::kNotRun, Reason::kConnectFailed, true,
                       milliseconds(100), milliseconds(10)};
  CHECK(MayRetry(result, OpenBudget(1), tokens));
  CHECK_FALSE(MayRetry(result, OpenBudget(0), tokens));
  result.reason = Reason::kOverload;
  CHECK_FALSE(MayRetry(result, OpenBudget(1), tokens));
}

// Guards against a response that returns more retries than its attempt got.
TEST_CASE("a response returns at most what its attempt was given") {
  RetryBudget budget = OpenBudget(8);
  Delegation first = Delegate(budget);
  CHECK(first.given == 4);
  ReclaimUnspent(budget, first, 100);
  CHECK(budget.remaining == 8);
  Delegation second = Delegate(budget);
  ReclaimUnspent(budget, second, -3);
  ReclaimUnspent(budget, second, 4);
  CHECK(budget.remaining == 4);
  CHECK(CloseBudget(budget) == 4);
  Delegation third = Delegate(budget);
  CHECK(third.given == 0);
  CHECK_FALSE(SpendRetry(budget));
}

// Guards against concurrent calls of a backend server that each get the whole
// budget, and against a table of budgets that grows without bound.
TEST_CASE("calls for one attempt share its budget until its deadline") {
  RetryBudgetTable table;
  const AttemptId attempt("a");
  const SteadyTime now{seconds(1)};
  OpenEntry(table, attempt, 2, now + seconds(1));
  CHECK(SpendRetry(*FindEntry(table, attempt)));
  // A repeated dispatch does not refill the budget.
  CHECK(OpenEntry(table, attempt, 2, now + seconds(1)).remaining == 1);
  CHECK(CloseEntry(table, attempt) == 1);
  CHECK(CloseEntry(table, attempt) == 0);
  CHECK(FindEntry(table, attempt) == nullptr);
  OpenEntry(table, attempt, 2, now + seconds(1));
  CHECK(ExpireEntries(table, now + seconds(1)) == 1);
}

// Guards against callers that retry at the same time or earlier than
// Retry-After.
TEST_CASE("the delay before a retry is jittered and honours the refusal") {
  Rng rng(3);
  for (int retry = 1; retry < 100; ++retry) {
    const auto delay = RetryDelay(retry, milliseconds(40), rng);
    CHECK(delay >= milliseconds(40));
    CHECK(delay <= milliseconds(540));
  }
}

// Guards against call context that changes from hop to hop.
TEST_CASE("a context survives format and parse") {
  Rng rng(1);
  RequestContext context;
  context.request = RequestId("0af7651916cd43dd8448eb211c80319c");
  context.request_class = RequestClass::kCritical;
  context.time_left = milliseconds(250);
  context.retries = 3;
  context.key = IdempotencyKey("room-12");
  context.attempt = AttemptId("a1");
  context.depth = 4;
  auto headers = FormatContext(context, rng);
  const auto parsed = ParseContext(headers, rng);
  REQUIRE(parsed.has_value());
  CHECK(parsed->request == context.request);
  CHECK(parsed->traced);
  CHECK(parsed->request_class == context.request_class);
  CHECK(parsed->time_left == context.time_left);
  CHECK(parsed->retries == context.retries);
  CHECK(parsed->key == context.key);
  CHECK(parsed->attempt == context.attempt);
  CHECK(parsed->depth == context.depth);
  headers.emplace_back("cassiakeel-retries", "9");
  CHECK_FALSE(ParseContext(headers, rng).has_value());
}

// Guards against accepting invalid header fields.
TEST_CASE("invalid context is rejected") {
  Rng rng(1);
  const auto accepts = [&](std::string_view name, const std::string& value) {
    return ParseContext({{std::string(name), value}}, rng).has_value();
  };
  CHECK_FALSE(accepts(kDeadlineHeader, "-1"));
  CHECK_FALSE(accepts(kDeadlineHeader, "10ms"));
  CHECK_FALSE(accepts(kDeadlineHeader, ""));
  CHECK_FALSE(accepts(kRetriesHeader, "99999999999999999999"));
  CHECK_FALSE(accepts(kDepthHeader, "17"));
  CHECK(accepts(kDepthHeader, "16"));
  CHECK_FALSE(accepts(kClassHeader, "urgent"));
  CHECK_FALSE(accepts(kIdempotencyKeyHeader, std::string(256, 'k')));
  CHECK_FALSE(accepts(kAttemptHeader, "a\r\nb"));
  // W3C Trace Context: an invalid traceparent starts a new trace.
  const auto untraced = ParseContext(
      {{"traceparent", "00-" + std::string(32, '0') + "-00f067aa0ba902b7-01"}},
      rng);
  REQUIRE(untraced.has_value());
  CHECK_FALSE(untraced->traced);
  CHECK(untraced->request.Value().size() == 32);
}

// Guards against crashes on, and acceptance of, corrupted headers.
TEST_CASE("corrupted headers are rejected or give a valid context") {
  Rng rng(11);
  RequestContext context;
  context.request = RequestId(RandomHex(16, rng));
  context.request_class = RequestClass::kInternal;
  context.time_left = milliseconds(250);
  context.retries = 3;
  context.key = IdempotencyKey("k");
  const auto valid = FormatContext(context, rng);
  for (int i = 0; i < 20000; ++i) {
    auto headers = valid;
    for (int edit = 0; edit < 3; ++edit) {
      auto& value = headers[rng() % headers.size()].second;
      if (!value.empty() && rng() % 4 != 0) {
        value[rng() % value.size()] = static_cast<char>(rng());
      } else {
        value.resize(rng() % 64, static_cast<char>(rng()));
      }
    }
    if (const auto parsed = ParseContext(headers, rng)) {
      CHECK(parsed->depth <= kMaxDepth);
      CHECK(parsed->time_left.value_or(milliseconds(0)).count() >= 0);
      CHECK(parsed->retries.value_or(0) >= 0);
      CHECK(parsed->request.Value().size() == 32);
    }
  }
}

}  // namespace cassiakeel::routing
