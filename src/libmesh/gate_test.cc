#include "backend_gate.h"
#include "mesh_test_support.h"

namespace cassiakeel::mesh {
namespace {

using std::chrono::milliseconds;

// A gate on a context of its own before a backend server that answers when the
// test says.
class GateFixture {
 public:
  GateFixture()
      : timers(h1::TimerQueue::Create(this->io_context, this->clock)),
        log(this->clock),
        backend([this](const std::shared_ptr<h1::Exchange>& exchange) {
          const std::lock_guard lock(this->mutex);
          this->held.push_back(exchange);
        }),
        gate(pvt::BackendGate::Create(this->io_context,
                                      this->timers,
                                      this->fields,
                                      this->log,
                                      this->statistics)) {
    this->SetBackend("i-1", false, 1);
  }

  void SetBackend(const std::string& id, bool leaving, int slots) {
    BackendReport report;
    report.instance = InstanceId(id);
    report.service = ServiceName("s");
    report.address = this->backend.address;
    report.slots = Slots(slots);
    report.leaving = leaving;
    this->gate->SetBackend({true, report});
  }

  pvt::ServeId Submit(int priority,
                      double rank,
                      std::vector<int>& order,
                      int name,
                      bool idempotent = true,
                      const std::string& attempt = "a") {
    ServeRequest request;
    request.info.service = ServiceName("s");
    request.info.priority = priority;
    request.info.tree_rank = rank;
    request.info.idempotent = idempotent;
    request.info.target_latency = milliseconds(2000);
    request.request = {"GET", "/", {{"Host", "h"}, {"Attempt", attempt}}, {}};
    request.deadline = this->clock.Now() + milliseconds(3000);
    return this->gate->Submit(std::move(request),
                              [this, &order, name](const ServeResult& result) {
                                this->last = result;
                                order.push_back(name);
                              });
  }

  void RunUntil(const std::function<bool()>& done) {
    const auto end = this->clock.Now() + milliseconds(3000);
    while (!done() && this->clock.Now() < end) {
      this->io_context.run_for(milliseconds(5));
      this->io_context.restart();
    }
    REQUIRE(done());
  }

  void AnswerNext() {
    this->RunUntil([this] {
      const std::lock_guard lock(this->mutex);
      return !this->held.empty();
    });
    const std::lock_guard lock(this->mutex);
    const auto exchange = this->held.front();
    this->held.erase(this->held.begin());
    asio::post(this->backend.Context(), [exchange] {
      exchange->Respond(FakeBackend::Success(exchange->request()));
    });
  }

