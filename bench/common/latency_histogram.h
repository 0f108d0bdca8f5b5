#pragma once

#include <cstdint>
#include <vector>

#include "base/base.h"

namespace ibisvalve::bench {

/// Latencies in buckets of at most 1/128 of their value (HDR style), from 1 us
/// to 64 s; longer ones count as 64 s.
class LatencyHistogram {
 public:
  LatencyHistogram();

  /// Takes in one latency.
  void Add(Duration latency);
  /// Adds all of `other`.
  void Merge(const LatencyHistogram& other);
  /// Returns how many were taken in.
  uint64_t count() const { return count_; }
  /// Returns the least latency that `quantile` (0 to 1) of all do not exceed,
  /// rounded up to its bucket; 0 when empty.
  Duration At(double quantile) const;
  /// Returns the longest, exactly.
  Duration max() const { return max_; }
  /// Returns the mean, exactly.
  Duration mean() const;

 private:
  std::vector<uint64_t> buckets_;
  uint64_t count_ = 0;
  Duration max_{0};
  Duration sum_{0};
};

}  // namespace ibisvalve::bench
