#include "world/departed_runs.h"

#include <algorithm>

namespace ibisvalve::world {

DepartedRuns DepartedRuns::With(const TargetRun& run) const {
  if (run == TargetRun() || Names(run)) {
    return *this;
  }
  DepartedRuns joined = *this;
  std::vector<TargetRun>& runs = joined.runs_;
  std::erase_if(runs, [&](const TargetRun& known) {
    return known.identity == run.identity;
  });
  runs.insert(std::upper_bound(runs.begin(), runs.end(), run), run);
  if (runs.size() > kMaxRuns) {
    runs.erase(runs.begin());
  }
  return joined;
}

DepartedRuns DepartedRuns::With(const DepartedRuns& other) const {
  DepartedRuns joined = *this;
  for (const TargetRun& run : other.runs_) {
    joined = joined.With(run);
  }
  return joined;
}

bool DepartedRuns::Names(const TargetRun& run) const {
  return std::any_of(runs_.begin(), runs_.end(), [&](const TargetRun& known) {
    return known.identity == run.identity && known.started_ms >= run.started_ms;
  });
}

bool DepartedRuns::Covers(const TargetRun& run) const {
  const bool may_be_displaced =
      runs_.size() == kMaxRuns && run.started_ms != 0 && run < runs_.front();
  return may_be_displaced || Names(run);
}

}  // namespace ibisvalve::world