  asio::io_context io_context;
  SystemClock clock;
  std::shared_ptr<h1::TimerQueue> timers;
  FieldNames fields = TestFields();
  pvt::DecisionLog log;
  pvt::Statistics statistics;
  std::mutex mutex;
  std::vector<std::shared_ptr<h1::Exchange>> held;
  FakeBackend backend;
  std::unique_ptr<pvt::BackendGate> gate;
  ServeResult last;
};

}  // namespace

TEST_CASE("important work passes work that came earlier") {
  GateFixture fixture;
  std::vector<int> order;
  fixture.Submit(2, 0.5, order, 1);
  fixture.Submit(2, 0.5, order, 2);
  fixture.Submit(0, 0.5, order, 3);
  for (std::size_t i = 1; i <= 3; ++i) {
    fixture.AnswerNext();
    fixture.RunUntil([&order, i] { return order.size() == i; });
  }
  CHECK(order == std::vector<int>{1, 3, 2});
  CHECK(fixture.last.outcome == Outcome::kRan);
}

TEST_CASE("a call is matched to the run with its deadline, others are not") {
  GateFixture fixture;
  std::vector<int> order;
  const auto before = fixture.clock.Now();
  const auto id = fixture.Submit(0, 0.75, order, 1);
  const auto deadline = before + milliseconds(3000);
  const auto parent = fixture.gate->FindParent("child", deadline);
  REQUIRE(parent);
  CHECK(parent->id == id);
  CHECK(parent->priority == 0);
  CHECK(parent->tree_rank == 0.75);
  CHECK_FALSE(fixture.gate->FindParent("child", deadline + milliseconds(50)));
  // What a call met counts for the request that caused it.
  fixture.gate->NoteChild(id, 1.25);
  fixture.gate->NoteChildFailed(id);
  fixture.AnswerNext();
  fixture.RunUntil([&order] { return order.size() == 1; });
  CHECK(fixture.last.shed_level == Approx(1.25));
  // The run was a success all the same.
  CHECK_FALSE(fixture.last.call_failed);
  CHECK_FALSE(fixture.gate->FindParent("child", deadline));
}

TEST_CASE("an id that extends that of a run goes before a nearer deadline") {
  GateFixture fixture;
  fixture.SetBackend("i-1", false, 2);
  fixture.fields.id_separator = '.';
  std::vector<int> order;
  fixture.Submit(0, 0.75, order, 1, true, "x");
  const auto before = fixture.clock.Now();
  fixture.Submit(2, 0.25, order, 2, true, "y");
  const auto deadline = before + milliseconds(3000);
  // The second run's deadline is nearer, yet the id names the first.
  const auto parent = fixture.gate->FindParent("x.1", deadline);
  REQUIRE(parent);
  CHECK(parent->priority == 0);
  CHECK(parent->tree_rank == 0.75);
  // From now on ids tell: a request of a client is nobody's call.
  CHECK_FALSE(fixture.gate->FindParent("z", deadline));
  CHECK_FALSE(fixture.gate->FindParent("z.1", deadline));
  fixture.AnswerNext();
  fixture.RunUntil([&order] { return order.size() == 1; });
  CHECK_FALSE(fixture.gate->FindParent("x.1", deadline));
}

TEST_CASE("a server of many slots is not filled to the last one") {
  GateFixture fixture;
  fixture.SetBackend("i-1", false, 40);
  CHECK(fixture.gate->LoadNow().limit == 38);
  fixture.SetBackend("i-2", false, 4);
  CHECK(fixture.gate->LoadNow().limit == 4);
}

TEST_CASE("ids of a tree lead to their parent and their root") {
  CHECK(ParentId("a.b.c", '.') == "a.b");
  CHECK(ParentId("a", '.').empty());
  CHECK(ParentId("a.b", 0).empty());
  CHECK(RootId("a.b.c", '.') == "a");
  CHECK(RootId("a.b", 0) == "a.b");
}

TEST_CASE("queued work is refused as not run when the server leaves") {
  GateFixture fixture;
  std::vector<int> order;
  fixture.Submit(2, 0.5, order, 1);
  fixture.Submit(2, 0.5, order, 2);
  fixture.SetBackend("i-1", true, 1);
  CHECK(order == std::vector<int>{2});
  CHECK(fixture.last.outcome == Outcome::kNotRun);
  CHECK_FALSE(fixture.last.reached_backend);
  fixture.AnswerNext();
  fixture.RunUntil([&order] { return order.size() == 2; });
  CHECK(fixture.last.outcome == Outcome::kRan);
}

TEST_CASE("a successor at the same address gets no work of its predecessor") {
  GateFixture fixture;
  std::vector<int> order;
  fixture.Submit(2, 0.5, order, 1);
  fixture.Submit(2, 0.5, order, 2);
  fixture.SetBackend("i-2", false, 1);
  CHECK(order == std::vector<int>{2});
  CHECK(fixture.last.outcome == Outcome::kNotRun);
}

TEST_CASE(
    "a caller that left frees a queued call and cancels idempotent work") {
  GateFixture fixture;
  std::vector<int> order;
  const auto running = fixture.Submit(2, 0.5, order, 1);
  const auto queued = fixture.Submit(2, 0.5, order, 2);
  fixture.gate->Withdraw(queued);
  fixture.gate->Withdraw(running);
  CHECK(fixture.gate->InFlight() == 0);
  // Work that must not run twice goes on: it cannot be taken back.
  const auto once = fixture.Submit(0, 0.5, order, 3, false);
  fixture.gate->Withdraw(once);
  CHECK(fixture.gate->InFlight() == 1);
  CHECK(order.empty());
}

}  // namespace cassiakeel::mesh
