#pragma once

#include <unordered_map>

#include "base/base.h"

namespace ibisvalve::policy {

/// How long runs take at one target in proportion to what was expected of
/// them. Sees that a target has turned slow while its runs are still going on.
class PaceMeter {
 public:
  /// A run that is expected to take `expected` (0: not known) has begun. What
  /// the target told of its pace is part of the expectation.
  void Begin(const AttemptId& id, Duration expected, Time now);
  /// It ended; `whole` says that it went to its end at the target.
  void End(const AttemptId& id, bool whole, Time now);
  /// Returns the pace: 1 as usual, 4 for four times as long. Never below 1.
  double Pace(Time now) const;

 private:
  struct Run {
    Time since;
    Duration expected;
  };

  double Recent(Time now) const;

  std::unordered_map<AttemptId, Run> running_;
  double recent_ = 1;  // of runs that ended
  Time idle_since_{};  // while nothing runs
};

}  // namespace ibisvalve::policy
