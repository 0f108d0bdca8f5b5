#pragma once

#include <cstdint>
#include <deque>

#include "base/base.h"

namespace ibisvalve::policy {

/// Strict rate limit for messages that measure one target: any window of one
/// second contains at most `per_second` messages, and for a rate below 1 any
/// window of 1 / `per_second` seconds contains at most one. A gate keeps one
/// for all its probes, and an ingress one for its own share.
class ProbeBudget {
 public:
  /// `per_second` must not be negative; 0 refuses all messages.
  explicit ProbeBudget(double per_second);

  /// Takes one message from the budget; returns false if it is exhausted.
  bool TryTake(Time now);
  /// Replaces the rate, which must not be negative.
  void Configure(double per_second);
  /// Returns the number of messages permitted, and refused, so far.
  uint64_t taken() const { return taken_; }
  uint64_t refused() const { return refused_; }

 private:
  double per_second_;
  std::deque<Time> recent_;  // times of the last permitted messages
  uint64_t taken_ = 0;
  uint64_t refused_ = 0;
};

/// Returns the share of a target's budget for each of `ingresses`, so that they
/// stay within the total without coordination.
double ProbeShare(double per_second, uint32_t ingresses);

}  // namespace ibisvalve::policy
