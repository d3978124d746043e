#include "backend_server.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "cassiakeel/routing/context.h"
#include "job.h"

namespace cassiakeel::testsuite {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kLoadSampleInterval(50);
/// Timeout of a downstream call of a request without a deadline.
constexpr std::chrono::milliseconds kDefaultCallTimeout(5000);
/// Exit status that a shell reports for a process ended by SIGKILL.
constexpr int kCrashExitStatus = 137;

SteadyTime Now() {
  return SystemClock().Now();
}

std::int64_t NowNs() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             Now().time_since_epoch())
      .count();
}

bool Expired(const Job& job, bool enforce_deadline, SteadyTime now) {
  return (job.deadline && *job.deadline <= now) ||
         (enforce_deadline && job.expires && *job.expires <= now);
}

}  // namespace

BackendServer::BackendServer(asio::io_context& context,
                             const BackendServerOptions& options)
    : context(context),
      options(options),
      client(context),
      registration(context, client, options.registration),
      runs(options.run_log),
      rng(options.seed),
      started(Now()),
      sample_timer(context) {}

Result<std::unique_ptr<BackendServer>> BackendServer::Create(
    asio::io_context& context,
    const BackendServerOptions& options) {
  std::unique_ptr<BackendServer> created(new BackendServer(context, options));
  auto server = HttpServer::Create(
      context, options.registration.listen,
      [self = created.get()](ServerRequest request, const Responder& respond) {
        self->Handle(std::move(request), respond);
      },
      [self = created.get()](std::uint64_t connection) {
        self->OnConnectionClosed(connection);
      });
  if (!server) {
    return tl::make_unexpected(server.error());
  }
  created->server = std::move(*server);
  created->registration.Start();
  created->SampleLoad();
  return created;
}

void BackendServer::Handle(ServerRequest request, const Responder& respond) {
  try {
    if (!this->HandleAdminRequest(request, respond)) {
      const auto job =
          std::make_shared<Job>(this->context, std::move(request), respond);
      ParseContext(*job, this->options.registration.service, Now());
      this->Accept(job);
    }
  } catch (const json::exception& error) {
    respond(ServerResponse{400, error.what()});
  }
}

bool BackendServer::HandleAdminRequest(const ServerRequest& request,
                                       const Responder& respond) {
  if (request.path == "/control") {
    respond(this->ApplyControl(request.body));
  } else if (request.path == "/runs") {
    respond(ServerResponse{200, this->runs.ToJson()});
  } else if (request.path == "/health" || request.path == "/load") {
    respond(this->LoadReport());
  } else {
    return false;
  }
  return true;
}

ServerResponse BackendServer::ApplyControl(const std::string& body) {
  const json request = json::parse(body);
  this->slow_factor = request.value("slow_factor", this->slow_factor);
  this->options.fail_share =
      request.value("fail_share", this->options.fail_share);
  if (request.value("drain", false)) {
    this->registration.Drain();
  }
  if (request.value("gone", false)) {
    this->registration.Leave();
  }
  if (request.value("crash", false)) {
    std::_Exit(kCrashExitStatus);
  }
  return ServerResponse{200, json{{"slow_factor", this->slow_factor}}.dump()};
}

ServerResponse BackendServer::LoadReport() const {
  std::size_t in_flight = 0;
  if (!this->options.always_report_idle && !this->load_samples.empty()) {
    in_flight = this->load_samples.front().second;
  }
  return ServerResponse{
      200, json{{"in_flight", in_flight},
                {"slots", this->options.registration.slots},
                {"connections", this->options.registration.connections}}
               .dump()};
}

void BackendServer::SampleLoad() {
  const auto now = Now();
  this->load_samples.emplace_back(now, this->jobs.size());
  while (this->load_samples.size() > 1 &&
         this->load_samples[1].first + this->options.load_report_age <= now) {
    this->load_samples.pop_front();
  }
  this->sample_timer.expires_after(kLoadSampleInterval);
  this->sample_timer.async_wait([this](const asio::error_code& error) {
    if (!error) {
      this->SampleLoad();
    }
  });
}

void BackendServer::Accept(const JobPtr& job) {
  this->jobs.emplace(job->request.connection, job);
  if (std::cmp_greater(this->jobs.size(),
                       this->options.registration.connections)) {
    this->Finish(job, 503, Outcome::kNotRun, Reason::kServerRefused);
    return;
  }
  this->queue.push_back(job);
  this->StartQueuedJobs();
}

