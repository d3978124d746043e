#include "program.h"

#include <asio/signal_set.hpp>
#include <csignal>
#include <iostream>

namespace cassiakeel::testsuite {

int RunServer(int argc,
              char** argv,
              const boost::program_options::options_description& flags,
              const ServerFactory& make_server) {
  namespace options = boost::program_options;
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, flags), values);
    if (values.contains("help")) {
      std::cout << flags;
      return 0;
    }
    options::notify(values);
    asio::io_context context(1);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const auto&, int) { context.stop(); });
    const auto server = make_server(context);
    if (!server) {
      std::cerr << server.error().ToString() << '\n';
      return 1;
    }
    context.run();
    return 0;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}

}  // namespace cassiakeel::testsuite
