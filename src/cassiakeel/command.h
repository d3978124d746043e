#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <stdexcept>
#include <string>
#include <vector>

#include "cassiakeel/base/clock.h"
#include "cassiakeel/base/error.h"
#include "cassiakeel/base/random.h"
#include "cassiakeel/platform/platform.h"
#include "nodes.h"

namespace cassiakeel::cli {

/// Exit codes of the program, listed in the output of every `--help`.
enum ExitCode : int {
  kOk = 0,
  kFailed = 1,
  kUsage = 2,
  kConflict = 3,
  kPlatformUnavailable = 4,
};

/// Thrown when the command line or an environment variable is invalid.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Command line flag, which can also be set through the environment variable
/// CASSIAKEEL_<NAME>.
struct Option {
  std::string name;
  /// Placeholder of the value in the help; empty for a switch without a value.
  std::string value_name;
  std::string help;
  std::string default_value = {};
  /// The flag may be given several times; in the environment variable the
  /// values are separated by commas.
  bool repeated = false;
};

/// Parsed command line, including environment variables and default values.
class Arguments {
 public:
  std::map<std::string, std::vector<std::string>> values;

  bool Has(const std::string& name) const;
  /// Throws `UsageError` if the flag was not given.
  std::string Text(const std::string& name) const;
  std::string TextOr(const std::string& name,
                     const std::string& default_value) const;
  std::vector<std::string> All(const std::string& name) const;
  /// Throws `UsageError` unless the value is a whole number from `low` to
  /// `high`.
  std::int64_t Number(const std::string& name,
                      std::int64_t low,
                      std::int64_t high) const;
};

/// Connection to the platform. `owner` keeps the objects behind the pointers
/// alive; it is null if the caller does.
struct PlatformHandle {
  std::shared_ptr<void> owner;
  platform::Table* table = nullptr;
  platform::ObjectStore* objects = nullptr;
};

/// Dependencies of the commands, injected so that tests can run commands
/// without processes, sockets or real delays.
struct Context {
  std::ostream& out;
  std::ostream& err;
  const Clock& clock;
  Rng& rng;
  std::function<std::optional<std::string>(const std::string&)> environment;
  std::function<Result<PlatformHandle>(const PeerAddress&,
                                       std::chrono::milliseconds)>
      open_platform;
  std::function<std::vector<NodeStatus>(const std::vector<PeerAddress>&,
                                        std::chrono::milliseconds)>
      fetch_node_statuses;
  std::function<std::vector<NodeResponse>(const std::vector<PeerAddress>&,
                                          const std::string& target,
                                          std::chrono::milliseconds)>
      fetch_from_nodes;
  std::function<void(std::chrono::milliseconds)> sleep;
  /// True if `out` is a terminal that can be cleared.
  bool terminal = false;
};

/// One subcommand.
struct Command {
  /// One or two words, such as "sheet approve".
  std::string name;
  std::string summary;
  /// Names of the positional arguments; optional ones are written "[NAME]".
  std::vector<std::string> positional;
  std::vector<Option> options;
  std::function<int(const Arguments&, Context&)> run;
};

/// All subcommands in the order in which the help lists them.
const std::vector<Command>& Commands();

/// Returns the text of `--help` for one subcommand or the whole program.
std::string HelpOf(const Command& command);
std::string HelpOfAll();

/// Returns a bash completion script for all subcommands and flags.
std::string BashCompletion();

/// Parses flags, positional arguments and environment variables; a flag takes
/// precedence over its variable. Throws `UsageError`.
Arguments ParseArguments(const Command& command,
                         const std::vector<std::string>& words,
                         const Context& context);

/// Runs the program with the command line arguments `words`, without the
/// program name; returns the exit code.
int RunProgram(const std::vector<std::string>& words, Context& context);

/// Opens the platform at the address given by --platform. Throws `UsageError`.
PlatformHandle OpenPlatform(const Arguments& arguments, Context& context);

/// Flags that several commands share.
Option JsonOption();
std::vector<Option> WithPlatform(std::vector<Option> options);

/// Subcommands defined in each source file.
std::vector<Command> KeyCommands();
std::vector<Command> SheetFileCommands();
std::vector<Command> DecisionCommands();
std::vector<Command> ViewCommands();
std::vector<Command> NodeCommands();
std::vector<Command> ReportCommands();

/// The flags --node and --node-timeout-ms.
std::vector<Option> NodeOptions();
/// Addresses given by --node. Throws `UsageError` if there are none.
std::vector<PeerAddress> NodeAddresses(const Arguments& arguments);

}  // namespace cassiakeel::cli
