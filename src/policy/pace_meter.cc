#include "policy/pace_meter.h"

#include <algorithm>
#include <cmath>

namespace ibisvalve::policy {
namespace {

constexpr double kRunWeight = 0.15;  // of the latest run in the average
constexpr double kMaxRunPace = 10;   // upper bound for a single run
// Runs in flight are half done on average; the factor makes their mean age
// comparable to the duration of ended runs.
constexpr double kInFlightAgeFactor = 2;
// Tolerance for the usual variation and for transient slowdowns.
constexpr double kPaceTolerance = 1.8;
// Decay while idle, when no run can show a recovery: slow phases last about one
// second.
constexpr double kIdleHalfLifeUs = 1e6;

}  // namespace

void PaceMeter::Begin(const AttemptId& id, Duration expected, Time now) {
  if (expected > Duration(0)) {
    ended_pace_ = DecayedPace(now);
    running_[id] = Run{now, expected};
  }
}

void PaceMeter::End(const AttemptId& id, bool completed, Time now) {
  const auto found = running_.find(id);
  if (found == running_.end()) {
    return;
  }
  const double pace =
      static_cast<double>((now - found->second.started_at).count()) /
      static_cast<double>(found->second.expected.count());
  running_.erase(found);
  // The duration of an aborted run is only a lower bound.
  if (completed || pace > ended_pace_) {
    ended_pace_ += (std::min(pace, kMaxRunPace) - ended_pace_) * kRunWeight;
  }
  idle_since_ = now;
}

// Returns the average of ended runs, decayed by the time without runs.
double PaceMeter::DecayedPace(Time now) const {
  if (!running_.empty()) {
    return ended_pace_;
  }
  const auto age =
      static_cast<double>(std::max(now - idle_since_, Duration(0)).count());
  return 1 + (ended_pace_ - 1) * std::exp2(-age / kIdleHalfLifeUs);
}

double PaceMeter::Pace(Time now) const {
  double age_ratios = 0;
  for (const auto& [id, run] : running_) {
    age_ratios += std::min(static_cast<double>((now - run.started_at).count()) /
                               static_cast<double>(run.expected.count()),
                           kMaxRunPace);
  }
  const double in_flight_pace = running_.empty()
                                    ? 0
                                    : kInFlightAgeFactor * age_ratios /
                                          static_cast<double>(running_.size());
  const double pace = std::max(DecayedPace(now), in_flight_pace);
  return pace <= kPaceTolerance ? 1 : pace / kPaceTolerance;
}

}  // namespace ibisvalve::policy
