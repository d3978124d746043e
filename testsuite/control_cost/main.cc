// Measures the resource use of the control thread and how fast it propagates
// changes, with real nodes in one process on loopback addresses. Each line of
// the output is CASE METRIC VALUE UNIT; METRIC ends with the number of members.

#include <fmt/format.h>
#include <unistd.h>

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <thread>

#include "deployment.h"

namespace cassiakeel::control_cost {
namespace {

using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Targets from the design document.
constexpr double kMaxBytesPerSecond = 5.0 * 1024;
constexpr double kMaxCorePercent = 1.0;
constexpr double kMaxMegabytes = 256;
constexpr seconds kMaxPropagation{20};
constexpr seconds kMaxLeave{3};
/// Longer than the bounds, so that the output shows by how much a bound is
/// exceeded.
constexpr seconds kMeasurementTimeout{60};
constexpr seconds kConvergenceTimeout{300};
/// Corresponds to about 4,300 changes per day.
constexpr seconds kChangePeriod{20};

struct Settings {
  seconds duration{40};
  std::size_t sheet_bytes = 40'000;
};

double ResidentMegabytes() {
  std::ifstream statm("/proc/self/statm");
  double total = 0;
  double resident = 0;
  statm >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
}

/// Prints one line, and another if the value exceeds the bound. Returns whether
/// the value is within the bound.
bool Report(const char* name,
            const std::string& metric,
            int count,
            double value,
            const char* unit,
            std::optional<double> bound = std::nullopt) {
  const bool within_bounds = !bound || value <= *bound;
  std::cout << fmt::format("{} {}-{} {:.3f} {}\n", name, metric, count, value,
                           unit);
  if (!within_bounds) {
    std::cout << fmt::format("{} {}-{}-over-bound {:.3f} {}\n", name, metric,
                             count, *bound, unit);
  }
  std::cout.flush();
  return within_bounds;
}

bool ReportTime(const std::string& metric,
                int count,
                std::optional<milliseconds> time,
                seconds bound) {
  const double value =
      duration<double>(time.value_or(milliseconds(kMeasurementTimeout)))
          .count();
  return Report("propagation", metric, count, value, "s",
                duration<double>(bound).count());
}

bool MeasurePolicy(Deployment& deployment,
                   const Settings& settings,
                   const char* metric) {
  const auto version = deployment.ApprovePolicy(settings.sheet_bytes);
  const auto time = deployment.TimeUntilAll(
      [version](const Node& node) {
        const auto policy = node.board.policy.Read();
        return policy && policy->version >= version;
      },
      kMeasurementTimeout);
  return ReportTime(metric, deployment.size(), time, kMaxPropagation);
}

bool MeasureLeave(Deployment& deployment) {
  const int leaving = deployment.size() / 2;
  const auto id = deployment.node(leaving).board.members.Read()->self.node;
  deployment.node(leaving).thread->SetLeaving();
  const auto time = deployment.TimeUntilAll(
      [&id](const Node& node) {
        const auto view = node.board.members.Read();
        return std::none_of(view->members.begin(), view->members.end(),
                            [&id](const membership::Member& member) {
                              return member.node == id &&
                                     member.status !=
                                         membership::MemberStatus::kLeaving;
                            });
      },
      kMeasurementTimeout, leaving);
  return ReportTime("leave", deployment.size(), time, kMaxLeave);
}

bool ReportUsage(int count,
                 const char* phase,
                 const Usage& before,
                 const Usage& after,
                 duration<double> time,
                 bool bounded) {
  const auto per_node = [&](double value) {
    return value / count / time.count();
  };
  const auto metric = [&](const char* name) {
    return fmt::format("{}-{}", phase, name);
  };
  const auto bound = [&](double value) {
    return bounded ? std::optional(value) : std::nullopt;
  };
  const auto sent = static_cast<double>(after.bytes_sent - before.bytes_sent);
  const auto received =
      static_cast<double>(after.bytes_received - before.bytes_received);
  const auto messages = static_cast<double>(after.messages - before.messages);
  const duration<double> cpu_time = after.cpu_time - before.cpu_time;
  const char* name = "control-cost";
  bool within_bounds = Report(name, metric("sent"), count, per_node(sent),
                              "B/s", bound(kMaxBytesPerSecond));
  within_bounds &= Report(name, metric("received"), count, per_node(received),
                          "B/s", bound(kMaxBytesPerSecond));
  within_bounds &=
      Report(name, metric("both-ways"), count, per_node(sent + received), "B/s",
             bound(kMaxBytesPerSecond));
  within_bounds &=
      Report(name, metric("messages"), count, per_node(messages), "1/s");
  within_bounds &=
      Report(name, metric("processor"), count, 100 * per_node(cpu_time.count()),
             "%", bound(kMaxCorePercent));
  Report(name, metric("suspicions"), count,
         static_cast<double>(after.suspicions - before.suspicions), "count");
  Report(name, metric("deaths"), count,
         static_cast<double>(after.deaths - before.deaths), "count");
  return within_bounds;
}

/// Reports how complete the member lists of the nodes are.
void ReportMissing(Deployment& deployment) {
  const int count = deployment.size();
  int complete = 0;
  std::size_t fewest = static_cast<std::size_t>(count);
  for (int index = 0; index < count; ++index) {
    const auto view = deployment.node(index).board.members.Read();
    const auto known = view ? view->members.size() : 0;
    fewest = std::min(fewest, known);
    complete += known == static_cast<std::size_t>(count) ? 1 : 0;
  }
  const auto usage = deployment.ReadUsage();
  const auto report = [count](const char* metric, std::uint64_t value) {
    Report("control-cost", metric, count, static_cast<double>(value), "count");
  };
  report("complete-views", static_cast<std::uint64_t>(complete));
  report("smallest-view", fewest);
  report("suspicions", usage.suspicions);
  report("deaths", usage.deaths);
  report("store-failures", usage.store_failures);
}

bool Measure(int count, const Settings& settings) {
  const double megabytes_before = ResidentMegabytes();
  const auto start = std::chrono::steady_clock::now();
  Deployment deployment(count);
  const auto members = static_cast<std::size_t>(count);
  const auto converged = deployment.TimeUntilAll(
      [members](const Node& node) {
        const auto view = node.board.members.Read();
        return view && view->members.size() == members;
      },
      kConvergenceTimeout);
  Report("propagation", "all-known-after-start", count,
         duration<double>(std::chrono::steady_clock::now() - start).count(),
         "s");
  if (!converged) {
    ReportMissing(deployment);
    return false;
  }
  Report("control-cost", "starting-both-ways", count,
         static_cast<double>(deployment.ReadUsage().bytes_sent) * 2 / count,
         "B");
  bool within_bounds = MeasurePolicy(deployment, settings, "first-policy");
  // Gossip about the start is repeated for some time; wait until it has ended.
  std::this_thread::sleep_for(seconds(30));

  auto before = deployment.ReadUsage();
  std::this_thread::sleep_for(settings.duration);
  auto after = deployment.ReadUsage();
  within_bounds &=
      ReportUsage(count, "steady", before, after, settings.duration, true);

  before = after;
  const auto changes = settings.duration / kChangePeriod;
  for (int change = 0; change < changes; ++change) {
    const auto due = std::chrono::steady_clock::now() + kChangePeriod;
    within_bounds &= MeasurePolicy(deployment, settings, "policy");
    std::this_thread::sleep_until(due);
  }
  after = deployment.ReadUsage();
  within_bounds &= ReportUsage(count, "changes", before, after,
                               kChangePeriod * changes, true);

  within_bounds &= MeasureLeave(deployment);
  within_bounds &= Report("control-cost", "memory", count,
                          (ResidentMegabytes() - megabytes_before) / count,
                          "MB", kMaxMegabytes);
  return within_bounds;
}

}  // namespace
}  // namespace cassiakeel::control_cost

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  std::vector<int> counts;
  cassiakeel::control_cost::Settings settings;
  int duration = 40;
  options::options_description described("control_cost");
  described.add_options()("help", "print this text")(
      "members",
      options::value(&counts)->multitoken()->default_value(
          {20, 50, 100, 200, 400, 830}, "20 50 100 200 400 830"),
      "numbers of nodes to measure")(
      "seconds", options::value(&duration)->default_value(duration),
      "seconds per measurement, a multiple of 20")(
      "sheet-bytes",
      options::value(&settings.sheet_bytes)
          ->default_value(settings.sheet_bytes),
      "size of a policy sheet in bytes");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, described), values);
    options::notify(values);
    if (values.count("help") != 0) {
      std::cout << described;
      return 0;
    }
    settings.duration = std::chrono::seconds(duration);
    bool within_bounds = true;
    for (const int count : counts) {
      within_bounds &= cassiakeel::control_cost::Measure(count, settings);
    }
    return within_bounds ? 0 : 1;
  } catch (const std::exception& exception) {
    std::cerr << "control_cost: " << exception.what() << "\n";
    return 2;
  }
}
