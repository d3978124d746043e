// Test double of a backend server that registers with a node.

#include <boost/program_options.hpp>
#include <exception>
#include <sstream>

#include "backend_server.h"
#include "program.h"

namespace options = boost::program_options;
using cassiakeel::testsuite::BackendServer;
using cassiakeel::testsuite::BackendServerOptions;
using cassiakeel::testsuite::Downstream;

namespace {

/// Parses SERVICE:PATH[:count].
Downstream ParseDownstream(const std::string& text) {
  std::istringstream parts(text);
  Downstream downstream;
  std::getline(parts, downstream.service, ':');
  std::getline(parts, downstream.path, ':');
  std::string count;
  if (std::getline(parts, count, ':')) {
    downstream.count = std::stoi(count);
  }
  if (downstream.service.empty() || !downstream.path.starts_with('/')) {
    throw options::invalid_option_value(text);
  }
  return downstream;
}

/// Flags that are converted after parsing.
struct RawFlags {
  std::vector<std::string> downstream;
  int load_report_age_ms = 0;
};

void AddServerFlags(options::options_description& flags,
                    BackendServerOptions& settings,
                    RawFlags& raw) {
  auto add = flags.add_options();
  auto& registration = settings.registration;
  add("help", "print this text");
  add("listen", options::value(&registration.listen)->required(), "IP:PORT");
  add("service", options::value(&registration.service)->required(), "name");
  add("node", options::value(&registration.node),
      "IP:PORT of the node's local port; no registration if absent");
  add("slots", options::value(&registration.slots)->default_value(8),
      "requests processed at the same time");
  add("connections",
      options::value(&registration.connections)->default_value(64),
      "requests accepted at the same time; others get 503 not-run");
  add("enforce-deadline", options::bool_switch(&settings.enforce_deadline),
      "reject work that would start after Cassiakeel-Expires-Ns");
  add("downstream", options::value(&raw.downstream)->composing(),
      "SERVICE:PATH[:count], calls made in parallel for each request");
  add("load-lag-ms", options::value(&raw.load_report_age_ms)->default_value(0),
      "age of the load that /load reports");
  add("load-lie", options::bool_switch(&settings.always_report_idle),
      "always report an idle server");
  add("response-bytes",
      options::value(&settings.response_bytes)->default_value(0),
      "size of the padding of each answer");
  add("fail-share", options::value(&settings.fail_share)->default_value(0),
      "fraction of finished work that is answered with status 500");
  add("run-log", options::value(&settings.run_log), "file of JSON lines");
  add("seed", options::value(&settings.seed)->default_value(1),
      "seed of all random choices");
}

void AddWorkFlags(options::options_description& flags,
                  cassiakeel::testsuite::WorkProfile& work) {
  auto add = flags.add_options();
  add("mean-ms", options::value(&work.mean_ms)->default_value(work.mean_ms),
      "mean of short work");
  add("sigma", options::value(&work.sigma)->default_value(work.sigma),
      "standard deviation of the logarithm of the work time");
  add("tail-share",
      options::value(&work.tail_share)->default_value(work.tail_share),
      "fraction of short work that takes tail-factor times longer");
  add("tail-factor",
      options::value(&work.tail_factor)->default_value(work.tail_factor),
      "see tail-share");
  add("long-ms", options::value(&work.long_ms)->default_value(work.long_ms),
      "mean of long work");
  add("cold-start-ms",
      options::value(&work.cold_start_ms)->default_value(work.cold_start_ms),
      "time after the start during which work is slower");
  add("long-path-prefix", options::value(&work.long_path_prefixes)->composing(),
      "path prefix of long work, without the service (repeatable)");
}

}  // namespace

int main(int argc, char** argv) {
  BackendServerOptions settings;
  RawFlags raw;
  options::options_description flags("backend_server_standin");
  AddServerFlags(flags, settings, raw);
  AddWorkFlags(flags, settings.work);
  return cassiakeel::testsuite::RunServer(
      argc, argv, flags, [&](asio::io_context& context) {
        for (const std::string& text : raw.downstream) {
          settings.downstream.push_back(ParseDownstream(text));
        }
        settings.load_report_age =
            std::chrono::milliseconds(raw.load_report_age_ms);
        return cassiakeel::testsuite::ToSharedServer(
            BackendServer::Create(context, settings));
      });
}
