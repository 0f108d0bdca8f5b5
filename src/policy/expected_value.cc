#include "policy/expected_value.h"

#include <glog/logging.h>

#include <algorithm>
#include <cmath>

namespace ibisvalve::policy {
namespace {

constexpr Duration kUsualWork = std::chrono::milliseconds(100);
// Exponent of the log-logistic distribution of service times, which have a
// spread of about one third.
constexpr double kSharpness = 5;
// Cost of a full target, as targets get slower when they are nearly full.
constexpr double kFullCost = 0.05;
constexpr double kNearlyAsGood = 0.5;
constexpr double kFewestFree = 0.25;  // slots, lower bound for full targets

uint32_t LimitOf(const Candidate& candidate) {
  const uint32_t slots = std::max(candidate.slots, 1U);
  return candidate.hint_limit == 0 ? slots
                                   : std::min(candidate.hint_limit, slots);
}

// Returns the probability that a request with an expected duration of
// `expected` ends within `limit`.
double Chance(Duration expected, Duration limit) {
  if (limit <= Duration(0)) {
    return 0;
  }
  const double ratio =
      static_cast<double>(std::max(expected, Duration(1)).count()) /
      static_cast<double>(limit.count());
  return 1 / (1 + std::pow(ratio, kSharpness));
}

}  // namespace

ExpectedValueChooser::ExpectedValueChooser(const ValueSettings& settings)
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
    weights.push_back(values[i] >= best - settings_.close_enough
                          ? std::max(free, kFewestFree)
                          : 0);
  }
  Choice choice;
  choice.index = std::discrete_distribution<size_t>(weights.begin(),
                                                    weights.end())(random);
  choice.value = values[choice.index];
  for (size_t i = 0; i < candidates.size(); ++i) {
    choice.has_alternative |=
        i != choice.index && values[i] >= best * kNearlyAsGood;
  }
  return choice;
}

double ExpectedValueChooser::Value(const Candidate& candidate,
                                   const RequestTerms& terms,
                                   Time now) const {
  const Duration end = ExpectedEnd(candidate, terms, now);
  const double on_time = Chance(end, terms.objective_left);
  const double in_time = std::max(on_time, Chance(end, terms.deadline_left));
  const double answered = on_time + settings_.late_value * (in_time - on_time);
  const double crossing =
      candidate.same_zone ? 0 : settings_.crossing_per_kib * terms.kib;
  const double full = std::min(1.0, Load(candidate, now) / LimitOf(candidate));
  return (1 - candidate.hint_failures) * (1 - candidate.ejected) * answered -
         crossing - kFullCost * full * full;
}

Duration ExpectedValueChooser::ExpectedEnd(const Candidate& candidate,
                                           const RequestTerms& terms,
                                           Time now) const {
  const Duration work = terms.work > Duration(0) ? terms.work : kUsualWork;
  double slowdown = 1;
  double carry = 0;
  if (candidate.hint_time) {
    const auto age = static_cast<double>((now - *candidate.hint_time).count());
    const double weight =
        std::exp2(-age / static_cast<double>(settings_.hint_half_life.count()));
    slowdown += weight * (std::max(candidate.slowdown, 1.0) - 1);
    carry =
        weight * terms.kib * static_cast<double>(candidate.hint_kib.count());
  }
  const double run = static_cast<double>(work.count()) *
                     std::max(candidate.pace, 1.0) * slowdown;
  const double ahead = Load(candidate, now) + 1 - LimitOf(candidate);
  const double wait = std::max(ahead, 0.0) * run / LimitOf(candidate);
  return Duration(static_cast<Duration::rep>(run + wait + carry));
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
