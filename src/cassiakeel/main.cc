#include <unistd.h>

#include <cstdlib>
#include <exception>
#include <iostream>
#include <random>
#include <thread>

#include "cassiakeel/platform/http_platform.h"
#include "command.h"

namespace cassiakeel::cli {
namespace {

Result<PlatformHandle> OpenHttpPlatform(const PeerAddress& address,
                                        std::chrono::milliseconds timeout) {
  return platform::HttpPlatform::Create({address, timeout})
      .map([](std::unique_ptr<platform::HttpPlatform> opened) {
        const std::shared_ptr<platform::HttpPlatform> owner = std::move(opened);
        return PlatformHandle{owner, &owner->table(), &owner->objects()};
      });
}

std::optional<std::string> ReadEnvironmentVariable(const std::string& name) {
  // std::getenv is safe here: the program has no other threads yet.
  const char* value = std::getenv(name.c_str());
  return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

int Run(const std::vector<std::string>& words) {
  const SystemClock clock;
  std::random_device device;
  std::seed_seq seed{device(), device(), device(), device()};
  Rng rng(seed);
  Context context{std::cout,
                  std::cerr,
                  clock,
                  rng,
                  ReadEnvironmentVariable,
                  OpenHttpPlatform,
                  FetchNodeStatuses,
                  FetchFromNodes,
                  [](auto wait) { std::this_thread::sleep_for(wait); },
                  ::isatty(STDOUT_FILENO) == 1};
  return RunProgram(words, context);
}

}  // namespace
}  // namespace cassiakeel::cli

int main(int argc, char** argv) {
  try {
    return cassiakeel::cli::Run({argv + 1, argv + argc});
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << '\n';
    return cassiakeel::cli::kFailed;
  }
}
