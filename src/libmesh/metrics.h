#pragma once

#include <string>

#include "statistics.h"

namespace cassiakeel::mesh::pvt {

/// Values of the moment beside the counters.
struct Gauges {
  std::uint64_t policy_version = 0;
  std::size_t directory_size = 0;
  std::size_t calls_in_gate = 0;
  int gate_limit = 0;
  std::uint64_t log_lines_left_out = 0;
};

/// All figures in the text format of Prometheus.
std::string FormatMetrics(const Statistics& statistics, const Gauges& gauges);

}  // namespace cassiakeel::mesh::pvt
