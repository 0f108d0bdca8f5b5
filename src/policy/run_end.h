#pragma once

#include <cstdint>

namespace ibisvalve::policy {

/// Result of a run, as evidence about the health of its target.
enum class RunEnd : uint8_t {
  kWell,
  kFailed,     // the target refused the request, failed or timed out
  kAbandoned,  // cancelled or never started: no evidence about the target
};

}  // namespace ibisvalve::policy
