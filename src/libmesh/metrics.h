#pragma once

#include <string>

#include "allotment_exchange.h"
#include "cassiakeel/mesh/store_history.h"
#include "statistics.h"

namespace cassiakeel::mesh::pvt {

/// Current values that are not counters.
struct Gauges {
  std::uint64_t policy_version = 0;
  std::size_t directory_size = 0;
  std::size_t gate_calls = 0;
  int gate_limit = 0;
  std::size_t server_memory = 0;
  std::uint64_t log_lines_dropped = 0;
  StoreStatus store;
};

/// All metrics in the Prometheus text format.
std::string FormatMetrics(const Statistics& statistics,
                          const Gauges& gauges,
                          const AllotmentExchange& allotments);

}  // namespace cassiakeel::mesh::pvt
