#pragma once

#include <unordered_map>

#include "base/base.h"

namespace ibisvalve::policy {

/// Ratio of actual to expected duration of the runs at one target. Includes the
/// runs in flight, so that a slow target is detected before its runs end.
class PaceMeter {
 public:
  /// Records the start of a run. `expected` is its expected duration, including
  /// the slowdown that the target reported; 0, if unknown, excludes the run.
  void Begin(const AttemptId& id, Duration expected, Time now);
  /// Records the end of a run. `completed` tells whether the target completed
  /// it.
  void End(const AttemptId& id, bool completed, Time now);
  /// Returns the pace: 1 while the ratio is within the tolerance for the usual
  /// variation, otherwise the ratio divided by this tolerance.
  double Pace(Time now) const;

 private:
  struct Run {
    Time started_at;
    Duration expected;
  };

  double DecayedPace(Time now) const;

  std::unordered_map<AttemptId, Run> running_;
  double ended_pace_ = 1;  // average of ended runs
  Time idle_since_{};      // valid while nothing runs
};

}  // namespace ibisvalve::policy
