#include "metrics.h"

#include <prometheus/text_serializer.h>

namespace cassiakeel::node {
namespace {

// From the objective for added latency up to the deadline of long calls.
const prometheus::Histogram::BucketBoundaries kLatencyBoundsSeconds = {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2,
    0.5,    1,     2,     5,     10,   30,   60,   300};

template <typename Builder>
auto& RegisterFamily(Builder builder,
                     const std::shared_ptr<prometheus::Registry>& registry,
                     const std::string& name,
                     const std::string& help) {
  return builder.Name(name).Help(help).Register(*registry);
}

}  // namespace

Metrics::Metrics()
    : registry(std::make_shared<prometheus::Registry>()),
      calls(RegisterFamily(
          prometheus::BuildCounter(),
          this->registry,
          "cassiakeel_calls_total",
          "Calls answered, by service, class, outcome and reason")),
      latency(
          RegisterFamily(prometheus::BuildHistogram(),
                         this->registry,
                         "cassiakeel_call_seconds",
                         "Time from arrival to answer, by service and class")),
      retries(RegisterFamily(prometheus::BuildCounter(),
                             this->registry,
                             "cassiakeel_retries_total",
                             "Attempts beyond the first, by service")),
      bad_requests(RegisterFamily(prometheus::BuildCounter(),
                                  this->registry,
                                  "cassiakeel_bad_requests_total",
                                  "Requests refused as malformed, by reason")),
      without_context(
          RegisterFamily(prometheus::BuildCounter(),
                         this->registry,
                         "cassiakeel_calls_without_context_total",
                         "Calls of the backend server without context")
              .Add({})),
      in_flight(RegisterFamily(prometheus::BuildGauge(),
                               this->registry,
                               "cassiakeel_in_flight",
                               "Calls at the own backend server")
                    .Add({})),
      limit(RegisterFamily(prometheus::BuildGauge(),
                           this->registry,
                           "cassiakeel_limit",
                           "Concurrency limit of the own backend server")
                .Add({})),
      queued(RegisterFamily(prometheus::BuildGauge(),
                            this->registry,
                            "cassiakeel_queued",
                            "Calls that wait for a slot")
                 .Add({})) {}

void Metrics::CountCall(const Call& call,
                        const CallResult& result,
                        std::chrono::nanoseconds time) {
  const std::string request_class(RequestClassName(call.request_class));
  this->calls
      .Add({{"service", call.service.Value()},
            {"class", request_class},
            {"outcome", std::string(OutcomeName(result.outcome))},
            {"reason", std::string(ReasonName(result.reason))}})
      .Increment();
  this->latency
      .Add({{"service", call.service.Value()}, {"class", request_class}},
           kLatencyBoundsSeconds)
      .Observe(std::chrono::duration<double>(time).count());
}

void Metrics::CountCallWithoutContext() {
  this->without_context.Increment();
}

void Metrics::CountRetry(const ServiceName& service) {
  this->retries.Add({{"service", service.Value()}}).Increment();
}

void Metrics::CountBadRequest(Reason reason) {
  this->bad_requests.Add({{"reason", std::string(ReasonName(reason))}})
      .Increment();
}

void Metrics::SetLoad(const admission::Load& load) {
  this->in_flight.Set(load.in_flight);
  this->limit.Set(load.limit);
  this->queued.Set(load.queued);
}

void Metrics::SetGauge(const std::string& name,
                       const std::string& help,
                       double value) {
  RegisterFamily(prometheus::BuildGauge(), this->registry, name, help)
      .Add({})
      .Set(value);
}

void Metrics::SetBurn(const telemetry::BurnSummary& summary) {
  auto& family = RegisterFamily(
      prometheus::BuildGauge(), this->registry, "cassiakeel_burn_rate",
      "Error budget burn rate, by service, class and window in minutes");
  for (std::size_t i = 0; i < telemetry::kBurnWindows.size(); ++i) {
    family
        .Add({{"service", summary.service.Value()},
              {"class", std::string(RequestClassName(summary.request_class))},
              {"window", std::to_string(telemetry::kBurnWindows[i].count())}})
        .Set(
            telemetry::BurnRate(summary.windows[i], summary.objective_percent));
  }
}

std::string Metrics::Serialize() const {
  return prometheus::TextSerializer().Serialize(this->registry->Collect());
}

}  // namespace cassiakeel::node
