#pragma once

#include <cstdint>

#include "base/base.h"
#include "policy/run_end.h"

namespace ibisvalve::policy {

/// Usual time that requests of one kind take at a target of usual pace. Learns
/// from runs at targets that are not slowed down, and while there are too few
/// of these, as after a cold start of all targets, from the others as well.
class WorkEstimate {
 public:
  /// A run ended as `end` says after `took`, at a target that had told
  /// `slowdown` as it began; 1 is usual. Only runs that ended well count: a
  /// failure is often much quicker.
  void Add(Duration took, double slowdown, RunEnd end);
  /// Returns the estimate; 0 before the first run.
  Duration usual() const { return Duration(static_cast<int64_t>(usual_us_)); }
  /// Returns the estimate, or before the first run what may be supposed of a
  /// kind of request that has such an objective.
  Duration ExpectedFor(Duration objective) const;

 private:
  double usual_us_ = 0;
  uint32_t runs_ = 0;
  uint32_t undisturbed_ = 0;  // of these runs
};

}  // namespace ibisvalve::policy
