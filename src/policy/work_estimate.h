#pragma once

#include "base/base.h"

namespace ibisvalve::policy {

/// Usual time that requests of one kind take at a target of usual pace. Learns
/// from runs that were not slowed down.
class WorkEstimate {
 public:
  /// A run took `took` while its target told `slowdown`; 1 is usual.
  void Add(Duration took, double slowdown);
  /// Returns the estimate; 0 before the first run.
  Duration usual() const { return Duration(static_cast<int64_t>(usual_us_)); }

 private:
  double usual_us_ = 0;
  uint32_t runs_ = 0;
};

}  // namespace ibisvalve::policy
