#pragma once

#include <cstdint>

#include "base/base.h"

namespace ibisvalve::policy {

/// Measures how much longer than usual a message was on its way, from times of
/// the sender's and the receiver's clocks, which need not agree: the least
/// difference of the last half minute or more counts as that of an idle path,
/// as in LEDBAT (RFC 6817). Both clocks must run on while their host is
/// suspended.
class TransitDelay {
 public:
  /// Returns the delay of a message that was sent at `sent_us` and arrived at
  /// `arrived_us`, beyond the delay of an idle path; at least 0. The result is
  /// too small, never too large, if the path has not been idle.
  Duration OnArrival(uint64_t sent_us, uint64_t arrived_us);

 private:
  // Least differences of two successive periods, so that clocks may drift.
  int64_t least_us_ = 0;
  int64_t previous_least_us_ = 0;
  uint64_t period_began_us_ = 0;
  bool started_ = false;
};

}  // namespace ibisvalve::policy
