#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

namespace ibisvalve::wire {

inline constexpr double kPercent = 100;

/// Converts `factor` to percent, clamped to the range of uint16_t; 1 becomes
/// 100.
inline uint16_t ToPercent(double factor) {
  return static_cast<uint16_t>(std::clamp<double>(
      factor * kPercent, 0, std::numeric_limits<uint16_t>::max()));
}

/// Converts `percent` to a factor; 100 becomes 1.
inline double FromPercent(uint16_t percent) {
  return percent / kPercent;
}

}  // namespace ibisvalve::wire
