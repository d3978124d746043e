#include <algorithm>

#include <fmt/format.h>

#include "command.h"

namespace cassiakeel::cli {
namespace {

constexpr std::string_view kExitCodes =
    "\nExit codes: 0 ok, 1 failed, 2 usage, 3 conflict, 4 platform "
    "unavailable\n";

std::string Usage(const Command& command) {
  std::string usage = "cassiakeel " + command.name;
  for (const auto& argument : command.positional) {
    usage += " " + argument;
  }
  return usage;
}

// Returns the words that can follow `prefix` in the name of a command.
std::vector<std::string> NextWords(const std::string& prefix) {
  std::vector<std::string> words;
  for (const Command& command : Commands()) {
    if (command.name.starts_with(prefix)) {
      const auto rest = command.name.substr(prefix.size());
      const auto word = rest.substr(0, rest.find(' '));
      if (std::find(words.begin(), words.end(), word) == words.end()) {
        words.push_back(word);
      }
    }
  }
  return words;
}

std::string CompletionFlags(const Command& command) {
  std::string flags = "--help";
  for (const Option& option : command.options) {
    flags += " --" + option.name;
  }
  return flags;
}

}  // namespace

std::string HelpOf(const Command& command) {
  std::string help = fmt::format("Usage: {} [flags]\n\n{}\n\nFlags:\n",
                                 Usage(command), command.summary);
  const auto line = [&](const std::string& flag, const std::string& text) {
    help += fmt::format("  {:<26} {}\n", flag, text);
  };
  for (const Option& option : command.options) {
    std::string text = option.help;
    if (!option.default_value.empty()) {
      text += " (default " + option.default_value + ")";
    }
    if (option.repeated) {
      text += " (repeatable)";
    }
    line("--" + option.name +
             (option.value_name.empty() ? "" : " " + option.value_name),
         text);
  }
  line("--help", "print this text");
  help +=
      "\nEvery flag can also be set through the environment variable "
      "CASSIAKEEL_<FLAG>.\n";
  return help + std::string(kExitCodes);
}

std::string HelpOfAll() {
  std::string help = "Usage: cassiakeel COMMAND [arguments] [flags]\n\n";
  for (const Command& command : Commands()) {
    help += fmt::format("  {:<30} {}\n", Usage(command).substr(11),
                        command.summary);
  }
  help += "\nRun cassiakeel COMMAND --help for details of a command.\n";
  return help + std::string(kExitCodes);
}

std::string BashCompletion() {
  std::string script =
      "# Bash completion of cassiakeel. Load it with\n"
      "#   source <(cassiakeel completion)\n"
      "_cassiakeel() {\n"
      "  local current=${COMP_WORDS[COMP_CWORD]} words=\n"
      "  case \"${COMP_WORDS[*]:1:COMP_CWORD-1}\" in\n";
  for (const Command& command : Commands()) {
    script += fmt::format("    \"{0}\"|\"{0} \"*) words=\"{1}\" ;;\n",
                          command.name, CompletionFlags(command));
  }
  for (const auto& group : NextWords("")) {
    const auto next = NextWords(group + " ");
    if (!next.empty()) {
      script += fmt::format("    \"{}\") words=\"{}\" ;;\n", group,
                            fmt::join(next, " "));
    }
  }
  script +=
      fmt::format("    \"\") words=\"{}\" ;;\n", fmt::join(NextWords(""), " "));
  script +=
      "  esac\n"
      "  COMPREPLY=($(compgen -W \"$words\" -- \"$current\"))\n"
      "  [[ $current == -* ]] || COMPREPLY+=($(compgen -f -- \"$current\"))\n"
      "}\n"
      "complete -o filenames -F _cassiakeel cassiakeel\n";
  return script;
}

}  // namespace cassiakeel::cli
