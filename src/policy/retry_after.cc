#include "policy/retry_after.h"

#include <chrono>

namespace ibisvalve::policy {
namespace {

// Share of the time left. Callers wait for at most one third of it, so a
// slightly smaller share makes sure that they honour the delay.
constexpr double kMaxShareOfTimeLeft = 0.3;
// The load of the targets does not change in less time.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(50);

}  // namespace

std::optional<Duration> RetryAfter(Duration left, Random& random) {
  const auto latest =
      std::chrono::duration_cast<Duration>(left * kMaxShareOfTimeLeft);
  if (latest <= kMinRetryDelay) {
    return std::nullopt;
  }
  std::uniform_int_distribution<Duration::rep> jitter(kMinRetryDelay.count(),
                                                      latest.count());
  return Duration(jitter(random));
}

}  // namespace ibisvalve::policy
