#pragma once

#include <asio/io_context.hpp>
#include <boost/program_options.hpp>
#include <functional>
#include <memory>

#include "cassiakeel/base/error.h"

namespace cassiakeel::testsuite {

/// Creates the server of a program after its flags have been parsed. The result
/// owns the server. May throw for an invalid flag value.
using ServerFactory =
    std::function<Result<std::shared_ptr<void>>(asio::io_context& context)>;

/// Converts the result of a factory function to that of a `ServerFactory`.
template <typename Server>
Result<std::shared_ptr<void>> ToSharedServer(
    Result<std::unique_ptr<Server>> server) {
  if (!server) {
    return tl::make_unexpected(server.error());
  }
  return std::shared_ptr<void>(std::move(*server));
}

/// Main function of a program with one server: parses the flags, prints the
/// help if requested, and serves until SIGTERM or SIGINT. Returns the exit
/// code: 1 if the server cannot be created, 2 for an invalid command line.
int RunServer(int argc,
              char** argv,
              const boost::program_options::options_description& flags,
              const ServerFactory& make_server);

}  // namespace cassiakeel::testsuite
