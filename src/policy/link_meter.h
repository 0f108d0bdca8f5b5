#pragma once

#include <cstdint>

#include "base/base.h"

namespace ibisvalve::policy {

/// Measures the inbound traffic of a target on its host's link and estimates
/// the transfer time at the present load.
class LinkMeter {
 public:
  /// `mbps` is the capacity of the link in Mbit/s; 0 if unknown.
  explicit LinkMeter(double mbps) : bits_per_us_(mbps) {}

  /// Records `bytes` received.
  void Add(uint64_t bytes, Time now);
  /// Returns the transfer time of a KiB of a large body at the present load; 0
  /// if the capacity is unknown. `backlog` is the transfer time of the bodies
  /// that already wait.
  Duration TransferTimePerKib(Time now, Duration backlog = Duration(0)) const;

 private:
  double RecentBits(Time now) const;

  double bits_per_us_;      // 1 Mbit/s is one bit per microsecond
  double recent_bits_ = 0;  // decays exponentially
  Time recent_updated_at_{};
};

}  // namespace ibisvalve::policy
