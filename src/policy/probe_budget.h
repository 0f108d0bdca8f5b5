#pragma once

#include <cstdint>
#include <deque>

#include "base/base.h"

namespace ibisvalve::policy {

/// Bounds the messages that measure one target. Strict: in no span of one
/// second are more let through than the rate, nor more than one in the
/// reciprocal of a rate below 1. Kept by the gate for all that ask it, and by
/// an ingress for its own part.
class ProbeBudget {
 public:
  /// `per_second` may be 0: nothing is let through.
  explicit ProbeBudget(double per_second);

  /// Takes one message out of the budget; false when it is used up.
  bool TryTake(Time now);
  /// Replaces the rate.
  void Configure(double per_second);
  /// Returns how many messages were let through and refused so far.
  uint64_t taken() const { return taken_; }
  uint64_t refused() const { return refused_; }

 private:
  double per_second_;
  std::deque<Time> recent_;  // the last ones let through
  uint64_t taken_ = 0;
  uint64_t refused_ = 0;
};

/// Returns the part of a target's budget that each of `ingresses` may use, so
/// that all together keep to it without talking to each other.
double ProbeShare(double per_second, uint32_t ingresses);

}  // namespace ibisvalve::policy
