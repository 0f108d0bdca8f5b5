#include "policy/pace_meter.h"

#include <algorithm>
#include <cmath>

namespace ibisvalve::policy {
namespace {

constexpr double kWeight = 0.15;   // of the latest run in the average
constexpr double kMostOfOne = 10;  // upper bound for a single run
// Runs in flight are half done on average; the factor makes their mean age
// comparable to the duration of ended runs.
constexpr double kHalfDone = 2;
// Tolerance for the usual variation and for transient slowdowns.
constexpr double kOrdinary = 1.8;
// Decay while idle, when no run can show a recovery: slow phases last about one
// second.
constexpr double kHalfLifeUs = 1e6;

}  // namespace

void PaceMeter::Begin(const AttemptId& id, Duration expected, Time now) {
  if (expected > Duration(0)) {
    recent_ = Recent(now);
    running_[id] = Run{now, expected};
  }
}

void PaceMeter::End(const AttemptId& id, bool whole, Time now) {
  const auto found = running_.find(id);
  if (found == running_.end()) {
    return;
  }
  const double pace = static_cast<double>((now - found->second.since).count()) /
                      static_cast<double>(found->second.expected.count());
  running_.erase(found);
  // The duration of an aborted run is only a lower bound.
  if (whole || pace > recent_) {
    recent_ += (std::min(pace, kMostOfOne) - recent_) * kWeight;
  }
  idle_since_ = now;
}

// Returns the average of ended runs, decayed by the time without runs.
double PaceMeter::Recent(Time now) const {
  if (!running_.empty()) {
    return recent_;
  }
  const auto age =
      static_cast<double>(std::max(now - idle_since_, Duration(0)).count());
  return 1 + (recent_ - 1) * std::exp2(-age / kHalfLifeUs);
}

double PaceMeter::Pace(Time now) const {
  double ages = 0;
  for (const auto& [id, run] : running_) {
    ages += std::min(static_cast<double>((now - run.since).count()) /
                         static_cast<double>(run.expected.count()),
                     kMostOfOne);
  }
  const double present =
      running_.empty()
          ? 0
          : kHalfDone * ages / static_cast<double>(running_.size());
  const double pace = std::max(Recent(now), present);
  return pace <= kOrdinary ? 1 : pace / kOrdinary;
}

}  // namespace ibisvalve::policy
