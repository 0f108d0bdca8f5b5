#pragma once

#include <optional>

#include "policy/choice.h"

namespace ibisvalve::policy {

/// Returns the time after which a refused caller with `left` until its deadline
/// should retry, or nullopt if too little time is left. The time has random
/// jitter, so that callers refused together do not retry together.
std::optional<Duration> RetryAfter(Duration left, Random& random);

}  // namespace ibisvalve::policy
