#pragma once

#include <optional>

#include "policy/choice.h"

namespace ibisvalve::policy {

/// Time that a refused caller has left.
struct CallerTimeLeft {
  Duration deadline{0};   // until it gives up
  Duration objective{0};  // until its response is late
  Duration service{0};    // expected service time

  auto operator<=>(const CallerTimeLeft&) const = default;
};

/// Returns the time after which a refused caller should retry, or nullopt if
/// too little time is left. A caller that can still be served on time returns
/// early enough for that. The time has random jitter, so that callers refused
/// together do not retry together.
std::optional<Duration> RetryAfter(const CallerTimeLeft& left, Random& random);

}  // namespace ibisvalve::policy
