#pragma once

#include <cstddef>
#include <vector>

#include "base/base.h"

namespace ibisvalve::policy {

/// Sliding window over the last service times of one target.
class ServiceTimes {
 public:
  /// Records the service time of a successful run.
  void Add(Duration service_time, Time now);
  /// Returns the number of samples in the window.
  size_t size() const { return samples_.size(); }
  /// Returns the mean, with each sample bounded to a multiple of the median, so
  /// that one long transfer does not make the target appear slow. 0 if empty.
  Duration mean() const { return mean_; }
  /// Returns the 10th percentile; 0 if there are too few samples or the last
  /// one is too old.
  Duration TenthPercentile(Time now) const;
  /// Returns the median; 0 if there are too few samples or the last one is too
  /// old.
  Duration Median(Time now) const;

 private:
  bool HasRecentSamples(Time now) const;

  std::vector<Duration> samples_;  // ring buffer once full
  size_t next_ = 0;
  Duration mean_{0};
  Duration tenth_percentile_{0};
  Duration median_{0};
  Time last_{};
};

}  // namespace ibisvalve::policy
