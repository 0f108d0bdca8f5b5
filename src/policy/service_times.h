#pragma once

#include <cstddef>
#include <vector>

#include "base/base.h"

namespace ibisvalve::policy {

/// The last service times of one target, of bounded size.
class ServiceTimes {
 public:
  /// Takes in the service time of a run that ended well.
  void Add(Duration service_time, Time now);
  /// Returns how many are kept.
  size_t size() const { return samples_.size(); }
  /// Returns the mean, with each sample bounded to a multiple of the median,
  /// so that one long transfer does not pass for a slow target. 0 if empty.
  Duration mean() const { return mean_; }
  /// Returns a time that hardly any recent run was quicker than; 0 when there
  /// are too few samples, or the last one is too old to judge by.
  Duration Quickest(Time now) const;
  /// Returns the median on the same terms as Quickest.
  Duration Typical(Time now) const;

 private:
  bool Judges(Time now) const;

  std::vector<Duration> samples_;  // a ring once it is full
  size_t next_ = 0;
  Duration mean_{0};
  Duration quickest_{0};
  Duration median_{0};
  Time last_{};
};

}  // namespace ibisvalve::policy
