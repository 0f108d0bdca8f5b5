#include "policy/retry_after.h"

#include <algorithm>
#include <chrono>

namespace ibisvalve::policy {
namespace {

// Share of the time left. Callers wait for at most one third of it, so a
// slightly smaller share makes sure that they honour the delay.
constexpr double kMaxShareOfTimeLeft = 0.3;
// The load of the targets does not change in less time.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(50);
// Time for the response to reach the caller and its retry to reach the ingress,
// over a new connection.
constexpr Duration kReturnTime = std::chrono::milliseconds(25);

}  // namespace

std::optional<Duration> RetryAfter(const CallerTimeLeft& left, Random& random) {
  auto latest =
      std::chrono::duration_cast<Duration>(left.deadline * kMaxShareOfTimeLeft);
  if (latest <= kMinRetryDelay) {
    return std::nullopt;
  }
  const Duration on_time = left.objective - left.service - kReturnTime;
  if (on_time > kMinRetryDelay) {
    latest = std::min(latest, on_time);
  }
  std::uniform_int_distribution<Duration::rep> jitter(kMinRetryDelay.count(),
                                                      latest.count());
  return Duration(jitter(random));
}

}  // namespace ibisvalve::policy
