// Baseline for comparisons: plain forwarding with FIFO queues and a fixed
// number of tries per hop.

#include <boost/program_options.hpp>
#include <exception>

#include "program.h"
#include "proxy.h"

namespace options = boost::program_options;
using cassiakeel::testsuite::Proxy;
using cassiakeel::testsuite::ProxyOptions;

int main(int argc, char** argv) {
  ProxyOptions settings;
  std::vector<std::string> endpoints;
  int timeout_ms = 0;
  options::options_description flags("baseline_proxy");
  auto add = flags.add_options();
  add("help", "print this text");
  add("listen", options::value(&settings.listen)->required(), "IP:PORT");
  add("endpoint", options::value(&endpoints)->composing()->required(),
      "SERVICE=IP:PORT (repeatable)");
  add("timeout-ms", options::value(&timeout_ms)->default_value(2000),
      "timeout of each try");
  add("tries", options::value(&settings.tries)->default_value(3),
      "maximum number of tries per hop");
  add("connections", options::value(&settings.connections)->default_value(0),
      "maximum number per endpoint, 0 for no bound; further calls wait");
  return cassiakeel::testsuite::RunServer(
      argc, argv, flags, [&](asio::io_context& context) {
        for (const std::string& endpoint : endpoints) {
          const auto equals = endpoint.find('=');
          if (equals == std::string::npos) {
            throw options::invalid_option_value(endpoint);
          }
          settings.endpoints[endpoint.substr(0, equals)].push_back(
              endpoint.substr(equals + 1));
        }
        settings.timeout = std::chrono::milliseconds(timeout_ms);
        return cassiakeel::testsuite::ToSharedServer(
            Proxy::Create(context, settings));
      });
}
