#pragma once

#include <compare>
#include <string>
#include <utility>
#include <vector>

namespace ibisvalve {

/// A metric value for /metrics, reported by a library on request.
struct MetricSample {
  std::string name;  // such as "ibis_gate_in_flight"
  std::vector<std::pair<std::string, std::string>> labels;
  double value = 0;
  bool counter = false;  // true: counter, never decreases; false: gauge

  auto operator<=>(const MetricSample&) const = default;
};

}  // namespace ibisvalve
