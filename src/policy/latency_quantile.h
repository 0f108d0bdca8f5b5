#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/base.h"

namespace ibisvalve::policy {

/// Quantiles of the latencies of the last one to two periods, estimated in
/// bounded memory by a histogram with exponential buckets.
class LatencyQuantile {
 public:
  /// `period` is the minimum time for which a latency is kept; must be
  /// positive.
  explicit LatencyQuantile(Duration period = std::chrono::seconds(5));

  /// Records a latency.
  void Add(Duration latency, Time now);
  /// Returns the `quantile` (0 to 1) of the recent latencies, overestimated by
  /// at most 10 percent, or nullopt if there are fewer than `min_samples`.
  std::optional<Duration> At(double quantile,
                             uint64_t min_samples,
                             Time now) const;

 private:
  static constexpr size_t kBuckets = 200;  // 1 us to over 100 s
  using Counts = std::array<uint32_t, kBuckets>;

  void Rotate(Time now);

  Duration period_;
  Time period_start_{};
  Counts current_{};
  Counts previous_{};
};

}  // namespace ibisvalve::policy
