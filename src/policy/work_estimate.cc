#include "policy/work_estimate.h"

#include <algorithm>

namespace ibisvalve::policy {
namespace {

constexpr double kUndisturbed = 1.3;  // maximum slowdown of an undisturbed run
constexpr uint32_t kEnoughRuns = 10;  // undisturbed; then ignores others
constexpr double kWeight = 0.05;      // of the latest run, after the first 20
constexpr double kMostOverUsual = 2;  // bounds a straggler, in estimates
// Objectives usually leave room for a queue wait and a second attempt.
constexpr int kObjectiveOverWork = 3;

}  // namespace

void WorkEstimate::Add(Duration took, double slowdown, RunEnd end) {
  const bool undisturbed = slowdown <= kUndisturbed;
  const bool enough = undisturbed_ >= kEnoughRuns;
  if (end != RunEnd::kWell || (!undisturbed && enough)) {
    return;
  }
  double sample = static_cast<double>(took.count()) / std::max(slowdown, 1.0);
  undisturbed_ += undisturbed ? 1 : 0;
  ++runs_;
  if (runs_ > 1) {
    sample = std::min(sample, usual_us_ * kMostOverUsual);
  }
  usual_us_ += (sample - usual_us_) * std::max(kWeight, 1.0 / runs_);
}

Duration WorkEstimate::ExpectedFor(Duration objective) const {
  return runs_ > 0 ? usual() : objective / kObjectiveOverWork;
}

}  // namespace ibisvalve::policy
