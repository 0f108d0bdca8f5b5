#include "policy/weighed_chooser.h"

#include <glog/logging.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>

namespace ibisvalve::policy {
namespace {

constexpr double kFullyEjected = 1.0;
constexpr double kInitialTrafficShare = 0.1;  // at the start of slow start
constexpr double kQueuePenalty = 4.0;  // per multiple of the limit in the queue
constexpr double kFailureLoad = 4.0;  // multiple of the limit, if all runs fail
constexpr double kMinSuccessShare = 0.05;  // bounds the cost of failures
constexpr Duration kDefaultServiceTime = std::chrono::milliseconds(1);

uint32_t LimitOf(const Candidate& candidate) {
  const uint32_t slots = std::max(candidate.slots, 1U);
  return candidate.hint_limit == 0 ? slots
                                   : std::min(candidate.hint_limit, slots);
}

// Returns the median of the service times in the hints, or a default if there
// are none.
Duration MedianServiceTime(std::span<const Candidate> candidates) {
  std::vector<Duration> known;
  for (const Candidate& candidate : candidates) {
    if (candidate.hint_service_time.count() > 0) {
      known.push_back(candidate.hint_service_time);
    }
  }
  if (known.empty()) {
    return kDefaultServiceTime;
  }
  const auto middle =
      known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
  std::nth_element(known.begin(), middle, known.end());
  return *middle;
}

// Draws an index with probability in proportion to its weight, or uniformly if
// all weights are 0. Weights must not be negative.
size_t DrawWeighted(const std::vector<double>& weights, Random& random) {
  double total = 0;
  for (const double weight : weights) {
    total += weight;
  }
  if (total <= 0) {
    return std::uniform_int_distribution<size_t>(0, weights.size() - 1)(random);
  }
  double left = std::uniform_real_distribution<double>(0, total)(random);
  for (size_t i = 0; i < weights.size(); ++i) {
    left -= weights[i];
    if (left < 0) {
      return i;
    }
  }
  return weights.size() - 1;
}

}  // namespace

WeighedChooserSettings WeighedChooserSettingsFor(
    const world::Routing& routing) {
  WeighedChooserSettings settings;
  settings.prefer_zone = routing.prefer_zone;
  settings.spill_at = routing.spill_at;
  settings.declared_shares = !routing.shares.empty();
  return settings;
}

WeighedChooser::WeighedChooser(const WeighedChooserSettings& settings)
    : settings_(settings) {
  CHECK_GT(settings.choices, 0U);
}

size_t WeighedChooser::Choose(std::span<const Candidate> candidates,
                              Time now,
                              Random& random) {
  CHECK(!candidates.empty());
  const std::vector<size_t> pool =
      FilterByZone(candidates, FilterUsable(candidates), now, random);
  std::vector<double> weights;
  for (const size_t index : pool) {
    const Candidate& candidate = candidates[index];
    weights.push_back(candidate.slots * SlowStartFactor(candidate, now) *
                      (kFullyEjected - candidate.ejected));
  }
  const Duration median = MedianServiceTime(candidates);
  std::optional<size_t> best;
  double best_cost = 0;
  const size_t choices = std::min<size_t>(settings_.choices, pool.size());
  for (size_t i = 0; i < choices; ++i) {
    const size_t drawn = DrawWeighted(weights, random);
    weights[drawn] = 0;  // draws without replacement
    const double cost = Cost(candidates[pool[drawn]], median, now);
    if (!best || cost < best_cost) {
      best = pool[drawn];
      best_cost = cost;
    }
  }
  return *best;
}

double WeighedChooser::Cost(const Candidate& candidate,
                            Duration default_service_time,
                            Time now) const {
  const Duration service = candidate.hint_service_time.count() > 0
                               ? candidate.hint_service_time
                               : default_service_time;
  const double limit = LimitOf(candidate);
  const double load = (Load(candidate, now) + 1) / limit;
  const double queue = std::max(0.0, load - 1) * kQueuePenalty;
  const double success =
      std::max(kMinSuccessShare, 1 - candidate.hint_failure_share);
  return static_cast<double>(service.count()) * (load + queue) / success;
}

std::vector<size_t> WeighedChooser::FilterUsable(
    std::span<const Candidate> candidates) const {
  // Prefers targets in the ingress's region, then all that are not ejected,
  // then all.
  const auto select = [&](auto&& accepts) {
    std::vector<size_t> indexes;
    for (size_t i = 0; i < candidates.size(); ++i) {
      if (accepts(candidates[i])) {
        indexes.push_back(i);
      }
    }
    return indexes;
  };
  std::vector<size_t> usable = select([](const Candidate& one) {
    return one.same_region && one.ejected < kFullyEjected && one.share > 0;
  });
  if (usable.empty()) {
    usable = select(
        [](const Candidate& one) { return one.ejected < kFullyEjected; });
  }
  if (usable.empty()) {
    usable = select([](const Candidate&) { return true; });
  }
  return usable;
}

std::vector<size_t> WeighedChooser::FilterByZone(
    std::span<const Candidate> candidates,
    const std::vector<size_t>& usable,
    Time now,
    Random& random) const {
  if (settings_.declared_shares) {
    return DrawZone(candidates, usable, random);
  }
  if (!settings_.prefer_zone) {
    return usable;
  }
  std::vector<size_t> own;
  double load = 0;
  double capacity = 0;
  for (const size_t index : usable) {
    if (candidates[index].same_zone) {
      own.push_back(index);
      load += Load(candidates[index], now);
      capacity += LimitOf(candidates[index]);
    }
  }
  if (own.empty()) {
    return usable;
  }
  const double busy = load / capacity;
  const double spill = settings_.spill_at >= 1 ? (busy >= 1 ? 1 : 0)
                                               : (busy - settings_.spill_at) /
                                                     (1 - settings_.spill_at);
  const double chance = std::uniform_real_distribution<double>(0, 1)(random);
  return chance < spill ? usable : own;
}

std::vector<size_t> WeighedChooser::DrawZone(
    std::span<const Candidate> candidates,
    const std::vector<size_t>& usable,
    Random& random) const {
  std::map<ZoneName, std::vector<size_t>> by_zone;
  for (const size_t index : usable) {
    by_zone[candidates[index].zone].push_back(index);
  }
  std::vector<double> shares;
  std::vector<const std::vector<size_t>*> zones;
  for (const auto& [zone, indexes] : by_zone) {
    shares.push_back(candidates[indexes.front()].share);
    zones.push_back(&indexes);
  }
  return *zones[DrawWeighted(shares, random)];
}

double WeighedChooser::Load(const Candidate& candidate, Time now) const {
  const double local = candidate.local_in_flight;
  double load = local;
  if (candidate.hint_time) {
    const auto age = static_cast<double>((now - *candidate.hint_time).count());
    const double weight =
        std::exp2(-age / static_cast<double>(settings_.hint_half_life.count()));
    const double hinted = candidate.hint_in_flight + candidate.hint_queued;
    load = std::max(local, weight * hinted + (1 - weight) * local);
  }
  return load +
         candidate.hint_failure_share * kFailureLoad * LimitOf(candidate);
}

double WeighedChooser::SlowStartFactor(const Candidate& candidate,
                                       Time now) const {
  const Duration age = now - candidate.ready_since;
  if (age >= settings_.slow_start) {
    return 1;
  }
  return std::max(kInitialTrafficShare,
                  static_cast<double>(age.count()) /
                      static_cast<double>(settings_.slow_start.count()));
}

}  // namespace ibisvalve::policy
