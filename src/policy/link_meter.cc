#include "policy/link_meter.h"

#include <algorithm>
#include <cmath>

namespace ibisvalve::policy {
namespace {

// Long enough to hold several uploads, short against a burst of some seconds.
constexpr double kFadeUs = 4e5;
constexpr double kBitsPerByte = 8;
constexpr double kBitsPerKib = 1024 * kBitsPerByte;
// A link that is fuller than this only tells that more waits before it.
constexpr double kFullest = 0.95;

}  // namespace

void LinkMeter::Add(uint64_t bytes, Time now) {
  recent_bits_ = RecentBits(now) + static_cast<double>(bytes) * kBitsPerByte;
  recent_at_ = now;
}

Duration LinkMeter::PerKib(Time now) const {
  if (bits_per_us_ <= 0) {
    return Duration(0);
  }
  // With a steady rate what is kept settles at rate x fade time.
  const double used =
      std::min(RecentBits(now) / (kFadeUs * bits_per_us_), kFullest);
  return Duration(
      static_cast<Duration::rep>(kBitsPerKib / bits_per_us_ / (1 - used)));
}

double LinkMeter::RecentBits(Time now) const {
  const auto age =
      static_cast<double>(std::max(now - recent_at_, Duration(0)).count());
  return recent_bits_ * std::exp(-age / kFadeUs);
}

}  // namespace ibisvalve::policy
