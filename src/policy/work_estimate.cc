#include "policy/work_estimate.h"

#include <algorithm>

namespace ibisvalve::policy {
namespace {

constexpr double kUndisturbed = 1.3;  // slowdown up to which a run counts
constexpr double kWeight = 0.05;      // of the latest run, in the long run
constexpr double kMostOverUsual = 2;  // a straggler does not count for more

}  // namespace

void WorkEstimate::Add(Duration took, double slowdown) {
  if (slowdown > kUndisturbed) {
    return;
  }
  auto sample = static_cast<double>(took.count());
  ++runs_;
  if (runs_ > 1) {
    sample = std::min(sample, usual_us_ * kMostOverUsual);
  }
  usual_us_ += (sample - usual_us_) * std::max(kWeight, 1.0 / runs_);
}

}  // namespace ibisvalve::policy
