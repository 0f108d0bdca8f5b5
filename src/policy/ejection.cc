#include "policy/ejection.h"

#include <algorithm>

namespace ibisvalve::policy {
namespace {

constexpr double kResultFade = 0.98;  // effective window: about 50 results

}  // namespace

Ejection::Ejection(const EjectionSettings& settings) : settings_(settings) {}

void Ejection::Add(const NodeId& target) {
  targets_.try_emplace(target);
}

void Ejection::Remove(const NodeId& target) {
  targets_.erase(target);
}

bool Ejection::OnResult(const NodeId& target, bool failed, Time now) {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return false;
  }
  State& state = found->second;
  state.results = state.results * kResultFade + 1;
  state.failures = state.failures * kResultFade + (failed ? 1 : 0);
  if (!failed) {
    state.consecutive = 0;
    // After a success in full use the ejection duration starts over.
    if (state.ejections > 0 && now >= state.until + 2 * settings_.reentry) {
      state.ejections = 0;
    }
    return false;
  }
  ++state.consecutive;
  // Late results of attempts sent before the ejection must not extend it.
  if (now < state.until || !ShouldEject(state, now) || !HasRoom(now)) {
    return false;
  }
  Eject(state, now);
  return true;
}

double Ejection::Factor(const NodeId& target, Time now) const {
  const auto found = targets_.find(target);
  if (found == targets_.end() || found->second.ejections == 0) {
    return 0;
  }
  const Time until = found->second.until;
  if (now < until) {
    return 1;
  }
  if (now >= until + settings_.reentry) {
    return 0;
  }
  // Stays below 1, as some requests must probe the target.
  constexpr double kFirstTraffic = 0.05;
  const double entered = static_cast<double>((now - until).count()) /
                         static_cast<double>(settings_.reentry.count());
  return (1 - kFirstTraffic) * (1 - entered);
}

uint32_t Ejection::ejected(Time now) const {
  return static_cast<uint32_t>(std::count_if(
      targets_.begin(), targets_.end(),
      [&](const auto& entry) { return now < entry.second.until; }));
}

bool Ejection::ShouldEject(const State& state, Time now) const {
  const bool reentering =
      state.ejections > 0 && now < state.until + settings_.reentry;
  constexpr uint32_t kFailuresAtReentry = 2;
  const uint32_t allowed =
      reentering ? std::min(kFailuresAtReentry, settings_.consecutive_failures)
                 : settings_.consecutive_failures;
  return state.consecutive >= allowed ||
         (state.results >= settings_.min_results &&
          state.failures >= settings_.failure_share * state.results);
}

bool Ejection::HasRoom(Time now) const {
  const double after = ejected(now) + 1;
  return after <= settings_.max_ejected * static_cast<double>(targets_.size());
}

void Ejection::Eject(State& state, Time now) {
  constexpr uint32_t kMaxDoublings = 16;
  const Duration length =
      settings_.first * (1 << std::min(state.ejections, kMaxDoublings));
  state.until = now + std::min(length, settings_.longest);
  ++state.ejections;
  state.consecutive = 0;
  state.results = 0;
  state.failures = 0;
}

}  // namespace ibisvalve::policy
