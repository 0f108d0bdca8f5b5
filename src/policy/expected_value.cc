#include "policy/expected_value.h"

#include <glog/logging.h>

#include <algorithm>
#include <cmath>

namespace ibisvalve::policy {
namespace {

constexpr Duration kDefaultServiceTime = std::chrono::milliseconds(100);
// Exponent of the log-logistic distribution of service times, which have a
// spread of about one third.
constexpr double kLogLogisticShape = 5;
// Cost of a fully utilized target, as targets get slower when they are nearly
// full.
constexpr double kUtilizationCost = 0.05;
constexpr double kAlternativeValueRatio = 0.5;
constexpr double kMinFreeSlots = 0.25;  // slots, lower bound for full targets

uint32_t LimitOf(const Candidate& candidate) {
  const uint32_t slots = std::max(candidate.slots, 1U);
  return candidate.hint_limit == 0 ? slots
                                   : std::min(candidate.hint_limit, slots);
}

// Returns the probability that a request with an expected duration of
// `expected` ends within `limit`.
double ProbabilityWithin(Duration expected, Duration limit) {
  if (limit <= Duration(0)) {
    return 0;
  }
  const double ratio =
      static_cast<double>(std::max(expected, Duration(1)).count()) /
      static_cast<double>(limit.count());
  return 1 / (1 + std::pow(ratio, kLogLogisticShape));
}

}  // namespace

ExpectedValueChooser::ExpectedValueChooser(
    const ExpectedValueSettings& settings)
    : settings_(settings) {}

ExpectedValueChooser::Choice ExpectedValueChooser::Choose(
    std::span<const Candidate> candidates,
    const RequestTerms& terms,
    Time now,
    Random& random) const {
  CHECK(!candidates.empty());
  std::vector<double> values;
  values.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    values.push_back(Value(candidate, terms, now));
  }
  const double best = *std::max_element(values.begin(), values.end());
  std::vector<double> weights;
  weights.reserve(candidates.size());
  for (size_t i = 0; i < candidates.size(); ++i) {
    const double free = LimitOf(candidates[i]) - Load(candidates[i], now);
    weights.push_back(values[i] >= best - settings_.value_tolerance
                          ? std::max(free, kMinFreeSlots)
                          : 0);
  }
  Choice choice;
  choice.index = std::discrete_distribution<size_t>(weights.begin(),
                                                    weights.end())(random);
  choice.answer_value = AnswerValue(candidates[choice.index], terms, now);
  for (size_t i = 0; i < candidates.size(); ++i) {
    // Where costs exceed every value, the responses are compared without them.
    const bool nearly_as_good =
        best > 0 ? values[i] >= best * kAlternativeValueRatio
                 : AnswerValue(candidates[i], terms, now) >=
                       choice.answer_value * kAlternativeValueRatio;
    choice.has_alternative |= i != choice.index && nearly_as_good;
  }
  return choice;
}

double ExpectedValueChooser::AnswerValue(const Candidate& candidate,
                                         const RequestTerms& terms,
                                         Time now) const {
  const Duration duration = ExpectedDuration(candidate, terms, now);
  const double on_time = ProbabilityWithin(duration, terms.objective_left);
  const double before_deadline =
      std::max(on_time, ProbabilityWithin(duration, terms.deadline_left));
  const double answered =
      on_time + settings_.late_value * (before_deadline - on_time);
  return (1 - candidate.hint_failure_share) * (1 - candidate.ejected) *
         answered;
}

double ExpectedValueChooser::Value(const Candidate& candidate,
                                   const RequestTerms& terms,
                                   Time now) const {
  const double transfer_cost =
      candidate.same_zone
          ? 0
          : settings_.cross_zone_cost_per_kib * terms.transfer_kib;
  const double utilization =
      std::min(1.0, Load(candidate, now) / LimitOf(candidate));
  return AnswerValue(candidate, terms, now) - transfer_cost -
         kUtilizationCost * utilization * utilization;
}

Duration ExpectedValueChooser::ExpectedDuration(const Candidate& candidate,
                                                const RequestTerms& terms,
                                                Time now) const {
  const Duration service_time = terms.service_time > Duration(0)
                                    ? terms.service_time
                                    : kDefaultServiceTime;
  double slowdown = 1;
  double transfer = 0;
  if (candidate.hint_time) {
    const auto age = static_cast<double>((now - *candidate.hint_time).count());
    const double weight =
        std::exp2(-age / static_cast<double>(settings_.hint_half_life.count()));
    slowdown += weight * (std::max(candidate.slowdown, 1.0) - 1);
    transfer = std::exp2(-age / static_cast<double>(
                                    settings_.transfer_half_life.count())) *
               terms.transfer_kib *
               static_cast<double>(candidate.hint_transfer_per_kib.count());
  }
  const double run = static_cast<double>(service_time.count()) *
                     std::max(candidate.pace, 1.0) * slowdown;
  const double ahead = Load(candidate, now) + 1 - LimitOf(candidate);
  const double wait = std::max(ahead, 0.0) * run / LimitOf(candidate);
  return Duration(static_cast<Duration::rep>(run + wait + transfer));
}

double ExpectedValueChooser::Load(const Candidate& candidate, Time now) const {
  const double local = candidate.local_in_flight;
  if (!candidate.hint_time) {
    return local;
  }
  const auto age = static_cast<double>((now - *candidate.hint_time).count());
  const double weight =
      std::exp2(-age / static_cast<double>(settings_.hint_half_life.count()));
  const double hinted = candidate.hint_in_flight + candidate.hint_queued;
  return std::max(local, weight * hinted + (1 - weight) * local);
}

}  // namespace ibisvalve::policy
