#include "policy/hedge.h"

#include <algorithm>

namespace ibisvalve::policy {
namespace {

constexpr uint64_t kMinSamples = 50;
constexpr double kMedian = 0.5;
constexpr double kBurst = 10;
// Delay by the objective, in multiples of the service time: time reserved for
// the hedge, and minimum time granted to the first attempt.
constexpr double kHedgeReserveFactor = 1.3;
constexpr double kFirstAttemptFactor = 1.2;

BudgetSettings BudgetFor(const HedgeSettings& settings) {
  return {settings.budget, kBurst, /*min_per_second=*/0};
}

}  // namespace

HedgeSettings HedgeSettingsFor(const world::RetryPolicy& policy) {
  HedgeSettings settings;
  settings.quantile = policy.hedge_quantile;
  settings.budget = policy.hedge_budget;
  return settings;
}

Duration HedgeDelayFor(Duration service_time, Duration objective_left) {
  const auto scaled = [service_time](double factor) {
    return std::chrono::duration_cast<Duration>(service_time * factor);
  };
  return std::max(objective_left - scaled(kHedgeReserveFactor),
                  scaled(kFirstAttemptFactor));
}

Hedge::Hedge(const HedgeSettings& settings)
    : settings_(settings), budget_(BudgetFor(settings)) {}

void Hedge::OnRequest(Time now) {
  budget_.Deposit(now);
}

void Hedge::OnAnswer(Duration latency, Time now) {
  latencies_.Add(latency, now);
}

std::optional<Duration> Hedge::Delay(Time now) const {
  const auto high = latencies_.At(settings_.quantile, kMinSamples, now);
  const auto median = latencies_.At(kMedian, kMinSamples, now);
  if (!high || !median) {
    return std::nullopt;
  }
  // If there are more stragglers than the quantile excludes, the quantile is
  // the latency of a straggler; the median is robust against this.
  const Duration bound(static_cast<int64_t>(
      static_cast<double>(median->count()) * settings_.max_over_median));
  return std::max(settings_.min_delay, std::min(*high, bound));
}

bool Hedge::TryTake(Time now) {
  return settings_.budget > 0 && budget_.TryTake(now);
}

void Hedge::Configure(const HedgeSettings& settings) {
  settings_ = settings;
  budget_.Configure(BudgetFor(settings));
}

}  // namespace ibisvalve::policy
