#include "work_time.h"

#include <algorithm>
#include <cmath>

namespace cassiakeel::testsuite {

bool IsLongPath(const WorkProfile& profile, std::string_view path) {
  return std::any_of(
      profile.long_path_prefixes.begin(), profile.long_path_prefixes.end(),
      [path](const auto& prefix) { return path.starts_with(prefix); });
}

std::chrono::nanoseconds SampleWorkTime(const WorkProfile& profile,
                                        bool is_long,
                                        std::chrono::nanoseconds since_start,
                                        double slow_factor,
                                        Rng& rng) {
  const double mean = is_long ? profile.long_ms : profile.mean_ms;
  // The mean of a lognormal distribution is exp(mu + sigma^2 / 2).
  const double mu = std::log(mean) - profile.sigma * profile.sigma / 2;
  double ms = std::lognormal_distribution<double>(mu, profile.sigma)(rng);
  if (!is_long && UniformUnit(rng) < profile.tail_share) {
    ms *= profile.tail_factor;
  }
  const double age_ms =
      std::chrono::duration<double, std::milli>(since_start).count();
  if (age_ms < profile.cold_start_ms) {
    ms *= 1 + (profile.cold_factor - 1) * (1 - age_ms / profile.cold_start_ms);
  }
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double, std::milli>(ms * slow_factor));
}

}  // namespace cassiakeel::testsuite
