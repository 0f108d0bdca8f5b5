#pragma once

#include <span>

#include "policy/policy.h"

namespace ibisvalve::dataplane {

/// Picks the less busy of two random candidates, from the own zone if any is
/// there.
class SimpleChooser {
 public:
  size_t Choose(std::span<const policy::Candidate> candidates,
                Time /*now*/,
                policy::Random& random) {
    const size_t first = random() % candidates.size();
    const size_t second = random() % candidates.size();
    return Cost(candidates[second]) < Cost(candidates[first]) ? second : first;
  }

 private:
  static double Cost(const policy::Candidate& candidate) {
    constexpr double kOtherZone = 0.5;
    const double busy = candidate.local_in_flight + candidate.hint_queued;
    return busy / candidate.slots + (candidate.same_zone ? 0 : kOtherZone);
  }
};

}  // namespace ibisvalve::dataplane
