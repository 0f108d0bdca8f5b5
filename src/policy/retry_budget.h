#pragma once

#include <compare>

#include "base/base.h"

namespace ibisvalve::policy {

/// Settings of a budget for retries or hedges.
struct BudgetSettings {
  double share = 0.1;  // tokens added per request that earns
  double burst = 10;   // maximum number of tokens
  // Tokens added per second, for services with low traffic.
  double min_per_second = 0.1;

  auto operator<=>(const BudgetSettings&) const = default;
};

/// Token bucket that limits extra requests (retries, hedges) to a share of
/// recent requests. Any time span contains at most burst + share * earned +
/// min_per_second * seconds extra requests. Tokens decay, so that past
/// successes cannot pay for a retry storm.
class RetryBudget {
 public:
  explicit RetryBudget(const BudgetSettings& settings = {});

  /// Adds `share` tokens. Call it for each success for a retry budget, and for
  /// each request for a hedge budget.
  void Deposit(Time now);
  /// Takes one extra request from the budget; returns false if it is exhausted.
  bool TryTake(Time now);
  /// Replaces the settings.
  void Configure(const BudgetSettings& settings);
  /// Returns the number of tokens at `now`; each extra request takes one.
  double available(Time now) const;

 private:
  void Advance(Time now);

  BudgetSettings settings_;
  double tokens_;
  Time advanced_{};
};

}  // namespace ibisvalve::policy
