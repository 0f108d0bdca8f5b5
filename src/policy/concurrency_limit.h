#pragma once

#include <cstdint>
#include <optional>

#include "base/base.h"

namespace ibisvalve::policy {

/// Adaptive concurrency limit of one target. When service times rise above
/// their baseline at full concurrency, a lower limit is tried for one window
/// and kept only if it shortens the service times. A target that is slow at any
/// concurrency therefore keeps all its slots.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(uint32_t slots);

  /// Records the service time of a successful run. `saturated` tells whether
  /// the limit was reached when it ended.
  void Add(Duration service_time, bool saturated, Time now);
  /// Replaces the number of slots and scales the limit in proportion.
  void SetSlots(uint32_t slots);
  /// Returns the limit, at least 1 and at most the number of slots.
  uint32_t limit() const;

 private:
  void EndWindow(double mean_us, bool saturated, Time now);
  void StartTrial(double mean_us);
  double MinLimit() const;

  uint32_t slots_;
  double limit_;
  double baseline_us_ = 0;  // lowest window mean, slowly rising
  // Current measuring window.
  uint32_t count_ = 0;
  uint32_t saturated_ = 0;
  double sum_us_ = 0;
  Time window_start_{};
  // While a lower limit is on trial: the limit and the window mean before it.
  std::optional<double> limit_before_trial_;
  double mean_before_trial_us_ = 0;
  Time no_trial_until_{};
};

}  // namespace ibisvalve::policy
