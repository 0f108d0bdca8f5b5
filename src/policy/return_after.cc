#include "policy/return_after.h"

#include <chrono>

namespace ibisvalve::policy {
namespace {

// Callers wait for a third of their time at most; a little less is sure to be
// heeded.
constexpr double kReturnShare = 0.3;
// Nothing has changed sooner.
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
