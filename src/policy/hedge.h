#pragma once

#include <compare>
#include <optional>

#include "base/base.h"
#include "policy/latency_quantile.h"
#include "policy/retry_budget.h"
#include "world/world.h"

namespace ibisvalve::policy {

/// Settings of hedging for one service.
struct HedgeSettings {
  double quantile = 0.95;      // of recent latencies, before a hedge is sent
  double budget = 0.05;        // hedges as a share of recent requests
  double max_over_median = 3;  // bounds the delay by the median latency
  Duration min_delay = std::chrono::milliseconds(1);

  auto operator<=>(const HedgeSettings&) const = default;
};

/// Returns the settings that follow from a service's retry policy.
HedgeSettings HedgeSettingsFor(const world::RetryPolicy& policy);

/// Returns how long to wait for an answer of a run that usually takes `work`
/// and should come within `objective_left`: as late as a second target can
/// still be on time, but not before the first one has had its usual time.
Duration HedgeDelayFor(Duration work, Duration objective_left);

/// Decides when a second attempt of a request that may be repeated is worth
/// its cost. One for each service at an ingress.
class Hedge {
 public:
  explicit Hedge(const HedgeSettings& settings = {});

  /// A request that may be repeated was sent: earns budget.
  void OnRequest(Time now);
  /// An attempt was answered after `latency`.
  void OnAnswer(Duration latency, Time now);
  /// Returns how long to wait for an answer before a hedge; nothing while too
  /// few latencies are known.
  std::optional<Duration> Delay(Time now) const;
  /// Takes one hedge out of the budget; false when it is used up.
  bool TryTake(Time now);
  /// Replaces the settings.
  void Configure(const HedgeSettings& settings);

 private:
  HedgeSettings settings_;
  LatencyQuantile latencies_;
  RetryBudget budget_;
};

}  // namespace ibisvalve::policy
