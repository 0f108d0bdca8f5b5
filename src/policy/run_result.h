#pragma once

#include <cstdint>

namespace ibisvalve::policy {

/// Result of a run, as evidence about the health of its target.
enum class RunResult : uint8_t {
  kSucceeded,
  kFailed,     // the target refused the request, failed or timed out
  kAbandoned,  // cancelled or never started: no evidence about the target
};

}  // namespace ibisvalve::policy
