#pragma once

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cassiakeel/base/clock.h"
#include "cassiakeel/base/outcome.h"
#include "cassiakeel/base/random.h"
#include "http_client.h"
#include "http_server.h"
#include "registration.h"
#include "run_log.h"
#include "work_time.h"

namespace cassiakeel::testsuite {

/// Calls that the server makes for each request, through its own node.
struct Downstream {
  std::string service;
  /// Starts with "/".
  std::string path;
  int count = 1;
};

struct BackendServerOptions {
  RegistrationOptions registration;
  WorkProfile work;
  std::vector<Downstream> downstream;
  std::uint64_t seed = 1;
  /// Rejects work that arrives or would start after `Cassiakeel-Expires-Ns`.
  bool enforce_deadline = false;
  /// Age of the load that `GET /load` reports.
  std::chrono::milliseconds load_report_age{0};
  /// Makes `GET /load` and `GET /health` always report an idle, healthy server.
  bool always_report_idle = false;
  std::size_t response_bytes = 0;
  /// Fraction of finished work that is answered with status 500 and outcome
  /// "unknown", which nodes retry for idempotent requests.
  double fail_share = 0;
  std::string run_log;
};

struct Job;

/// Test double of a backend server. It has a fixed number of slots and a FIFO
/// queue up to the connection limit, simulates work by a timer, and cancels
/// work when its connection closes. Runs on the thread of `context`.
class BackendServer {
 public:
  static Result<std::unique_ptr<BackendServer>> Create(
      asio::io_context& context,
      const BackendServerOptions& options);

 private:
  using JobPtr = std::shared_ptr<Job>;

  BackendServer(asio::io_context& context, const BackendServerOptions& options);

  void Handle(ServerRequest request, const Responder& respond);
  /// Answers control, run log, health and load requests; returns false for any
  /// other path, which is work.
  bool HandleAdminRequest(const ServerRequest& request,
                          const Responder& respond);
  ServerResponse ApplyControl(const std::string& body);
  ServerResponse LoadReport() const;

  void Accept(const JobPtr& job);
  void StartQueuedJobs();
  void Start(const JobPtr& job);
  void OnWorkDone(const JobPtr& job, bool in_time);
  void CallDownstream(const JobPtr& job);
  void Finish(const JobPtr& job, int status, Outcome outcome, Reason reason);
  /// Ends the run of a job, frees its slot and removes the job.
  void EndRun(const JobPtr& job, bool cancelled);
  void RemoveJob(const JobPtr& job);
  void OnConnectionClosed(std::uint64_t connection);
  void SampleLoad();

  asio::io_context& context;
  BackendServerOptions options;
  HttpClient client;
  Registration registration;
  RunLog runs;
  Rng rng;
  SteadyTime started;
  double slow_factor = 1;
  int running = 0;
  std::deque<JobPtr> queue;
  /// Jobs by connection; a connection has at most two.
  std::multimap<std::uint64_t, JobPtr> jobs;
  /// Past in-flight counts and their times, oldest first.
  std::deque<std::pair<SteadyTime, std::size_t>> load_samples;
  asio::steady_timer sample_timer;
  std::unique_ptr<HttpServer> server;
};

}  // namespace cassiakeel::testsuite
