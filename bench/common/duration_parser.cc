#include "bench/common/duration_parser.h"

#include <cmath>
#include <cstdlib>

namespace ibisvalve::bench {

std::optional<Duration> ParseDuration(const std::string& text) {
  char* unit_start = nullptr;
  const double number = std::strtod(text.c_str(), &unit_start);
  const std::string unit = unit_start;
  double micros = 0;
  if (unit == "us") {
    micros = number;
  } else if (unit == "ms") {
    micros = number * 1e3;
  } else if (unit == "s") {
    micros = number * 1e6;
  } else {
    return std::nullopt;
  }
  if (unit_start == text.c_str() || !std::isfinite(micros) || micros < 0) {
    return std::nullopt;
  }
  return Duration(std::llround(micros));
}

}  // namespace ibisvalve::bench