void BackendServer::StartQueuedJobs() {
  while (this->running < this->options.registration.slots &&
         !this->queue.empty()) {
    const JobPtr job = this->queue.front();
    this->queue.pop_front();
    if (job->ended) {
      continue;
    }
    if (Expired(*job, this->options.enforce_deadline, Now())) {
      this->Finish(job, 503, Outcome::kNotRun, Reason::kDeadline);
    } else {
      this->Start(job);
    }
  }
}

void BackendServer::Start(const JobPtr& job) {
  ++this->running;
  job->run = this->runs.Start({0, job->request_id, job->attempt, job->key,
                               job->path, NowNs(), 0, false});
  const auto now = Now();
  const std::chrono::nanoseconds work = SampleWorkTime(
      this->options.work, IsLongPath(this->options.work, job->path),
      now - this->started, this->slow_factor, this->rng);
  std::chrono::nanoseconds wait = work;
  if (job->deadline) {
    wait = std::min<std::chrono::nanoseconds>(work, *job->deadline - now);
  }
  job->timer.expires_after(wait);
  job->timer.async_wait(
      [this, job, in_time = wait == work](const asio::error_code& error) {
        if (!error && !job->ended) {
          this->OnWorkDone(job, in_time);
        }
      });
}

void BackendServer::OnWorkDone(const JobPtr& job, bool in_time) {
  if (!in_time) {
    this->Finish(job, 504, Outcome::kUnknown, Reason::kDeadline);
  } else if (UniformUnit(this->rng) < this->options.fail_share) {
    this->Finish(job, 500, Outcome::kUnknown, Reason::kNone);
  } else if (this->options.downstream.empty()) {
    this->Finish(job, 200, Outcome::kRan, Reason::kNone);
  } else {
    this->CallDownstream(job);
  }
}

void BackendServer::CallDownstream(const JobPtr& job) {
  const auto now = Now();
  const auto timeout =
      job->deadline ? std::chrono::duration_cast<std::chrono::milliseconds>(
                          *job->deadline - now)
                    : kDefaultCallTimeout;
  const HeaderList context_headers = PropagatedHeaders(*job, now);
  for (const Downstream& target : this->options.downstream) {
    for (int i = 0; i < target.count; ++i) {
      ++job->pending_calls;
      job->calls.push_back(this->client.Send(
          {"GET",
           this->options.registration.node,
           "/" + target.service + target.path,
           context_headers,
           {},
           std::max(timeout, std::chrono::milliseconds(1))},
          [this, job](const ClientResponse& response) {
            job->call_failed |= response.transfer != Transfer::kComplete ||
                                response.status != 200;
            if (--job->pending_calls == 0 && !job->ended) {
              job->call_failed
                  ? this->Finish(job, 502, Outcome::kRan, Reason::kNone)
                  : this->Finish(job, 200, Outcome::kRan, Reason::kNone);
            }
          }));
    }
  }
}

void BackendServer::Finish(const JobPtr& job,
                           int status,
                           Outcome outcome,
                           Reason reason) {
  json body = {{"service", this->options.registration.service},
               {"request", job->request_id},
               {"key", job->key},
               {"attempt", job->attempt},
               {"run", job->run},
               {"echo", job->path}};
  if (status == 200 && this->options.response_bytes > 0) {
    body["padding"] = std::string(this->options.response_bytes, 'p');
  }
  ServerResponse response{status,
                          body.dump(),
                          {{"Content-Type", "application/json"},
                           {std::string(routing::kOutcomeHeader),
                            std::string(OutcomeName(outcome))}}};
  if (reason != Reason::kNone) {
    response.headers.emplace_back(routing::kReasonHeader, ReasonName(reason));
  }
  job->respond(response);
  this->EndRun(job, status == 504);
}

void BackendServer::EndRun(const JobPtr& job, bool cancelled) {
  job->ended = true;
  if (job->run != 0) {
    this->runs.End(job->run, NowNs(), cancelled);
    --this->running;
  }
  this->RemoveJob(job);
  this->StartQueuedJobs();
}

void BackendServer::RemoveJob(const JobPtr& job) {
  const auto [first, last] = this->jobs.equal_range(job->request.connection);
  for (auto entry = first; entry != last; ++entry) {
    if (entry->second == job) {
      this->jobs.erase(entry);
      return;
    }
  }
}

void BackendServer::OnConnectionClosed(std::uint64_t connection) {
  std::vector<JobPtr> abandoned;
  const auto [first, last] = this->jobs.equal_range(connection);
  for (auto entry = first; entry != last; ++entry) {
    abandoned.push_back(entry->second);
  }
  for (const JobPtr& job : abandoned) {
    job->timer.cancel();
    for (const HttpClient::CallId call : job->calls) {
      this->client.Cancel(call);
    }
    this->EndRun(job, true);
  }
}

}  // namespace cassiakeel::testsuite
