#include "policy/return_after.h"

#include <chrono>

namespace ibisvalve::policy {
namespace {

// Share of the time left. Callers wait for at most one third of it, so a
// slightly smaller share makes sure that they honour the delay.
constexpr double kReturnShare = 0.3;
// The load of the targets does not change in less time.
constexpr Duration kSoonestReturn = std::chrono::milliseconds(50);

}  // namespace

std::optional<Duration> ReturnAfter(Duration left, Random& random) {
  const auto latest = std::chrono::duration_cast<Duration>(left * kReturnShare);
  if (latest <= kSoonestReturn) {
    return std::nullopt;
  }
  std::uniform_int_distribution<Duration::rep> spread(kSoonestReturn.count(),
                                                      latest.count());
  return Duration(spread(random));
}

}  // namespace ibisvalve::policy
