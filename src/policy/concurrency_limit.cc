#include "policy/concurrency_limit.h"

#include <glog/logging.h>

#include <algorithm>
#include <cmath>

namespace ibisvalve::policy {
namespace {

constexpr uint32_t kMinWindowRuns = 48;
constexpr Duration kMinWindowTime = std::chrono::milliseconds(20);
constexpr double kInflationRatio = 1.5;   // window mean over baseline
constexpr double kDecreaseFactor = 0.75;  // of the limit
// Window mean of a successful trial over the one before it.
constexpr double kMaxImprovedRatio = 0.88;
constexpr double kIncreaseShare = 0.1;    // of the slots, per window
constexpr double kMinLimitShare = 0.4;    // of the slots
constexpr double kBaselineGrowth = 1.01;  // per window, to follow a slower mix
constexpr Duration kTrialBackoff = std::chrono::seconds(2);

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
  if (count_ < kMinWindowRuns || now - window_start_ < kMinWindowTime) {
    return;
  }
  EndWindow(sum_us_ / count_, 2 * saturated_ >= count_, now);
  count_ = 0;
  saturated_ = 0;
  sum_us_ = 0;
}

void ConcurrencyLimit::SetSlots(uint32_t slots) {
  CHECK_GT(slots, 0u);
  limit_ = limit_ / slots_ * slots;
  slots_ = slots;
  limit_before_trial_.reset();
}

uint32_t ConcurrencyLimit::limit() const {
  return std::clamp(static_cast<uint32_t>(std::lround(limit_)), 1U, slots_);
}

void ConcurrencyLimit::EndWindow(double mean_us, bool saturated, Time now) {
  baseline_us_ = baseline_us_ == 0
                     ? mean_us
                     : std::min(baseline_us_ * kBaselineGrowth, mean_us);
  const bool inflated = mean_us > baseline_us_ * kInflationRatio;
  if (limit_before_trial_) {
    const bool improved = mean_us < mean_before_trial_us_ * kMaxImprovedRatio;
    if (!improved) {
      limit_ = *limit_before_trial_;
      no_trial_until_ = now + kTrialBackoff;
    }
    limit_before_trial_.reset();
  }
  if (!inflated || !saturated) {
    limit_ = std::min<double>(slots_, limit_ + kIncreaseShare * slots_);
  } else if (now >= no_trial_until_) {
    StartTrial(mean_us);
  }
}

void ConcurrencyLimit::StartTrial(double mean_us) {
  const double lower = std::max(MinLimit(), limit_ * kDecreaseFactor);
  if (lower >= limit_) {
    return;
  }
  limit_before_trial_ = limit_;
  mean_before_trial_us_ = mean_us;
  limit_ = lower;
}

double ConcurrencyLimit::MinLimit() const {
  return std::max(1.0, slots_ * kMinLimitShare);
}

}  // namespace ibisvalve::policy
