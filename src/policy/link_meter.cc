#include "policy/link_meter.h"

#include <algorithm>
#include <cmath>

namespace ibisvalve::policy {
namespace {

// Time constant of the decay: long enough to cover several uploads, but short
// compared to bursts of a few seconds.
constexpr double kDecayTimeUs = 4e5;
constexpr double kBitsPerByte = 8;
constexpr double kBitsPerKib = 1024 * kBitsPerByte;
// Bounds the utilization: above it, more traffic is queued in front of the link
// and the model does not hold.
constexpr double kMaxUtilization = 0.95;
// Size of a large body, in KiB. The wait behind the backlog does not depend on
// the size; small bodies are not affected by it.
constexpr double kTypicalBodyKib = 64;

}  // namespace

void LinkMeter::Add(uint64_t bytes, Time now) {
  recent_bits_ = RecentBits(now) + static_cast<double>(bytes) * kBitsPerByte;
  recent_updated_at_ = now;
}

Duration LinkMeter::TransferTimePerKib(Time now, Duration backlog) const {
  if (bits_per_us_ <= 0) {
    return Duration(0);
  }
  // At a constant rate the decayed sum converges to rate * time constant.
  const double utilization = std::min(
      RecentBits(now) / (kDecayTimeUs * bits_per_us_), kMaxUtilization);
  const double alone = kBitsPerKib / bits_per_us_;
  const double behind_backlog =
      alone + static_cast<double>(backlog.count()) / kTypicalBodyKib;
  return Duration(static_cast<Duration::rep>(
      std::max(alone / (1 - utilization), behind_backlog)));
}

double LinkMeter::RecentBits(Time now) const {
  const auto age = static_cast<double>(
      std::max(now - recent_updated_at_, Duration(0)).count());
  return recent_bits_ * std::exp(-age / kDecayTimeUs);
}

}  // namespace ibisvalve::policy
