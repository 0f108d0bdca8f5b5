#include "policy/service_time_estimate.h"

#include <algorithm>

namespace ibisvalve::policy {
namespace {

constexpr double kMaxUndisturbedSlowdown = 1.3;  // of an undisturbed run
constexpr uint32_t kMinUndisturbedRuns = 10;     // then ignores others
constexpr double kMinRunWeight = 0.05;  // of the latest run, after the first 20
constexpr double kMaxSampleRatio = 2;   // bounds a straggler, in estimates
// Objectives usually leave room for a queue wait and a second attempt.
constexpr int kObjectivePerServiceTime = 3;

}  // namespace

void ServiceTimeEstimate::Add(Duration service_time,
                              double slowdown,
                              RunResult result) {
  const bool undisturbed = slowdown <= kMaxUndisturbedSlowdown;
  const bool enough = undisturbed_runs_ >= kMinUndisturbedRuns;
  if (result != RunResult::kSucceeded || (!undisturbed && enough)) {
    return;
  }
  double sample =
      static_cast<double>(service_time.count()) / std::max(slowdown, 1.0);
  undisturbed_runs_ += undisturbed ? 1 : 0;
  ++runs_;
  if (runs_ > 1) {
    sample = std::min(sample, estimate_us_ * kMaxSampleRatio);
  }
  estimate_us_ +=
      (sample - estimate_us_) * std::max(kMinRunWeight, 1.0 / runs_);
}

Duration ServiceTimeEstimate::ExpectedFor(Duration objective) const {
  return runs_ > 0 ? estimate() : objective / kObjectivePerServiceTime;
}

}  // namespace ibisvalve::policy
