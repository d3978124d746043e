// Test double of the platform's table service and object store.

#include <boost/program_options.hpp>
#include <exception>

#include "platform_service.h"
#include "program.h"

namespace options = boost::program_options;
using cassiakeel::testsuite::PlatformService;
using cassiakeel::testsuite::PlatformServiceOptions;

int main(int argc, char** argv) {
  PlatformServiceOptions settings;
  options::options_description flags("platform_standin");
  auto add = flags.add_options();
  add("help", "print this text");
  add("listen", options::value(&settings.listen)->required(), "IP:PORT");
  add("writes-per-second",
      options::value(&settings.writes_per_second)->default_value(400),
      "rate limit of writes; further ones get status 429");
  add("reads-per-second",
      options::value(&settings.reads_per_second)->default_value(2000),
      "rate limit of reads; further ones get status 429");
  return cassiakeel::testsuite::RunServer(
      argc, argv, flags, [&](asio::io_context& context) {
        return cassiakeel::testsuite::ToSharedServer(
            PlatformService::Create(context, settings));
      });
}
