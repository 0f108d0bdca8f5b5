#include "policy/pace_meter.h"

#include <algorithm>
#include <cmath>

namespace ibisvalve::policy {
namespace {

constexpr double kWeight = 0.15;   // of the latest run
constexpr double kMostOfOne = 10;  // one run does not count for more
// Runs under way are on average half done; the factor makes their mean age
// comparable with that of runs that ended.
constexpr double kHalfDone = 2;
// Ordinary spread and slowdowns that pass are no sign of a slow target.
constexpr double kOrdinary = 1.8;
// Without runs nothing tells of recovery; slow spells last about a second.
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
  // A run that was broken off tells only that it would have taken longer.
  if (whole || pace > recent_) {
    recent_ += (std::min(pace, kMostOfOne) - recent_) * kWeight;
  }
  idle_since_ = now;
}

// Returns the mean pace of runs that ended, faded while nothing ran since.
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
