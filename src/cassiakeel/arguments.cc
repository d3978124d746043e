#include <boost/program_options.hpp>
#include <cctype>
#include <charconv>

#include <fmt/format.h>

#include "command.h"

namespace cassiakeel::cli {
namespace {

namespace po = boost::program_options;

constexpr const char* kPositionalArguments = "arguments";

std::string EnvironmentName(const std::string& flag) {
  std::string name = "CASSIAKEEL_";
  for (char c : flag) {
    name +=
        c == '-'
            ? '_'
            : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return name;
}

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (start <= text.size()) {
    const auto end = std::min(text.find(',', start), text.size());
    parts.push_back(text.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

[[noreturn]] void ThrowInvalidValue(const std::string& name,
                                    const std::string& value,
                                    const std::string& expected) {
  // Names of positional arguments are upper-case.
  const bool is_flag = std::islower(static_cast<unsigned char>(name[0])) != 0;
  throw UsageError(fmt::format("{}{}: invalid value \"{}\"; expected {}",
                               is_flag ? "--" : "", name, value, expected));
}

po::options_description BuildDescription(const Command& command) {
  po::options_description description;
  auto add = description.add_options();
  add("help", "");
  for (const Option& option : command.options) {
    if (option.value_name.empty()) {
      add(option.name.c_str(), "");
    } else {
      add(option.name.c_str(), po::value<std::vector<std::string>>(), "");
    }
  }
  add(kPositionalArguments, po::value<std::vector<std::string>>(), "");
  return description;
}

bool ParseSwitch(const Option& option, const std::string& value) {
  if (value == "1" || value == "true" || value == "yes") {
    return true;
  }
  if (value == "0" || value == "false" || value == "no" || value.empty()) {
    return false;
  }
  ThrowInvalidValue(option.name, value, "1, true, yes, 0, false or no");
}

void ReadFlags(const Command& command,
               const po::variables_map& parsed_options,
               Arguments& arguments) {
  for (const Option& option : command.options) {
    if (!parsed_options.contains(option.name)) {
      continue;
    }
    auto& values = arguments.values[option.name];
    if (option.value_name.empty()) {
      values = {"true"};
      continue;
    }
    values = parsed_options[option.name].as<std::vector<std::string>>();
    if (values.size() > 1 && !option.repeated) {
      ThrowInvalidValue(option.name, values.back(), "a single value");
    }
  }
}

void ReadEnvironment(const Command& command,
                     const Context& context,
                     Arguments& arguments) {
  for (const Option& option : command.options) {
    const auto value = context.environment(EnvironmentName(option.name));
    if (!value || arguments.Has(option.name)) {
      continue;
    }
    if (option.value_name.empty()) {
      if (ParseSwitch(option, *value)) {
        arguments.values[option.name] = {"true"};
      }
    } else {
      arguments.values[option.name] =
          option.repeated ? SplitAtCommas(*value) : std::vector{*value};
    }
  }
}

bool IsOptional(const std::string& argument) {
  return argument.front() == '[';
}

std::string PositionalName(const std::string& argument) {
  return IsOptional(argument) ? argument.substr(1, argument.size() - 2)
                              : argument;
}

void ReadPositionalArguments(const Command& command,
                             const po::variables_map& parsed_options,
                             Arguments& arguments) {
  std::vector<std::string> words;
  if (parsed_options.contains(kPositionalArguments)) {
    words = parsed_options[kPositionalArguments].as<std::vector<std::string>>();
  }
  if (words.size() > command.positional.size()) {
    throw UsageError("unexpected argument \"" +
                     words[command.positional.size()] + "\"");
  }
  for (std::size_t i = 0; i < command.positional.size(); ++i) {
    const std::string name = PositionalName(command.positional[i]);
    if (i < words.size()) {
      arguments.values[name] = {words[i]};
    } else if (!IsOptional(command.positional[i])) {
      throw UsageError("argument " + name + " is required");
    }
  }
}

}  // namespace

bool Arguments::Has(const std::string& name) const {
  return this->values.contains(name);
}

std::string Arguments::Text(const std::string& name) const {
  const auto found = this->values.find(name);
  if (found == this->values.end() || found->second.empty()) {
    throw UsageError(
        fmt::format("--{} is required; it can also be set through the "
                    "environment variable {}",
                    name, EnvironmentName(name)));
  }
  return found->second.back();
}

std::string Arguments::TextOr(const std::string& name,
                              const std::string& default_value) const {
  return this->Has(name) ? this->Text(name) : default_value;
}

std::vector<std::string> Arguments::All(const std::string& name) const {
  const auto found = this->values.find(name);
  return found == this->values.end() ? std::vector<std::string>()
                                     : found->second;
}

std::int64_t Arguments::Number(const std::string& name,
                               std::int64_t low,
                               std::int64_t high) const {
  const std::string text = this->Text(name);
  std::int64_t number = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || number < low ||
      number > high) {
    ThrowInvalidValue(name, text,
                      fmt::format("a whole number from {} to {}", low, high));
  }
  return number;
}

Arguments ParseArguments(const Command& command,
                         const std::vector<std::string>& words,
                         const Context& context) {
  po::variables_map parsed_options;
  const auto description = BuildDescription(command);
  po::positional_options_description positional_description;
  positional_description.add(kPositionalArguments, -1);
  try {
    // Abbreviated flags are not accepted: they could become ambiguous or change
    // their meaning when flags are added.
    constexpr int kStyle = po::command_line_style::unix_style &
                           ~po::command_line_style::allow_guessing;
    po::store(po::command_line_parser(words)
                  .options(description)
                  .positional(positional_description)
                  .style(kStyle)
                  .run(),
              parsed_options);
  } catch (const po::error& error) {
    throw UsageError(error.what());
  }
  Arguments arguments;
  if (parsed_options.contains("help")) {
    arguments.values["help"] = {"true"};
    return arguments;
  }
  ReadFlags(command, parsed_options, arguments);
  ReadEnvironment(command, context, arguments);
  for (const Option& option : command.options) {
    if (!option.default_value.empty() && !arguments.Has(option.name)) {
      arguments.values[option.name] = {option.default_value};
    }
  }
  ReadPositionalArguments(command, parsed_options, arguments);
  return arguments;
}

}  // namespace cassiakeel::cli
