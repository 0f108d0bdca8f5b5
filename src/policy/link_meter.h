#pragma once

#include <cstdint>

#include "base/base.h"

namespace ibisvalve::policy {

/// How busy the link of a host is with what comes in for its target, and hence
/// how long it takes to bring more there.
class LinkMeter {
 public:
  /// The link carries `mbps` million bits a second; 0: no bound is known.
  explicit LinkMeter(double mbps) : bits_per_us_(mbps) {}

  /// `bytes` have come in.
  void Add(uint64_t bytes, Time now);
  /// Returns how long a KiB takes at the present load; 0 without a bound.
  Duration PerKib(Time now) const;

 private:
  double RecentBits(Time now) const;

  double bits_per_us_;      // 1 Mbit/s is one bit a microsecond
  double recent_bits_ = 0;  // fading
  Time recent_at_{};
};

}  // namespace ibisvalve::policy
