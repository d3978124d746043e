// Generates open-loop HTTP load with a schedule fixed by a seed, for
// measurements and end-to-end tests.

#include <asio.hpp>
#include <boost/program_options.hpp>
#include <exception>
#include <iostream>

#include "load_generator.h"

namespace options = boost::program_options;
using cassiakeel::Result;
using cassiakeel::testsuite::LoadGenerator;
using cassiakeel::testsuite::LoadOptions;

namespace {

struct RawFlags {
  std::vector<std::string> streams;
  std::vector<std::string> phases;
  int interval_ms = 250;
  int drain_ms = 5000;
  bool json = false;
};

void AddFlags(options::options_description& flags,
              LoadOptions& settings,
              RawFlags& raw) {
  auto add = flags.add_options();
  add("help", "print this text");
  add("target", options::value(&settings.targets)->composing()->required(),
      "IP:PORT of a node (repeatable)");
  add("stream", options::value(&raw.streams)->composing()->required(),
      "name=...,rate=...,method=...,path=...,timeout_ms=...,retry=hard|none,"
      "key=none|uuid7,body_bytes=... (repeatable)");
  add("phase", options::value(&raw.phases)->composing()->required(),
      "seconds:multiplier[:stream=multiplier,...] (repeatable)");
  add("seed", options::value(&settings.seed)->default_value(1),
      "seed of all random choices");
  add("max-in-flight",
      options::value(&settings.max_in_flight)
          ->default_value(settings.max_in_flight),
      "calls above this bound are counted as overflow and not sent");
  add("max-calls",
      options::value(&settings.max_calls)->default_value(settings.max_calls),
      "maximum number of calls in the run");
  add("max-tries",
      options::value(&settings.max_tries)->default_value(settings.max_tries),
      "maximum number of tries of a call with retry=hard");
  add("drain-ms", options::value(&raw.drain_ms)->default_value(raw.drain_ms),
      "time for open calls to end after the last phase");
  add("interval-ms",
      options::value(&raw.interval_ms)->default_value(raw.interval_ms),
      "width of the interval records");
  add("outcomes", options::value(&settings.outcomes),
      "file of one JSON line per call");
  add("json", options::bool_switch(&raw.json),
      "print JSON lines to standard output, the table to standard error");
}

template <typename Parsed, typename Parser>
std::vector<Parsed> ParseAll(const std::vector<std::string>& texts,
                             Parser parse) {
  std::vector<Parsed> all;
  all.reserve(texts.size());
  for (const std::string& text : texts) {
    Result<Parsed> parsed = parse(text);
    if (!parsed) {
      throw cassiakeel::Exception(parsed.error());
    }
    all.push_back(std::move(*parsed));
  }
  return all;
}

}  // namespace

int main(int argc, char** argv) {
  LoadOptions settings;
  RawFlags raw;
  options::options_description flags("load_tool");
  AddFlags(flags, settings, raw);
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, flags), values);
    if (values.contains("help")) {
      std::cout << flags;
      return 0;
    }
    options::notify(values);
    settings.streams = ParseAll<cassiakeel::testsuite::Stream>(
        raw.streams, cassiakeel::testsuite::ParseStream);
    settings.phases = ParseAll<cassiakeel::testsuite::Phase>(
        raw.phases, cassiakeel::testsuite::ParsePhase);
    settings.drain = std::chrono::milliseconds(raw.drain_ms);
    settings.interval = std::chrono::milliseconds(raw.interval_ms);
    asio::io_context context(1);
    LoadGenerator generator(context, settings);
    generator.Start();
    context.run();
    generator.report().PrintTable(raw.json ? std::cerr : std::cout);
    if (raw.json) {
      generator.report().PrintJson(std::cout);
    }
    return 0;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
