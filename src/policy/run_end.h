#pragma once

#include <cstdint>

namespace ibisvalve::policy {

/// How a run ended, as far as the target's health goes.
enum class RunEnd : uint8_t {
  kWell,
  kFailed,     // the target refused, broke, or was too slow
  kAbandoned,  // cancelled or never begun: says nothing of the target
};

}  // namespace ibisvalve::policy
