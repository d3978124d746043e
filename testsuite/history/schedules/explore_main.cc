// Runs generated fault schedules and checks the recorded histories.
// Usage: explore_schedules --schedules N --seed S [--outages N] [--variant V]
//        [--store-outage]

#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <iostream>
#include <sstream>

#include "explore.h"

namespace {

using namespace cassiakeel::history;
namespace options = boost::program_options;

void PrintCounts(const ExploreCounts& counts) {
  std::int64_t faults = 0;
  for (const std::int64_t count : counts.faults) {
    faults += count;
  }
  fmt::print("{} schedules, {} events, {} submissions, {} runs, {} faults\n",
             counts.schedules, counts.events, counts.submissions, counts.runs,
             faults);
  for (int kind = 0; kind < kFaultKindCount; ++kind) {
    fmt::print("  {} {}\n", FaultKindName(static_cast<FaultKind>(kind)),
               counts.faults[kind]);
  }
}

int Report(const Finding& finding, std::uint64_t seed, int count, int variant) {
  std::ostringstream schedule;
  schedule << finding.schedule;
  fmt::print("{}: {}\n{}smallest schedule: {}\n", finding.violation.invariant,
             finding.violation.message,
             FormatHistory(finding.violation.excerpt), schedule.str());
  fmt::print("repeat with: scripts/check-history --schedules {} --seed {}{}\n",
             count, seed,
             variant == 0 ? "" : fmt::format(" --variant {}", variant));
  return 1;
}

int PrintOutages(std::uint64_t seed) {
  int violations = 0;
  for (const int nodes : {4, 18}) {
    for (const int crashed : {0, 1}) {
      const OutageResult result =
          MeasureOutage(nodes, crashed, static_cast<std::uint32_t>(seed));
      violations += static_cast<int>(result.violations.size());
      fmt::print("store-outage accepted-{}-of-{}-crashed {:.2f} %\n", crashed,
                 nodes,
                 100.0 * static_cast<double>(result.accepted) /
                     static_cast<double>(result.submitted));
    }
  }
  fmt::print("store-outage violations {} count\n", violations);
  return violations == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  int schedules = 0;
  int outages = 0;
  int variant = 0;
  std::uint64_t seed = 1;
  options::options_description description("explore_schedules");
  description.add_options()("help", "print this text")(
      "schedules", options::value(&schedules)->default_value(300),
      "number of schedules with faults of seconds to minutes")(
      "outages", options::value(&outages)->default_value(0),
      "number of schedules with faults of hours")(
      "seed", options::value(&seed)->default_value(1),
      "seed of all random choices")(
      "variant", options::value(&variant)->default_value(0),
      "deliberately wrong variant of the protocol, by its number in "
      "once::Variant")(
      "store-outage",
      "measure the share of requests accepted while the store is down");
  options::variables_map given;
  try {
    options::store(options::parse_command_line(argc, argv, description), given);
    options::notify(given);
  } catch (const options::error& error) {
    fmt::print(stderr, "{}\n", error.what());
    return 2;
  }
  if (given.contains("help")) {
    std::cout << description;
    return 0;
  }
  if (given.contains("store-outage")) {
    return PrintOutages(seed);
  }
  RunOptions run_options;
  run_options.variant = static_cast<cassiakeel::once::Variant>(variant);
  ExploreCounts counts;
  for (const auto& [profile, count] : {std::pair(Profile::kFaults, schedules),
                                       std::pair(Profile::kOutages, outages)}) {
    const auto finding =
        count == 0 ? std::nullopt
                   : Explore(profile, count, seed, run_options, counts);
    if (finding) {
      PrintCounts(counts);
      return Report(*finding, seed, count, variant);
    }
  }
  PrintCounts(counts);
  fmt::print("no violation, seed {}\n", seed);
  return 0;
}
