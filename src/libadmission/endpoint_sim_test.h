#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "cassiakeel/admission/state.h"
#include "cassiakeel/base/random.h"

namespace cassiakeel::admission::test {

/// Open-loop Poisson arrivals of one kind of request. All times are in
/// milliseconds.
struct Stream {
  RequestClass request_class = RequestClass::kInternal;
  WorkLength length = WorkLength::kShort;
  /// Requests per second as a function of the simulated time.
  std::function<double(double)> rate;
  std::uint64_t kind = 0;
  double service_ms = 15;
  double deadline_ms = 300;
  double max_wait_ms = 200;
  /// The client retries after this time without a response, and `retry_ms`
  /// after a refusal; 0 for clients that do not retry.
  double attempt_timeout_ms = 0;
  double retry_ms = 0;
};

/// State and result of one request.
struct Request {
  std::size_t stream = 0;
  double arrived = 0;
  double rank = 0;
  /// Time at which the first attempt finished, negative before that.
  double finished = -1;
  /// Ticket of the attempt whose response the client awaits, 0 for none.
  std::uint64_t current_attempt = 0;
};

struct Options {
  Config config;
  std::vector<Stream> streams;
  double duration_ms = 10000;
  /// Without admission control: one FIFO queue and no refusals.
  bool fifo = false;
  /// Factor on service times as a function of time and number in flight.
  std::function<double(double, int)> slowdown = [](double, int) { return 1.0; };
};

/// Discrete-event simulation of the calls of one endpoint.
class EndpointSim {
 public:
  explicit EndpointSim(Options sim_options)
      : options(std::move(sim_options)),
        state(MakeState(this->options.config,
                        SteadyTime() - std::chrono::hours(1))) {
    for (std::size_t i = 0; i < this->options.streams.size(); ++i) {
      this->ScheduleArrival(i, 0);
    }
    this->Push(kTickMs, Event::kTick, 0);
  }

  void Run() {
    while (!this->events.empty()) {
      const Event event = this->events.top();
      this->events.pop();
      // Continues for 1 s after the last arrival, so that late responses are
      // counted.
      if (event.at > this->options.duration_ms + 1000) {
        return;
      }
      this->now_ms = event.at;
      this->Handle(event);
    }
  }

  /// Share of the requests of `stream` that arrived in [from, to) that finished
  /// within their deadline.
  double InTime(std::size_t stream, double from, double to) const {
    double in_time = 0;
    double all = 0;
    for (const auto& request : this->requests) {
      if (request.stream == stream && request.arrived >= from &&
          request.arrived < to) {
        ++all;
        in_time += this->IsInTime(request) ? 1 : 0;
      }
    }
    return all > 0 ? in_time / all : 1;
  }

  /// Quantile of the latency of the requests of `stream` that arrived in
  /// [from, to). Unfinished ones count with the duration of the run.
  double Quantile(std::size_t stream,
                  double quantile,
                  double from,
                  double to) const {
    std::vector<double> latencies;
    for (const auto& request : this->requests) {
      if (request.stream == stream && request.arrived >= from &&
          request.arrived < to) {
        latencies.push_back(request.finished < 0
                                ? this->options.duration_ms
                                : request.finished - request.arrived);
      }
    }
    if (latencies.empty()) {
      return 0;
    }
    const auto place =
        latencies.begin() +
        static_cast<std::ptrdiff_t>(quantile *
                                    static_cast<double>(latencies.size() - 1));
    std::nth_element(latencies.begin(), place, latencies.end());
    return *place;
  }

  /// Service time of responses within their deadline in [from, to), as a share
  /// of the capacity of all slots.
  double Goodput(double from, double to) const {
    double useful = 0;
    for (const auto& [at, service_ms] : this->useful_responses) {
      useful += at >= from && at < to ? service_ms : 0;
    }
    return useful / (this->options.config.slots.Value() * (to - from));
  }

  bool IsInTime(const Request& request) const {
    return request.finished >= 0 &&
           request.finished - request.arrived <=
               this->options.streams[request.stream].deadline_ms;
  }

  std::vector<Request> requests;
  /// Time and limit at each tick.
  std::vector<std::pair<double, int>> limits;
  std::function<void(const Work&, const Decision&)> on_decision;

 private:
  static constexpr double kTickMs = 20;

  struct Event {
    enum Type { kArrival, kAttempt, kTimeout, kFinish, kTick };
    double at = 0;
    std::uint64_t order = 0;
    Type type = kTick;
    std::uint64_t subject = 0;
    bool operator<(const Event& other) const {
      return std::pair(this->at, this->order) >
             std::pair(other.at, other.order);
    }
  };

  struct Attempt {
    std::size_t request = 0;
    double service_ms = 0;
    double started = -1;
    Work work;
  };

  SteadyTime Time(double ms) const {
    return SteadyTime() +
           std::chrono::nanoseconds(static_cast<std::int64_t>(ms * 1e6));
  }

  void Push(double at, Event::Type type, std::uint64_t subject) {
    this->events.push({at, this->order++, type, subject});
  }

  void ScheduleArrival(std::size_t stream, double after) {
    // Thinning against a bound of the rate (Lewis and Shedler, 1979).
    double at = after;
    while (at < this->options.duration_ms) {
      at += std::exponential_distribution<double>(kMaxRate / 1000)(this->rng);
      const double rate = this->options.streams[stream].rate(at);
      if (UniformUnit(this->rng) * kMaxRate < rate) {
        break;
      }
    }
    if (at < this->options.duration_ms) {
      this->Push(at, Event::kArrival, stream);
    }
  }

