#include <algorithm>

#include <nlohmann/json.hpp>

#include "command.h"
#include "output.h"

namespace cassiakeel::cli {
namespace {

Command CompletionCommand() {
  return {"completion",
          "Print the completion script for bash",
          {},
          {},
          [](const Arguments&, Context& context) {
            context.out << BashCompletion();
            return static_cast<int>(kOk);
          }};
}

// Returns the command named by the first word or the first two words, or null.
const Command* FindCommand(const std::vector<std::string>& words) {
  for (const Command& command : Commands()) {
    const auto space = command.name.find(' ');
    const bool two_words = space != std::string::npos;
    if (two_words && words.size() >= 2 &&
        command.name == words[0] + " " + words[1]) {
      return &command;
    }
    if (!two_words && !words.empty() && command.name == words[0]) {
      return &command;
    }
  }
  return nullptr;
}

int ReportError(const Error& error,
                ExitCode code,
                bool json,
                Context& context) {
  if (json) {
    const nlohmann::json object = {{"error",
                                    {{"step", error.step},
                                     {"peer", error.peer.Value()},
                                     {"message", error.message}}},
                                   {"exit_code", static_cast<int>(code)}};
    context.err << ToJsonLine(object);
  } else {
    context.err << "error: " << Printable(error.ToString()) << '\n';
  }
  return code;
}

int RunCommand(const Command& command,
               const std::vector<std::string>& words,
               Context& context) {
  bool json = false;
  try {
    const Arguments arguments = ParseArguments(command, words, context);
    if (arguments.Has("help")) {
      context.out << HelpOf(command);
      return kOk;
    }
    json = arguments.Has("json");
    return command.run(arguments, context);
  } catch (const UsageError& error) {
    context.err << "error: " << Printable(error.what()) << "\nTry cassiakeel "
                << command.name << " --help\n";
    return kUsage;
  } catch (const platform::PlatformException& error) {
    return ReportError(error.error(), kPlatformUnavailable, json, context);
  } catch (const Exception& error) {
    return ReportError(error.error(), kFailed, json, context);
  }
}

}  // namespace

const std::vector<Command>& Commands() {
  static const std::vector<Command> kCommands = [] {
    std::vector<Command> all;
    for (auto group : {KeyCommands(), SheetFileCommands(), DecisionCommands(),
                       ViewCommands(), NodeCommands(), ReportCommands()}) {
      all.insert(all.end(), group.begin(), group.end());
    }
    all.push_back(CompletionCommand());
    return all;
  }();
  return kCommands;
}

int RunProgram(const std::vector<std::string>& words, Context& context) {
  if (words.size() == 1 && (words[0] == "--help" || words[0] == "help")) {
    context.out << HelpOfAll();
    return kOk;
  }
  if (words.size() == 1 && words[0] == "--version") {
    context.out << "cassiakeel " << CASSIAKEEL_VERSION << '\n';
    return kOk;
  }
  const Command* command = FindCommand(words);
  if (command == nullptr) {
    context.err << (words.empty() ? "error: no command given\n"
                                  : "error: unknown command\n")
                << HelpOfAll();
    return kUsage;
  }
  const auto name_words =
      1 + std::count(command->name.begin(), command->name.end(), ' ');
  return RunCommand(*command, {words.begin() + name_words, words.end()},
                    context);
}

PlatformHandle OpenPlatform(const Arguments& arguments, Context& context) {
  auto handle =
      context.open_platform(PeerAddress(arguments.Text("platform")),
                            std::chrono::milliseconds(arguments.Number(
                                "platform-timeout-ms", 1, 60'000)));
  if (!handle) {
    throw UsageError("--platform: " + handle.error().message);
  }
  return std::move(*handle);
}

Option JsonOption() {
  return {"json", "", "print JSON instead of text"};
}

std::vector<Option> WithPlatform(std::vector<Option> options) {
  options.push_back({"platform", "HOST:PORT", "address of the platform"});
  options.push_back({"platform-timeout-ms", "MS",
                     "timeout of one call to the platform", "2000"});
  options.push_back(JsonOption());
  return options;
}

}  // namespace cassiakeel::cli
