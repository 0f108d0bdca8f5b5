#pragma once

#include <cstdint>
#include <vector>

#include "base/base.h"

namespace ibisvalve::bench {

/// A latency histogram with buckets no wider than 1/128 of their value (HDR
/// style), from 1 us to 64 s. Longer latencies count as 64 s.
class LatencyHistogram {
 public:
  LatencyHistogram();

  /// Records one latency.
  void Record(Duration latency);
  /// Adds all latencies of `other`.
  void Merge(const LatencyHistogram& other);
  /// Returns the number of recorded latencies.
  uint64_t count() const { return count_; }
  /// Returns the smallest latency that a fraction `quantile` (0 to 1) of all
  /// recorded latencies do not exceed, rounded up to the upper limit of its
  /// bucket; 0 if the histogram is empty.
  Duration ValueAtQuantile(double quantile) const;
  /// Returns the exact maximum.
  Duration max() const { return max_; }
  /// Returns the exact mean.
  Duration mean() const;

 private:
  std::vector<uint64_t> buckets_;
  uint64_t count_ = 0;
  Duration max_{0};
  Duration sum_{0};
};

}  // namespace ibisvalve::bench