  void Handle(const Event& event) {
    switch (event.type) {
      case Event::kArrival:
        this->ScheduleArrival(event.subject, this->now_ms);
        this->requests.push_back(
            {event.subject, this->now_ms, UniformUnit(this->rng), -1, 0});
        this->Send(this->requests.size() - 1);
        break;
      case Event::kAttempt:
        this->Send(event.subject);
        break;
      case Event::kTimeout:
        this->TimeOut(event.subject);
        break;
      case Event::kFinish:
        this->FinishAttempt(event.subject);
        break;
      case Event::kTick:
        this->limits.emplace_back(
            this->now_ms, LoadOf(this->state, this->Time(this->now_ms)).limit);
        if (!this->options.fifo) {
          this->Apply(Advance(this->state, this->Time(this->now_ms)));
        }
        this->Push(this->now_ms + kTickMs, Event::kTick, 0);
    }
  }

  // The client abandons its attempt and sends another one. The endpoint is not
  // notified, as after a lost connection.
  void TimeOut(std::uint64_t id) {
    const auto found = this->attempts.find(id);
    if (found != this->attempts.end() &&
        this->requests[found->second.request].current_attempt == id) {
      this->Send(found->second.request);
    }
  }

  void Send(std::size_t index) {
    Request& request = this->requests[index];
    const Stream& stream = this->options.streams[request.stream];
    const double end = request.arrived + stream.deadline_ms;
    if (request.finished >= 0 || this->now_ms >= end) {
      return;
    }
    const std::uint64_t id = this->next_ticket++;
    request.current_attempt = id;
    if (stream.attempt_timeout_ms > 0) {
      this->Push(this->now_ms + stream.attempt_timeout_ms, Event::kTimeout, id);
    }
    Attempt attempt{
        index,
        std::exponential_distribution<double>(1 / stream.service_ms)(this->rng),
        -1,
        {}};
    attempt.work.ticket = TicketId(id);
    attempt.work.shed_rank = request.rank;
    attempt.work.request_class = stream.request_class;
    attempt.work.length = stream.length;
    attempt.work.kind = stream.kind;
    attempt.work.deadline = this->Time(end);
    attempt.work.max_wait = std::chrono::milliseconds(
        static_cast<std::int64_t>(stream.max_wait_ms));
    this->attempts.emplace(id, attempt);
    if (this->options.fifo) {
      this->fifo_queue.push(id);
      this->StartFifo();
      return;
    }
    const auto now = this->Time(this->now_ms);
    this->Apply({Offer(this->state, attempt.work, now)});
    const auto due = NextEvent(this->state);
    if (due && *due <= now) {
      this->Apply(Advance(this->state, now));
    }
  }

  void Apply(const std::vector<Decision>& decisions) {
    for (const auto& decision : decisions) {
      const auto id = decision.ticket.Value();
      const auto found = this->attempts.find(id);
      if (this->on_decision) {
        this->on_decision(found->second.work, decision);
      }
      if (decision.verdict == Verdict::kStart) {
        this->StartAttempt(id);
      } else if (decision.verdict == Verdict::kRefuse) {
        const auto request = found->second.request;
        this->attempts.erase(found);
        const auto& stream =
            this->options.streams[this->requests[request].stream];
        if (stream.retry_ms > 0 &&
            this->requests[request].current_attempt == id) {
          this->requests[request].current_attempt = 0;
          this->Push(this->now_ms + stream.retry_ms, Event::kAttempt, request);
        }
      }
    }
  }

  void StartAttempt(std::uint64_t id) {
    auto& attempt = this->attempts.at(id);
    ++this->in_flight;
    attempt.started = this->now_ms;
    attempt.service_ms *= this->options.slowdown(this->now_ms, this->in_flight);
    this->Push(this->now_ms + attempt.service_ms, Event::kFinish, id);
  }

  void StartFifo() {
    while (!this->fifo_queue.empty() &&
           this->in_flight < this->options.config.slots.Value()) {
      const auto id = this->fifo_queue.front();
      this->fifo_queue.pop();
      this->StartAttempt(id);
    }
  }

  void FinishAttempt(std::uint64_t id) {
    const Attempt attempt = this->attempts.at(id);
    this->attempts.erase(id);
    --this->in_flight;
    auto& request = this->requests[attempt.request];
    if (request.finished < 0) {
      request.finished = this->now_ms;
      if (this->IsInTime(request)) {
        this->useful_responses.emplace_back(this->now_ms, attempt.service_ms);
      }
    }
    if (this->options.fifo) {
      this->StartFifo();
      return;
    }
    Completion completion;
    completion.service_time = std::chrono::nanoseconds(
        static_cast<std::int64_t>(attempt.service_ms * 1e6));
    this->Apply(Finish(this->state, TicketId(id), completion,
                       this->Time(this->now_ms)));
  }

  /// Upper bound of the rate of any stream, per second.
  static constexpr double kMaxRate = 20000;

  Options options;
  State state;
  Rng rng{20261204};
  double now_ms = 0;
  int in_flight = 0;
  std::uint64_t order = 0;
  std::uint64_t next_ticket = 1;
  std::priority_queue<Event> events;
  std::unordered_map<std::uint64_t, Attempt> attempts;
  std::queue<std::uint64_t> fifo_queue;
  std::vector<std::pair<double, double>> useful_responses;
};

}  // namespace cassiakeel::admission::test
