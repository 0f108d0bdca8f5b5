#pragma once

#include <span>

#include "policy/choice.h"

namespace ibisvalve::policy {

/// Baseline: picks a candidate uniformly at random.
class RandomChooser {
 public:
  size_t Choose(std::span<const Candidate> candidates,
                Time /*now*/,
                Random& random) {
    return random() % candidates.size();
  }
};

/// Baseline: round robin.
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

/// Baseline: least requests in flight from this ingress, with ties broken at
/// random.
class LeastLocalChooser {
 public:
  size_t Choose(std::span<const Candidate> candidates,
                Time now,
                Random& random);
};

/// Baseline: power of two choices by the last hints, regardless of their age.
class TwoStaleChooser {
 public:
  size_t Choose(std::span<const Candidate> candidates,
                Time now,
                Random& random);
};

}  // namespace ibisvalve::policy
