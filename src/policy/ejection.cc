#include "policy/ejection.h"

#include <algorithm>

namespace ibisvalve::policy {
namespace {

constexpr double kResultDecay = 0.98;  // effective window: about 50 results

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
  state.results = state.results * kResultDecay + 1;
  state.failures = state.failures * kResultDecay + (failed ? 1 : 0);
  if (!failed) {
    state.consecutive = 0;
    // After a success in full use the ejection duration starts over.
    if (state.ejections > 0 &&
        now >= state.ejected_until + 2 * settings_.readmission_ramp) {
      state.ejections = 0;
    }
    return false;
  }
  ++state.consecutive;
  // Late results of attempts sent before the ejection must not extend it.
  if (now < state.ejected_until || !ShouldEject(state, now) ||
      !MayEjectAnother(now)) {
    return false;
  }
  Eject(state, now);
  return true;
}

double Ejection::EjectedShare(const NodeId& target, Time now) const {
  const auto found = targets_.find(target);
  if (found == targets_.end() || found->second.ejections == 0) {
    return 0;
  }
  const Time ejected_until = found->second.ejected_until;
  if (now < ejected_until) {
    return 1;
  }
  if (now >= ejected_until + settings_.readmission_ramp) {
    return 0;
  }
  // Stays below 1, as some requests must probe the target.
  constexpr double kInitialTrafficShare = 0.05;
  const double progress =
      static_cast<double>((now - ejected_until).count()) /
      static_cast<double>(settings_.readmission_ramp.count());
  return (1 - kInitialTrafficShare) * (1 - progress);
}

uint32_t Ejection::ejected(Time now) const {
  return static_cast<uint32_t>(std::count_if(
      targets_.begin(), targets_.end(),
      [&](const auto& entry) { return now < entry.second.ejected_until; }));
}

bool Ejection::ShouldEject(const State& state, Time now) const {
  const bool readmitting =
      state.ejections > 0 &&
      now < state.ejected_until + settings_.readmission_ramp;
  constexpr uint32_t kFailuresAtReadmission = 2;
  const uint32_t allowed =
      readmitting
          ? std::min(kFailuresAtReadmission, settings_.consecutive_failures)
          : settings_.consecutive_failures;
  return state.consecutive >= allowed ||
         (state.results >= settings_.min_results &&
          state.failures >= settings_.failure_share * state.results);
}

bool Ejection::MayEjectAnother(Time now) const {
  const double after = ejected(now) + 1;
  return after <= settings_.max_ejected * static_cast<double>(targets_.size());
}

void Ejection::Eject(State& state, Time now) {
  constexpr uint32_t kMaxDoublings = 16;
  const Duration length = settings_.base_ejection_time *
                          (1 << std::min(state.ejections, kMaxDoublings));
  state.ejected_until = now + std::min(length, settings_.max_ejection_time);
  ++state.ejections;
  state.consecutive = 0;
  state.results = 0;
  state.failures = 0;
}

}  // namespace ibisvalve::policy
