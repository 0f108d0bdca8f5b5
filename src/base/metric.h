#pragma once

#include <compare>
#include <string>
#include <utility>
#include <vector>

namespace ibisvalve {

/// One value for /metrics, as a library reports it when asked.
struct MetricSample {
  std::string name;  // such as "ibis_gate_in_flight"
  std::vector<std::pair<std::string, std::string>> labels;
  double value = 0;
  bool counter = false;  // only ever grows; otherwise a gauge

  auto operator<=>(const MetricSample&) const = default;
};

}  // namespace ibisvalve
