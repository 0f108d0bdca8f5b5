#pragma once

#include <compare>

#include "base/base.h"

namespace ibisvalve::policy {

/// Settings of a budget of extra requests.
struct BudgetSettings {
  double share = 0.1;             // extra requests for each one that earns
  double burst = 10;              // extra requests saved up at most
  double spare_per_second = 0.1;  // earned by time alone, for quiet services

  auto operator<=>(const BudgetSettings&) const = default;
};

/// Bounds extra requests (retries, hedges) to a share of recent ones. In any
/// span of time at most burst + share * earned + spare_per_second * seconds
/// are let through, and what was earned fades, so that a past of successes
/// does not pay for a storm.
class RetryBudget {
 public:
  explicit RetryBudget(const BudgetSettings& settings = {});

  /// A request came that earns: a success for retries, any for hedges.
  void Earn(Time now);
  /// Takes one extra request out of the budget; false when it is used up.
  bool TryTake(Time now);
  /// Replaces the settings.
  void Configure(const BudgetSettings& settings);
  /// Returns how many extra requests could be taken at `now`.
  double available(Time now) const;

 private:
  void Advance(Time now);

  BudgetSettings settings_;
  double tokens_;
  Time advanced_{};
};

}  // namespace ibisvalve::policy
