#pragma once

#include <cstdint>
#include <optional>

#include "base/base.h"

namespace ibisvalve::policy {

/// How many requests a target may run at once: its slots, or fewer while
/// fewer at once make each quicker. When service times rise over their base,
/// it tries a lower limit, and keeps it only if service times fell by it; a
/// target that is slow at any concurrency keeps all its slots.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(uint32_t slots);

  /// Takes in the service time of a run that ended well. `saturated` tells
  /// whether as many ran as the limit lets.
  void Add(Duration service_time, bool saturated, Time now);
  /// Replaces the number of slots.
  void SetSlots(uint32_t slots);
  /// Returns the limit, at least 1 and at most the slots.
  uint32_t limit() const;

 private:
  void OnWindow(double mean_us, bool saturated, Time now);
  void Try(double mean_us);
  double Floor() const;

  uint32_t slots_;
  double limit_;
  double base_us_ = 0;  // mean of the quickest window, risen since
  // The window being filled.
  uint32_t count_ = 0;
  uint32_t saturated_ = 0;
  double sum_us_ = 0;
  Time window_start_{};
  // The lower limit under trial: what it was before, and the mean there.
  std::optional<double> limit_before_;
  double mean_before_us_ = 0;
  Time hold_until_{};
};

}  // namespace ibisvalve::policy
