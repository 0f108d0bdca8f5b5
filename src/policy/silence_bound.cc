#include "policy/silence_bound.h"

#include <algorithm>

namespace ibisvalve::policy {
namespace {

// Gains and factor of RFC 6298, section 2.
constexpr int kSmoothedGain = 8;
constexpr int kDeviationGain = 4;
constexpr int kDeviations = 4;
// A link is dead only if both a heartbeat and its successor are overdue.
constexpr int kHeartbeats = 2;
constexpr int kMaxBackoff = 8;

}  // namespace

void SilenceBound::OnRoundTrip(Duration round_trip) {
  backoff_ = 1;
  if (smoothed_ == Duration(0)) {
    smoothed_ = round_trip;
    deviation_ = round_trip / 2;
    return;
  }
  const Duration error =
      round_trip > smoothed_ ? round_trip - smoothed_ : smoothed_ - round_trip;
  deviation_ += (error - deviation_) / kDeviationGain;
  smoothed_ += (round_trip - smoothed_) / kSmoothedGain;
}

void SilenceBound::OnSilent() {
  backoff_ = std::min(2 * backoff_, kMaxBackoff);
}

Duration SilenceBound::bound() const {
  const Duration timeout = smoothed_ + kDeviations * deviation_;
  const Duration measured = std::max(kHeartbeats * timeout, settings_.min);
  return std::clamp(measured * backoff_, settings_.min,
                    std::max(settings_.min, settings_.max));
}

}  // namespace ibisvalve::policy
