#pragma once

#include <cstdint>

#include "base/base.h"
#include "policy/run_result.h"

namespace ibisvalve::policy {

/// Estimates the service time of one kind of request at a target that is not
/// slowed down. Uses runs at targets without a slowdown; while there are too
/// few of them, as after a cold start of all targets, it uses the other runs as
/// well, divided by their slowdown.
class ServiceTimeEstimate {
 public:
  /// Records a run that ended with `result` after `service_time`. `slowdown` is
  /// the value that the target reported at the start of the run; 1 means none.
  /// Ignores runs that did not succeed, as failures are often much quicker.
  void Add(Duration service_time, double slowdown, RunResult result);
  /// Returns the estimate, or 0 before the first run.
  Duration estimate() const {
    return Duration(static_cast<int64_t>(estimate_us_));
  }
  /// Returns the estimate, or before the first run a guess from the objective
  /// of the request.
  Duration ExpectedFor(Duration objective) const;

 private:
  double estimate_us_ = 0;
  uint32_t runs_ = 0;
  uint32_t undisturbed_runs_ = 0;  // of these, without a slowdown
};

}  // namespace ibisvalve::policy
