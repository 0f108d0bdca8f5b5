#pragma once

#include <span>

#include "policy/choice.h"

namespace ibisvalve::policy {

/// Baseline: any candidate.
class RandomChooser {
 public:
  size_t Choose(std::span<const Candidate> candidates,
                Time /*now*/,
                Random& random) {
    return random() % candidates.size();
  }
};

/// Baseline: one after the other.
class RoundRobinChooser {
 public:
  size_t Choose(std::span<const Candidate> candidates,
                Time /*now*/,
                Random& /*random*/) {
    return next_++ % candidates.size();
  }

 private:
  size_t next_ = 0;
};

/// Baseline: the fewest in flight from this ingress; ties at random.
class LeastLocalChooser {
 public:
  size_t Choose(std::span<const Candidate> candidates,
                Time now,
                Random& random);
};

/// Baseline: the less busy of two by their last reports, whatever their age.
class TwoStaleChooser {
 public:
  size_t Choose(std::span<const Candidate> candidates,
                Time now,
                Random& random);
};

}  // namespace ibisvalve::policy
