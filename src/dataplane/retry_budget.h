#pragma once

#include <algorithm>

namespace ibisvalve::dataplane {

/// Bounds retries to a share of recent successes, with a small reserve so that
/// a quiet service can retry too.
class RetryBudget {
 public:
  /// Each success earns `share` of a retry.
  explicit RetryBudget(double share) : share_(share) {}

  void OnSuccess() { tokens_ = std::min(tokens_ + share_, kReserve); }
  /// Takes one retry; returns whether there was one.
  bool Take() {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  static constexpr double kReserve = 20;

  double share_;
  double tokens_ = kReserve;
};

}  // namespace ibisvalve::dataplane
