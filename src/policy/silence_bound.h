#pragma once

#include "base/base.h"

namespace ibisvalve::policy {

/// Settings of SilenceBound.
struct SilenceSettings {
  Duration min = std::chrono::milliseconds(300);
  Duration max = std::chrono::milliseconds(1500);

  auto operator<=>(const SilenceSettings&) const = default;
};

/// Determines after how long without a received byte the links to one peer are
/// considered dead. Like the retransmission time-out of TCP (RFC 6298), the
/// bound follows the measured round-trip times, so that a congested link, on
/// which heartbeats wait behind request bodies, is distinguished from a cut
/// one.
class SilenceBound {
 public:
  explicit SilenceBound(const SilenceSettings& settings)
      : settings_(settings) {}

  /// Records the round-trip time of a heartbeat or of a connection set-up.
  void OnRoundTrip(Duration round_trip);
  /// Records that a link was given up as silent. The bound doubles until the
  /// next measured round trip, because no heartbeat on that link is measured
  /// any more if it was only congested.
  void OnSilent();
  /// Returns the bound, between the minimum and the maximum of the settings.
  Duration bound() const;
  /// Returns the lower limit of the bound.
  Duration min() const { return settings_.min; }

 private:
  SilenceSettings settings_;
  Duration smoothed_{0};   // moving average of the round-trip times
  Duration deviation_{0};  // moving average of their deviation
  int backoff_ = 1;        // factor on the bound
};

}  // namespace ibisvalve::policy
