#include "backend_gate.h"
#include "mesh_test_support.h"
#include "typical_service_times.h"

namespace cassiakeel::mesh {
namespace {

using std::chrono::milliseconds;

// A gate on its own context, in front of a backend server that responds when
// the test calls `RespondNext`.
class GateFixture {
 public:
  GateFixture()
      : timers(h1::TimerQueue::Create(this->io_context, this->clock)),
        log(this->clock),
        backend([this](const std::shared_ptr<h1::Exchange>& exchange) {
          const std::lock_guard lock(this->mutex);
          this->pending_exchanges.push_back(exchange);
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
                      int label,
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
                              [this, &order, label](const ServeResult& result) {
                                this->last_result = result;
                                order.push_back(label);
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

  void RespondNext() {
    this->RunUntil([this] {
      const std::lock_guard lock(this->mutex);
      return !this->pending_exchanges.empty();
    });
    const std::lock_guard lock(this->mutex);
    const auto exchange = this->pending_exchanges.front();
    this->pending_exchanges.erase(this->pending_exchanges.begin());
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
  std::vector<std::shared_ptr<h1::Exchange>> pending_exchanges;
  FakeBackend backend;
  std::unique_ptr<pvt::BackendGate> gate;
  ServeResult last_result;
};

}  // namespace

TEST_CASE("more important calls overtake earlier calls in the queue") {
  GateFixture fixture;
  std::vector<int> order;
  fixture.Submit(2, 0.5, order, 1);
  fixture.Submit(2, 0.5, order, 2);
  fixture.Submit(0, 0.5, order, 3);
  for (std::size_t i = 1; i <= 3; ++i) {
    fixture.RespondNext();
    fixture.RunUntil([&order, i] { return order.size() == i; });
  }
  CHECK(order == std::vector<int>{1, 3, 2});
  CHECK(fixture.last_result.outcome == Outcome::kRan);
}

TEST_CASE("a call is matched to the running call with the same deadline only") {
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
  // The result of a downstream call is included in its parent's result.
  fixture.gate->RecordChildShedLevel(id, 1.25);
  fixture.gate->RecordChildFailure(id);
  fixture.RespondNext();
  fixture.RunUntil([&order] { return order.size() == 1; });
  CHECK(fixture.last_result.shed_level == Approx(1.25));
  // The parent succeeded although its downstream call failed.
  CHECK_FALSE(fixture.last_result.downstream_failed);
  CHECK_FALSE(fixture.gate->FindParent("child", deadline));
}

TEST_CASE("a parent id takes precedence over a closer deadline") {
  GateFixture fixture;
  fixture.SetBackend("i-1", false, 2);
  fixture.fields.id_separator = '.';
  std::vector<int> order;
  fixture.Submit(0, 0.75, order, 1, true, "x");
  const auto before = fixture.clock.Now();
  fixture.Submit(2, 0.25, order, 2, true, "y");
  const auto deadline = before + milliseconds(3000);
  // The second call's deadline is closer, but the id refers to the first call.
  const auto parent = fixture.gate->FindParent("x.1", deadline);
  REQUIRE(parent);
  CHECK(parent->priority == 0);
  CHECK(parent->tree_rank == 0.75);
  // From now on parents are found by id only; a request without a known parent
  // id comes from a client.
  CHECK_FALSE(fixture.gate->FindParent("z", deadline));
  CHECK_FALSE(fixture.gate->FindParent("z.1", deadline));
  fixture.RespondNext();
  fixture.RunUntil([&order] { return order.size() == 1; });
  CHECK_FALSE(fixture.gate->FindParent("x.1", deadline));
}

TEST_CASE("a server with many slots keeps some of them unused") {
  GateFixture fixture;
  fixture.SetBackend("i-1", false, 40);
  CHECK(fixture.gate->CurrentLoad().limit == 38);
  fixture.SetBackend("i-2", false, 4);
  CHECK(fixture.gate->CurrentLoad().limit == 4);
}

TEST_CASE("parent and root ids are derived from the id of a call") {
  CHECK(ParentId("a.b.c", '.') == "a.b");
  CHECK(ParentId("a", '.').empty());
  CHECK(ParentId("a.b", 0).empty());
  CHECK(RootId("a.b.c", '.') == "a");
  CHECK(RootId("a.b", 0) == "a.b");
}

TEST_CASE("queued calls are refused as not run when the server is leaving") {
  GateFixture fixture;
  std::vector<int> order;
  fixture.Submit(2, 0.5, order, 1);
  fixture.Submit(2, 0.5, order, 2);
  fixture.SetBackend("i-1", true, 1);
  CHECK(order == std::vector<int>{2});
  CHECK(fixture.last_result.outcome == Outcome::kNotRun);
  CHECK_FALSE(fixture.last_result.reached_backend);
  fixture.RespondNext();
  fixture.RunUntil([&order] { return order.size() == 2; });
  CHECK(fixture.last_result.outcome == Outcome::kRan);
}

TEST_CASE(
    "a new server at the same address gets no calls of the previous one") {
  GateFixture fixture;
  std::vector<int> order;
  fixture.Submit(2, 0.5, order, 1);
  fixture.Submit(2, 0.5, order, 2);
  fixture.SetBackend("i-2", false, 1);
  CHECK(order == std::vector<int>{2});
  CHECK(fixture.last_result.outcome == Outcome::kNotRun);
}

TEST_CASE(
    "withdrawing drops a queued call and cancels a running idempotent one") {
  GateFixture fixture;
  std::vector<int> order;
  const auto running = fixture.Submit(2, 0.5, order, 1);
  const auto queued = fixture.Submit(2, 0.5, order, 2);
  fixture.gate->Withdraw(queued);
  fixture.gate->Withdraw(running);
  CHECK(fixture.gate->InFlight() == 0);
  // A non-idempotent call continues, because it cannot be undone.
  const auto non_idempotent = fixture.Submit(0, 0.5, order, 3, false);
  fixture.gate->Withdraw(non_idempotent);
  CHECK(fixture.gate->InFlight() == 1);
  CHECK(order.empty());
}

// Guards against a server that fails fast looking like a fast one, and against
// the times of one kind changing those of another.
TEST_CASE("typical service times are kept by kind, without fast failures") {
  pvt::TypicalServiceTimes times;
  times.Add(1, milliseconds(100), false);
  const auto between = times.Add(1, milliseconds(400), false);
  CHECK(between > milliseconds(199));
  CHECK(between < milliseconds(201));
  CHECK(times.Add(1, milliseconds(1), true) == between);
  CHECK(times.Add(1, milliseconds(450), true) > between);
  CHECK(times.Add(2, milliseconds(10), false) < milliseconds(11));
  // A server that turns slow is recognized within some dozens of calls.
  for (int i = 0; i < 40; ++i) {
    times.Add(2, milliseconds(100), false);
  }
  CHECK(times.Add(2, milliseconds(100), false) > milliseconds(70));
}

}  // namespace cassiakeel::mesh
