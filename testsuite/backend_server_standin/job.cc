#include "job.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <string_view>
#include <utility>

#include "cassiakeel/routing/context.h"

namespace cassiakeel::testsuite {

namespace {

/// Position and length of the trace id in "00-<trace id>-<span id>-<flags>".
constexpr std::size_t kTraceIdStart = 3;
constexpr std::size_t kTraceIdLength = 32;

std::optional<std::int64_t> ParseNumberHeader(const HeaderList& headers,
                                              std::string_view name) {
  const std::string_view text = FindHeader(headers, name);
  std::int64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || error != std::errc()) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

Job::Job(asio::io_context& context, ServerRequest received, Responder responder)
    : request(std::move(received)),
      respond(std::move(responder)),
      timer(context) {}

void ParseContext(Job& job, const std::string& service, SteadyTime now) {
  const HeaderList& headers = job.request.headers;
  const std::string_view trace =
      FindHeader(headers, routing::kTraceparentHeader);
  if (trace.size() >= kTraceIdStart + kTraceIdLength) {
    job.request_id = trace.substr(kTraceIdStart, kTraceIdLength);
  }
  job.attempt = FindHeader(headers, routing::kAttemptHeader);
  job.key = FindHeader(headers, routing::kIdempotencyKeyHeader);
  const std::string prefix = "/" + service;
  job.path = job.request.path.starts_with(prefix + "/")
                 ? job.request.path.substr(prefix.size())
                 : job.request.path;
  if (const auto ms = ParseNumberHeader(headers, routing::kDeadlineHeader)) {
    job.deadline = now + std::chrono::milliseconds(*ms);
  }
  if (const auto ns = ParseNumberHeader(headers, routing::kExpiresHeader)) {
    job.expires = SteadyTime(std::chrono::nanoseconds(*ns));
  }
}

HeaderList PropagatedHeaders(const Job& job, SteadyTime now) {
  HeaderList headers;
  for (const std::string_view name :
       {routing::kTraceparentHeader, routing::kRetriesHeader,
        routing::kClassHeader, routing::kDepthHeader,
        routing::kAttemptHeader}) {
    const std::string_view value = FindHeader(job.request.headers, name);
    if (!value.empty()) {
      headers.emplace_back(name, value);
    }
  }
  if (job.deadline) {
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(*job.deadline -
                                                              now);
    headers.emplace_back(
        routing::kDeadlineHeader,
        std::to_string(std::max<std::int64_t>(0, remaining.count())));
  }
  return headers;
}

}  // namespace cassiakeel::testsuite
