#pragma once

#include <compare>
#include <deque>
#include <vector>

#include "base/base.h"
#include "world/world.h"

namespace ibisvalve::policy {

/// Runs at one target that were given up without a response. If the target then
/// turns out to have ended, one of them may have ended it without a sign.
class UnansweredRuns {
 public:
  /// Records that the run of `request` that started at `dispatched` is given
  /// up.
  void Add(const world::RequestIdentity& request, Time dispatched, Time now);
  /// Records a response to a run that started at `dispatched`: the target was
  /// alive after the earlier runs had started.
  void OnResponse(Time dispatched);
  /// Returns the requests of the recent runs, and forgets them.
  std::vector<world::RequestIdentity> Take(Time now);

 private:
  struct Run {
    world::RequestIdentity request;
    Time dispatched;
    Time given_up;
  };

  std::deque<Run> runs_;
};

}  // namespace ibisvalve::policy
