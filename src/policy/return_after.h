#pragma once

#include <optional>

#include "policy/choice.h"

namespace ibisvalve::policy {

/// Returns when a caller that was refused and has `left` until its deadline
/// should come back, or nothing where it should not. Spread, so that callers
/// refused together do not come back together.
std::optional<Duration> ReturnAfter(Duration left, Random& random);

}  // namespace ibisvalve::policy
