#include "policy/concurrency_limit.h"

#include <glog/logging.h>

#include <algorithm>
#include <cmath>

namespace ibisvalve::policy {
namespace {

constexpr uint32_t kWindowRuns = 48;
constexpr Duration kMinWindow = std::chrono::milliseconds(20);
constexpr double kInflated = 1.5;    // window mean over baseline
constexpr double kStepDown = 0.75;   // of the limit
constexpr double kHelped = 0.88;     // window mean after over before the trial
constexpr double kStepUp = 0.1;      // of the slots, per window
constexpr double kFloorShare = 0.4;  // of the slots
constexpr double kBaseRise =
    1.01;  // per window, to follow a slower request mix
constexpr Duration kHold = std::chrono::seconds(2);

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(uint32_t slots)
    : slots_(slots), limit_(slots) {
  CHECK_GT(slots, 0u);
}

void ConcurrencyLimit::Add(Duration service_time, bool saturated, Time now) {
  if (count_ == 0) {
    window_start_ = now;
  }
  ++count_;
  saturated_ += saturated ? 1 : 0;
  sum_us_ += static_cast<double>(service_time.count());
  if (count_ < kWindowRuns || now - window_start_ < kMinWindow) {
    return;
  }
  OnWindow(sum_us_ / count_, 2 * saturated_ >= count_, now);
  count_ = 0;
  saturated_ = 0;
  sum_us_ = 0;
}

void ConcurrencyLimit::SetSlots(uint32_t slots) {
  CHECK_GT(slots, 0u);
  limit_ = limit_ / slots_ * slots;
  slots_ = slots;
  limit_before_.reset();
}

uint32_t ConcurrencyLimit::limit() const {
  return std::clamp(static_cast<uint32_t>(std::lround(limit_)), 1U, slots_);
}

void ConcurrencyLimit::OnWindow(double mean_us, bool saturated, Time now) {
  base_us_ = base_us_ == 0 ? mean_us : std::min(base_us_ * kBaseRise, mean_us);
  const bool inflated = mean_us > base_us_ * kInflated;
  if (limit_before_) {
    const bool helped = mean_us < mean_before_us_ * kHelped;
    if (!helped) {
      limit_ = *limit_before_;
      hold_until_ = now + kHold;
    }
    limit_before_.reset();
  }
  if (!inflated || !saturated) {
    limit_ = std::min<double>(slots_, limit_ + kStepUp * slots_);
  } else if (now >= hold_until_) {
    Try(mean_us);
  }
}

void ConcurrencyLimit::Try(double mean_us) {
  const double lower = std::max(Floor(), limit_ * kStepDown);
  if (lower >= limit_) {
    return;
  }
  limit_before_ = limit_;
  mean_before_us_ = mean_us;
  limit_ = lower;
}

double ConcurrencyLimit::Floor() const {
  return std::max(1.0, slots_ * kFloorShare);
}

}  // namespace ibisvalve::policy
