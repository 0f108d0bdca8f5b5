#pragma once

#include <compare>
#include <optional>

#include "base/base.h"
#include "policy/latency_quantile.h"
#include "policy/retry_budget.h"
#include "world/world.h"

namespace ibisvalve::policy {

/// Settings of request hedging for one service.
struct HedgeSettings {
  double quantile = 0.95;      // of recent latencies, as the hedge delay
  double budget = 0.05;        // hedges per recent request
  double max_over_median = 3;  // bounds the delay to a multiple of the median
  Duration min_delay = std::chrono::milliseconds(1);

  auto operator<=>(const HedgeSettings&) const = default;
};

/// Returns the settings for a service with the given retry policy.
HedgeSettings HedgeSettingsFor(const world::RetryPolicy& policy);

/// Returns the hedge delay for a request with the service time `service_time`
/// and the time `objective_left` until its objective: the latest time at which
/// a second target can still meet the objective, but at least the first
/// target's service time with a margin.
Duration HedgeDelayFor(Duration service_time, Duration objective_left);

/// Delay and budget of hedged attempts for the repeatable requests of one
/// service at one ingress.
class Hedge {
 public:
  explicit Hedge(const HedgeSettings& settings = {});

  /// Records that a repeatable request was sent, which adds to the budget.
  void OnRequest(Time now);
  /// Records the latency of an attempt that got a response.
  void OnAnswer(Duration latency, Time now);
  /// Returns how long to wait for a response before sending a hedge, or nullopt
  /// while too few latencies are known.
  std::optional<Duration> Delay(Time now) const;
  /// Takes one hedge from the budget; returns false if the budget is exhausted
  /// or hedging is disabled.
  bool TryTake(Time now);
  /// Replaces the settings.
  void Configure(const HedgeSettings& settings);

 private:
  HedgeSettings settings_;
  LatencyQuantile latencies_;
  RetryBudget budget_;
};

}  // namespace ibisvalve::policy
