#include "policy/transit_delay.h"

#include <algorithm>

namespace ibisvalve::policy {
namespace {

constexpr uint64_t kPeriodUs = 30'000'000;

}  // namespace

Duration TransitDelay::OnArrival(uint64_t sent_us, uint64_t arrived_us) {
  const auto difference =
      static_cast<int64_t>(arrived_us) - static_cast<int64_t>(sent_us);
  if (!started_) {
    started_ = true;
    period_began_us_ = arrived_us;
    least_us_ = previous_least_us_ = difference;
  } else if (arrived_us >= period_began_us_ + kPeriodUs) {
    period_began_us_ = arrived_us;
    previous_least_us_ = least_us_;
    least_us_ = difference;
  }
  least_us_ = std::min(least_us_, difference);
  return Duration(difference - std::min(least_us_, previous_least_us_));
}

}  // namespace ibisvalve::policy
