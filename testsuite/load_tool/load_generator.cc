#include "load_generator.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "cassiakeel/routing/context.h"

namespace cassiakeel::testsuite {

namespace {

using std::chrono::steady_clock;

/// libcurl finds an idle connection to a host by a linear search. Several
/// clients keep each search short when thousands of connections are open.
constexpr std::size_t kHttpClientCount = 16;
constexpr int kTraceIdBytes = 16;
constexpr int kSpanIdBytes = 8;

/// Converts "/service/a/b?q" to "/a/b", which the backend server echoes.
std::string PathBelowService(const std::string& target) {
  const std::string path = target.substr(0, target.find('?'));
  const auto slash = path.find('/', 1);
  return slash == std::string::npos ? "/" : path.substr(slash);
}

std::string FillCallNumber(std::string path, std::uint64_t number) {
  constexpr std::string_view kPlaceholder = "{n}";
  const auto found = path.find(kPlaceholder);
  if (found != std::string::npos) {
    path.replace(found, kPlaceholder.size(), std::to_string(number));
  }
  return path;
}

std::string_view VerdictName(Verdict verdict) {
  constexpr std::string_view kNames[] = {"ok",      "refused", "failed",
                                         "unknown", "broken",  "mixed"};
  return kNames[static_cast<std::size_t>(verdict)];
}

}  // namespace

LoadGenerator::LoadGenerator(asio::io_context& context, LoadOptions options)
    : context(context),
      options(std::move(options)),
      results(this->options.streams,
              this->options.phases,
              this->options.interval),
      rng(this->options.seed),
      sources_left(this->options.streams.size()),
      drain_timer(context) {
  if (!this->options.outcomes.empty()) {
    this->outcomes.open(this->options.outcomes);
  }
  this->clients.reserve(kHttpClientCount);
  for (std::size_t i = 0; i < kHttpClientCount; ++i) {
    this->clients.push_back(std::make_unique<HttpClient>(context));
  }
  this->sources.reserve(this->options.streams.size());
  for (const Stream& stream : this->options.streams) {
    this->sources.push_back(std::make_unique<ArrivalSource>(
        context,
        ArrivalSchedule(stream, this->options.phases, this->options.seed)));
  }
}

void LoadGenerator::Start() {
  this->started = steady_clock::now();
  for (std::size_t stream = 0; stream < this->sources.size(); ++stream) {
    if (this->sources[stream]->schedule.Next()) {
      this->WaitForNext(stream);
    } else {
      this->OnSourceDone();
    }
  }
}

std::chrono::nanoseconds LoadGenerator::Elapsed() const {
  return steady_clock::now() - this->started;
}

void LoadGenerator::WaitForNext(std::size_t stream) {
  ArrivalSource& source = *this->sources[stream];
  source.timer.expires_at(this->started +
                          std::chrono::duration_cast<steady_clock::duration>(
                              source.schedule.arrival_time()));
  source.timer.async_wait([this, stream](const asio::error_code& error) {
    if (error) {
      return;
    }
    this->StartCall(stream);
    if (this->calls_started < this->options.max_calls &&
        this->sources[stream]->schedule.Next()) {
      this->WaitForNext(stream);
    } else {
      this->OnSourceDone();
    }
  });
}

void LoadGenerator::StartCall(std::size_t stream) {
  const ArrivalSchedule& schedule = this->sources[stream]->schedule;
  const Stream& settings = this->options.streams[stream];
  ++this->calls_started;
  this->results.AddSent(stream, schedule.phase(), schedule.arrival_time(),
                        this->Elapsed() - schedule.arrival_time());
  if (this->in_flight >= this->options.max_in_flight) {
    this->results.AddOverflow(stream, schedule.phase());
    return;
  }
  auto call = std::make_shared<Call>();
  call->stream = stream;
  call->phase = schedule.phase();
  call->number = this->calls_started;
  call->intended = schedule.arrival_time();
  call->target = FillCallNumber(settings.path, call->number);
  if (settings.send_key) {
    call->key = MakeUuid7(std::chrono::system_clock::now(), this->rng);
  }
  ++this->in_flight;
  this->open_calls.push_back(call);
  this->StartTry(call);
}

void LoadGenerator::StartTry(const CallPtr& call) {
  const Stream& stream = this->options.streams[call->stream];
  ++call->tries;
  this->results.AddAttempt(call->stream, call->phase);
  const ExpectedEcho expected{RandomHex(kTraceIdBytes, this->rng), call->key,
                              PathBelowService(call->target)};
  ClientRequest request;
  request.method = stream.method;
  request.address = this->options.targets[static_cast<std::size_t>(
      this->rng() % this->options.targets.size())];
  request.target = call->target;
  request.timeout = stream.timeout;
  request.body.assign(stream.body_bytes, 'b');
  request.headers = {{std::string(routing::kTraceparentHeader),
                      fmt::format("00-{}-{}-01", expected.request,
                                  RandomHex(kSpanIdBytes, this->rng))},
                     {std::string(routing::kDeadlineHeader),
                      std::to_string(stream.timeout.count())}};
  if (!call->key.empty()) {
    request.headers.emplace_back(routing::kIdempotencyKeyHeader, call->key);
  }
  HttpClient& client = *this->clients[call->number % kHttpClientCount];
  client.Send(std::move(request),
              [this, call, expected](const ClientResponse& response) {
                this->OnAnswer(call, ClassifyResponse(response, expected));
              });
}

void LoadGenerator::OnAnswer(const CallPtr& call,
                             const Classification& classification) {
  if (call->ended) {
    return;
  }
  const bool retry = this->options.streams[call->stream].retry_immediately &&
                     classification.verdict != Verdict::kOk &&
                     classification.verdict != Verdict::kMismatched &&
                     call->tries < this->options.max_tries;
  if (retry) {
    this->StartTry(call);
  } else {
    this->FinishCall(call, classification);
  }
}

void LoadGenerator::FinishCall(const CallPtr& call,
                               const Classification& classification) {
  call->ended = true;
  --this->in_flight;
  const auto latency = this->Elapsed() - call->intended;
  this->results.AddResult(call->stream, call->phase, call->intended, latency,
                          classification);
  if (this->outcomes.is_open()) {
    this->outcomes
        << nlohmann::json{{"stream", this->options.streams[call->stream].name},
                          {"phase", call->phase},
                          {"number", call->number},
                          {"key", call->key},
                          {"tries", call->tries},
                          {"verdict", VerdictName(classification.verdict)},
                          {"reason", classification.reason},
                          {"intended_s",
                           std::chrono::duration<double>(call->intended)
                               .count()},
                          {"latency_ms",
                           std::chrono::duration<double, std::milli>(latency)
                               .count()}}
               .dump()
        << '\n';
  }
  this->StopIfDone();
}

void LoadGenerator::OnSourceDone() {
  if (--this->sources_left > 0) {
    return;
  }
  this->drain_timer.expires_after(this->options.drain);
  this->drain_timer.async_wait([this](const asio::error_code& error) {
    if (error) {
      return;
    }
    const std::vector<CallPtr> unfinished = std::move(this->open_calls);
    this->open_calls.clear();
    for (const CallPtr& call : unfinished) {
      if (!call->ended) {
        this->FinishCall(call, {Verdict::kUnknown, "unfinished"});
      }
    }
    this->context.stop();
  });
  this->StopIfDone();
}

void LoadGenerator::StopIfDone() {
  if (this->sources_left == 0 && this->in_flight == 0) {
    this->context.stop();
  }
  // Removes ended calls from the list in batches, which avoids a search per
  // call.
  if (this->open_calls.size() > 2 * this->in_flight + 1000) {
    std::erase_if(this->open_calls,
                  [](const CallPtr& call) { return call->ended; });
  }
}

}  // namespace cassiakeel::testsuite
